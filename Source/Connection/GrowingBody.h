#pragma once
/// \file
/// The body of an HTTP message that takes memory only for what has come.

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace samphireshunt {

/// Beast's string_body reserves the length that a head announces, and what is
/// touched of such a reservation stays with the process. This body grows as it
/// is read.
struct GrowingBody {
  using value_type = std::string;

  // The names are those of beast's requirements for a body's reader.
  class reader { // NOLINT(readability-identifier-naming)
  public:
    template <bool IsRequest, class Fields>
    explicit reader(boost::beast::http::header<IsRequest, Fields> & /*Head*/,
                    std::string &Body)
        : Body_(Body) {}

    void init( // NOLINT(readability-identifier-naming)
        const boost::optional<std::uint64_t> & /*Length*/,
        boost::beast::error_code &Error) {
      Error = {};
    }
    template <class Buffers>
    std::size_t put( // NOLINT(readability-identifier-naming)
        const Buffers &Come, boost::beast::error_code &Error) {
      Error = {};
      std::size_t Before = Body_.size();
      for (auto Part : boost::beast::buffers_range_ref(Come))
        Body_.append(static_cast<const char *>(Part.data()), Part.size());
      return Body_.size() - Before;
    }
    void finish( // NOLINT(readability-identifier-naming)
        boost::beast::error_code &Error) {
      Error = {};
    }

  private:
    std::string &Body_;
  };
};

} // namespace samphireshunt
