#pragma once
/// \file
/// A stream whose bytes are checked before the HTTP parser gets them.

#include "Connection/MessageFraming.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <string_view>
#include <utility>

namespace samphireshunt {

/// Reads from \p Source and shows each byte to a MessageFraming first. What is
/// malformed is reported as bad_field, and none of the bytes of that read.
template <class Source> class FramingReader {
public:
  using executor_type = typename Source::executor_type;

  /// Both arguments must outlive the reader.
  FramingReader(Source &From, MessageFraming &Framing)
      : From_(From), Framing_(Framing) {}

  // NOLINTBEGIN(readability-identifier-naming): names that Asio requires.
  executor_type get_executor() { return From_.get_executor(); }

  template <class Buffers, class Token>
  auto async_read_some(const Buffers &Into, Token &&Handler) {
    boost::asio::mutable_buffer First(
        *boost::asio::buffer_sequence_begin(Into));
    return boost::asio::async_compose<Token, void(boost::system::error_code,
                                                  std::size_t)>(
        ReadOperation{*this, First}, Handler, From_);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  struct ReadOperation {
    FramingReader &Reader_;
    boost::asio::mutable_buffer Into_;
    bool Started_ = false;

    template <class Self>
    void operator()(Self &Operation, boost::system::error_code Error = {},
                    std::size_t Count = 0) {
      if (!std::exchange(Started_, true))
        return Reader_.From_.async_read_some(Into_, std::move(Operation));
      std::string_view Bytes(static_cast<const char *>(Into_.data()), Count);
      if (!Reader_.Framing_.feed(Bytes))
        return Operation.complete(boost::beast::http::error::bad_field, 0);
      Operation.complete(Error, Count);
    }
  };

  Source &From_;
  MessageFraming &Framing_;
};

} // namespace samphireshunt
