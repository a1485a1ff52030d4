#pragma once
/// \file
/// Frames for a stream of bytes whose end has to be told from a lost
/// connection: each has the number of its bytes, as four bytes in little-endian
/// order, and then the bytes. A frame without bytes says that the stream has
/// ended.

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <cstdint>

namespace samphireshunt {

/// The bytes before those of a frame.
using FrameHead = std::array<unsigned char, 4>;

inline FrameHead frameHead(std::size_t Size) {
  FrameHead Head;
  boost::endian::store_little_u32(Head.data(),
                                  static_cast<std::uint32_t>(Size));
  return Head;
}

/// Reads the bytes within frames. A connection that ends without the last frame
/// is reported as connection_reset, never as eof.
class FramedReader {
public:
  using executor_type = boost::beast::tcp_stream::executor_type;

  /// \p Source must outlive the reader.
  explicit FramedReader(boost::beast::tcp_stream &Source) : Source_(Source) {}

  // NOLINTBEGIN(readability-identifier-naming): names that Asio requires.
  executor_type get_executor() { return Source_.get_executor(); }

  template <class Buffers, class Token>
  auto async_read_some(const Buffers &Into, Token &&Handler) {
    boost::asio::mutable_buffer First(
        *boost::asio::buffer_sequence_begin(Into));
    return boost::asio::async_compose<Token, void(boost::system::error_code,
                                                  std::size_t)>(
        ReadOperation{*this, First}, Handler, Source_);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  /// One call of async_read_some(): reads a head if one is due, then bytes.
  struct ReadOperation {
    FramedReader &Reader_;
    boost::asio::mutable_buffer Into_;
    bool Started_ = false;

    template <class Self>
    void operator()(Self &Operation, boost::system::error_code Error = {},
                    std::size_t Count = 0) {
      if (Error == boost::asio::error::eof)
        Error = boost::asio::error::connection_reset;
      if (Error)
        return Operation.complete(Error, 0);
      if (std::exchange(Started_, true) && Reader_.Left_ > 0) {
        Reader_.Left_ -= Count;
        return Operation.complete({}, Count);
      }
      if (Reader_.headRead(Count) && Reader_.Left_ == 0)
        return Operation.complete(boost::asio::error::eof, 0);
      Reader_.Source_.async_read_some(Reader_.next(Into_),
                                      std::move(Operation));
    }
  };

  /// Counts bytes of a head. \returns true if it is complete.
  bool headRead(std::size_t Count) {
    HeadBytes_ += Count;
    if (HeadBytes_ < Head_.size())
      return false;
    HeadBytes_ = 0;
    Left_ = boost::endian::load_little_u32(Head_.data());
    return true;
  }

  /// \returns where the next bytes belong.
  boost::asio::mutable_buffer next(boost::asio::mutable_buffer Into) {
    if (Left_ > 0)
      return boost::asio::buffer(Into, Left_);
    return boost::asio::buffer(Head_) + HeadBytes_;
  }

  boost::beast::tcp_stream &Source_;
  FrameHead Head_{};
  std::size_t HeadBytes_ = 0;
  /// Bytes of the current frame that have not been read.
  std::size_t Left_ = 0;
};

} // namespace samphireshunt
