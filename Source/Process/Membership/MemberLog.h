#pragma once
/// \file
/// Logs status changes of other members, many in one line. With a line per
/// change, these would be most of the log of a fleet of hundreds, just when
/// something fails and other lines matter. Runs on the control thread.

#include "Common/Log.h"
#include "Process/Membership/MemberTable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt {

class MemberLog {
public:
  explicit MemberLog(boost::asio::io_context &Control);

  /// Logs the change within a quarter of a second, together with all changes
  /// until then.
  void changed(const Member &Changed);
  /// The same for a member whose process is a new one, unannounced.
  void restarted(const Member &Restarted);
  /// Logs how a process that had not announced that it leaves ended, if this
  /// daemon heard of it shortly before.
  void vanished(const VmId &Id, const ProcessEnd &End, TimePoint Now);
  void stop() { Timer_.cancel(); }

private:
  void add(std::string_view Status, const Member &Changed);
  void write();

  boost::asio::steady_timer Timer_;
  bool Scheduled_ = false;
  LogSampler VanishedLines_;
  std::map<std::string, std::vector<std::string>, std::less<>> Changes_;
};

/// Returns the fields of a line on the end of a process.
LogFields processEndFields(const ProcessEnd &End);

} // namespace samphireshunt
