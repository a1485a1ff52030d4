#include "Process/Relay/RelayHandshake.h"

#include "Connection/PeerMessage.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/endian/conversion.hpp>

namespace samphireshunt {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Socket = asio::ip::tcp::socket;

namespace {

/// More than any message of the handshake takes.
constexpr std::uint32_t MaxHandshakeBytes = 4096;

template <class BodyTable> std::string frameOf(BodyTable Body) {
  std::string Message = encodeMessage(std::move(Body));
  auto Size = boost::endian::native_to_little(
      static_cast<std::uint32_t>(Message.size()));
  return std::string(reinterpret_cast<const char *>(&Size), sizeof(Size)) +
         Message;
}

/// Reads one frame, within the timeout that \p Stream has.
Awaitable<Result<wire::EnvelopeT>> readFrame(beast::tcp_stream &Stream) {
  std::uint32_t Size = 0;
  beast::error_code Error;
  auto SizeBuffer = asio::buffer(&Size, sizeof(Size));
  co_await asio::async_read(Stream, SizeBuffer,
                            asio::redirect_error(asio::use_awaitable, Error));
  Size = boost::endian::little_to_native(Size);
  if (Error)
    co_return Failure{ResultCode::ReadTimeout, Error.message()};
  if (Size > MaxHandshakeBytes)
    co_return Failure{ResultCode::MalformedRequest, "frame too large"};
  std::string Bytes(Size, '\0');
  auto Buffer = asio::buffer(Bytes);
  co_await asio::async_read(Stream, Buffer,
                            asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return Failure{ResultCode::ReadTimeout, Error.message()};
  co_return decodeMessage(Bytes);
}

RelayResult resultOf(const wire::RelayedT &Answer) {
  auto Highest = static_cast<std::uint8_t>(RelayResult::NotNow);
  return Answer.result <= Highest ? static_cast<RelayResult>(Answer.result)
                                  : RelayResult::NoPath;
}

} // namespace

std::string_view relayResultName(RelayResult Result) {
  switch (Result) {
  case RelayResult::Connected:
    return "connected";
  case RelayResult::Refused:
    return "refused";
  case RelayResult::Silent:
    return "silent";
  case RelayResult::NoPath:
    return "no-path";
  case RelayResult::UnknownServer:
    return "unknown-server";
  case RelayResult::Busy:
    return "busy";
  case RelayResult::Stopping:
    return "stopping";
  case RelayResult::NotNow:
    return "not-now";
  case RelayResult::NoAnswer:
    return "no-answer";
  }
  return "no-answer";
}

Awaitable<RelayedSocket> requestRelay(Endpoint Relay, RelayTarget Target,
                                      std::chrono::milliseconds Timeout) {
  RelayedSocket Opened;
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  beast::error_code Error;
  Stream.expires_after(Timeout);
  co_await Stream.async_connect(
      Relay, asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return Opened;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Error);
  wire::RelayT Request;
  Request.service = Target.Service_.str();
  Request.pool = Target.Pool_.str();
  Request.server = Target.Server_.str();
  Request.framed = true;
  Request.check = Target.IsCheck_;
  std::string Frame = frameOf(std::move(Request));
  auto Buffer = asio::buffer(Frame);
  co_await asio::async_write(Stream, Buffer,
                             asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return Opened;
  auto Answer = co_await readFrame(Stream);
  const auto *Relayed = Answer ? Answer->body.AsRelayed() : nullptr;
  if (!Relayed)
    co_return Opened;
  Opened.Result_ = resultOf(*Relayed);
  if (Opened.Result_ == RelayResult::Connected)
    Opened.Socket_ = Stream.release_socket();
  Opened.Framed_ = Relayed->framed;
  co_return Opened;
}

Awaitable<Result<RelayRequest>>
readRelayRequest(Socket Accepted, std::chrono::milliseconds Timeout) {
  beast::tcp_stream Stream(std::move(Accepted));
  Stream.expires_after(Timeout);
  auto Message = co_await readFrame(Stream);
  if (!Message)
    co_return Message.error();
  const auto *Asked = Message->body.AsRelay();
  if (!Asked)
    co_return Failure{ResultCode::MalformedRequest, "not a relay request"};
  RelayTarget Target{ServiceName(Asked->service), PoolName(Asked->pool),
                     ServerName(Asked->server), Asked->check};
  co_return RelayRequest{Stream.release_socket(), std::move(Target),
                         Asked->framed};
}

Awaitable<bool> sendRelayResult(RelayRequest &Asked, RelayResult Value) {
  wire::RelayedT Answer;
  Answer.result = static_cast<std::uint8_t>(Value);
  Answer.framed = Asked.Framed_;
  std::string Frame = frameOf(std::move(Answer));
  auto Buffer = asio::buffer(Frame);
  beast::error_code Error;
  co_await asio::async_write(Asked.Socket_, Buffer,
                             asio::redirect_error(asio::use_awaitable, Error));
  co_return !Error;
}

} // namespace samphireshunt
