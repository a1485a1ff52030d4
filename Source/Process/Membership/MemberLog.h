#pragma once
/// \file
/// Tells in the log what this daemon believes of others, many changes in one
/// line. A line for each change of each member would be most of what a fleet of
/// hundreds writes, just when something goes wrong and others matter. Runs on
/// the control thread.

#include "Process/Membership/MemberTable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>
#include <vector>

namespace samphireshunt {

class MemberLog {
public:
  explicit MemberLog(boost::asio::io_context &Control) : Timer_(Control) {}

  /// Written at the latest a quarter of a second from now, with those that come
  /// until then.
  void changed(const Member &Changed);
  void stop() { Timer_.cancel(); }

private:
  void write();

  boost::asio::steady_timer Timer_;
  bool Scheduled_ = false;
  std::map<MemberStatus, std::vector<std::string>> Changes_;
};

} // namespace samphireshunt
