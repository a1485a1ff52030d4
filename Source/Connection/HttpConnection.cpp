#include "Connection/Http.h"

#include "Connection/ByteFrames.h"
#include "Connection/FramingReader.h"
#include "Connection/SocketOptions.h"
#include "Connection/Spawn.h"
#include "Connection/TcpConnect.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace samphireshunt {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// A longer body is written while the response is awaited, because a server may
/// respond before it has read the body, and read the rest later or never.
constexpr std::size_t LongBodyBytes = 4096;
constexpr int StatusOk = 200;
constexpr int StatusSwitchingProtocols = 101;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
/// The first number that is no status (RFC 9110, section 15).
constexpr int StatusEnd = 600;
/// The most interim answers before an answer, each with a head of at most
/// MaxHeadBytes. A server sends a few at most: 100 and some hints.
constexpr int MaxInterimAnswers = 16;
constexpr std::uint32_t MaxHeadBytes = 8 * 1024;
using Request = http::request<http::string_body>;

/// The result of writing one request.
struct SendState {
  bool Done_ = false;
  beast::error_code Error_;
};

Awaitable<void> writeRequest(std::shared_ptr<beast::tcp_stream> Stream,
                             std::shared_ptr<Request> Message,
                             std::shared_ptr<SendState> State) {
  co_await http::async_write(
      *Stream, *Message,
      asio::redirect_error(asio::use_awaitable, State->Error_));
  State->Done_ = true;
}

Failure connectionFailure(const beast::error_code &Error) {
  if (Error == beast::error::timeout)
    return {ResultCode::AnswerTimeout, Error.message()};
  if (Error == http::error::header_limit || Error == http::error::body_limit ||
      Error == http::error::buffer_overflow)
    return {ResultCode::AnswerTooLarge, Error.message()};
  return {ResultCode::ConnectionLost, Error.message()};
}

class BeastHttpConnection : public HttpConnection {
public:
  BeastHttpConnection(std::shared_ptr<beast::tcp_stream> Stream, EndOfBytes End)
      : Stream_(std::move(Stream)), End_(End) {
    if (End == EndOfBytes::InFrame)
      Framed_.emplace(*Stream_);
  }
  /// Closes the stream, since a coroutine that shares it may still be writing a
  /// body.
  ~BeastHttpConnection() override { Stream_->close(); }

  Awaitable<Result<void>> send(const HttpRequest &Request,
                               std::chrono::milliseconds Timeout) override {
    Complete_ = false;
    ToHead_ = Request.Method_ == "HEAD";
    if (ToHead_)
      carried().addHead();
    auto Message = std::make_shared<http::request<http::string_body>>();
    Message->version(11);
    Message->method_string(Request.Method_);
    Message->target(Request.Target_);
    for (const auto &[Name, Value] : Request.Fields_)
      Message->insert(Name, Value);
    if (!Request.Fields_.contains("host"))
      Message->set(http::field::host, "backend");
    Message->body() = Request.Body_;
    Message->prepare_payload();
    Sent_ = std::make_shared<SendState>();
    Stream_->expires_after(Timeout);
    if (Request.Body_.size() > LongBodyBytes) {
      auto Write = [Stream = Stream_, Message, State = Sent_]() {
        return writeRequest(Stream, Message, State);
      };
      spawnLogged(Stream_->get_executor(), "write-request", std::move(Write));
      co_return Result<void>();
    }
    co_await writeRequest(Stream_, std::move(Message), Sent_);
    if (Sent_->Error_)
      co_return connectionFailure(Sent_->Error_);
    co_return Result<void>();
  }

  Awaitable<Result<HttpResponse>>
  readHead(std::chrono::milliseconds Timeout) override {
    // One limit for the interim answers and the answer together.
    Stream_->expires_after(Timeout);
    std::optional<Failure> Failed = co_await parseHead();
    for (int Interim = 0; !Failed && isInterim(); ++Interim) {
      if (Interim == MaxInterimAnswers)
        Failed = Failure{ResultCode::MalformedAnswer, "too many interim ones"};
      else
        Failed = co_await parseHead();
    }
    // No request asks for another protocol, and no class of statuses is above
    // the fifth.
    if (!Failed && (status() < StatusOk || status() >= StatusEnd))
      Failed = Failure{ResultCode::MalformedAnswer,
                       "status " + std::to_string(status())};
    if (Failed) {
      Parser_.reset();
      co_return std::move(*Failed);
    }
    HttpResponse Head;
    Head.Status_ = status();
    for (const auto &Field : Parser_->get())
      Head.Fields_.add(lowerCase(Field.name_string()),
                       std::string(Field.value()));
    if (ToHead_ || Head.Status_ == StatusNotModified)
      Head.StatedLength_ = statedLength(Head);
    noteIdleLimit(Head);
    co_return Head;
  }

  Awaitable<Result<std::string>>
  readSome(std::chrono::milliseconds Timeout) override {
    if (!Parser_)
      co_return Failure{ResultCode::ConnectionLost, "no response"};
    while (!Parser_->is_done()) {
      std::array<char, ReadBufferBytes> Space;
      Parser_->get().body().data = Space.data();
      Parser_->get().body().size = Space.size();
      Stream_->expires_after(Timeout);
      beast::error_code Error = co_await readPart(ReadPart::Body);
      bool BufferFull = Error == http::error::need_buffer;
      if (Error && !BufferFull)
        co_return readFailure(Error);
      LastReceived_ = std::chrono::steady_clock::now();
      std::size_t Count = Space.size() - Parser_->get().body().size;
      if (Count > 0)
        co_return std::string(Space.data(), Count);
    }
    // A body that is terminated by the end of the connection may have been
    // truncated. Only a body with a length or in chunks is known to be
    // complete.
    bool Counted = bodyEnd() != BodyEnd::Close;
    if (Counted && !Framing_->whole())
      co_return Failure{ResultCode::MalformedAnswer, "an end that is unclear"};
    if (!Counted && !AcceptUnframed_)
      co_return Failure{ResultCode::ConnectionLost, "body without length"};
    if (!Counted && End_ == EndOfBytes::Unknown)
      co_return Failure{ResultCode::ConnectionLost,
                        "end not told by the relay"};
    if (!Counted && Sent_->Error_)
      co_return connectionFailure(Sent_->Error_);
    if (!Counted && End_ == EndOfBytes::OfConnection &&
        wasReset(Stream_->socket()))
      co_return Failure{ResultCode::ConnectionLost, "reset"};
    Complete_ = Counted && Parser_->keep_alive();
    co_return std::string();
  }

  BodyEnd bodyEnd() const override {
    if (Parser_->chunked())
      return BodyEnd::Chunks;
    bool WithoutBody =
        ToHead_ || status() == StatusNoContent || status() == StatusNotModified;
    return Parser_->content_length() || WithoutBody ? BodyEnd::Length
                                                    : BodyEnd::Close;
  }

  void acceptUnframed() override { AcceptUnframed_ = true; }
  std::optional<std::chrono::seconds> idleLimit() const override {
    return IdleLimit_;
  }

  bool reusable() const override {
    // If the request body was not sent completely, the server would read the
    // next request as a part of it.
    bool Sent = Sent_ && Sent_->Done_ && !Sent_->Error_;
    return Complete_ && Sent && Buffer_.size() == 0 &&
           Stream_->socket().is_open();
  }
  bool hasNoUnexpectedInput() override {
    char Byte = 0;
    beast::error_code Error;
    Stream_->socket().non_blocking(true, Error);
    Stream_->socket().receive(asio::buffer(&Byte, 1),
                              asio::ip::tcp::socket::message_peek, Error);
    return Error == asio::error::would_block;
  }
  std::chrono::steady_clock::time_point lastReceived() const override {
    return LastReceived_;
  }
  void close() override {
    Complete_ = false;
    Stream_->close();
  }

private:
  int status() const { return static_cast<int>(Parser_->get().result_int()); }

  /// \returns whether another head follows on the one that was read.
  bool isInterim() const {
    constexpr int StatusContinue = 100;
    return status() >= StatusContinue && status() < StatusOk &&
           status() != StatusSwitchingProtocols;
  }

  enum class ReadPart { Head, Body };

  /// Reads all of a head, or some of a body.
  Awaitable<beast::error_code> readPart(ReadPart Wanted) {
    if (Framed_)
      co_return co_await readFrom(*Framed_, Wanted);
    co_return co_await readFrom(*Stream_, Wanted);
  }

  template <class Source>
  Awaitable<beast::error_code> readFrom(Source &From, ReadPart Wanted) {
    FramingReader<Source> Checked(From, *Framing_);
    beast::error_code Error;
    if (Wanted == ReadPart::Head)
      co_await http::async_read_header(
          Checked, Buffer_, *Parser_,
          asio::redirect_error(asio::use_awaitable, Error));
    else
      co_await http::async_read_some(
          Checked, Buffer_, *Parser_,
          asio::redirect_error(asio::use_awaitable, Error));
    co_return Error;
  }

  Failure readFailure(const beast::error_code &Error) const {
    if (!Framing_->fault().empty())
      return {ResultCode::MalformedAnswer, std::string(Framing_->fault())};
    return connectionFailure(Error);
  }

  /// Reads a head within the stream's current limit. \returns why there is
  /// none.
  Awaitable<std::optional<Failure>> parseHead() {
    Parser_.emplace();
    Parser_->header_limit(MaxHeadBytes);
    Parser_->body_limit(MaxAnswerBytes);
    Parser_->skip(ToHead_);
    Framing_.emplace(ToHead_ ? MessageKind::AnswerToHead : MessageKind::Answer);
    auto Held = Buffer_.cdata();
    beast::error_code Error;
    if (Framing_->feed({static_cast<const char *>(Held.data()), Held.size()}))
      Error = co_await readPart(ReadPart::Head);
    if (Error || !Framing_->fault().empty())
      co_return readFailure(Error);
    LastReceived_ = std::chrono::steady_clock::now();
    co_return std::nullopt;
  }

  static std::optional<std::uint64_t> statedLength(const HttpResponse &Head) {
    std::string_view Digits = Head.Fields_.only("content-length");
    std::uint64_t Length = 0;
    auto Parsed =
        std::from_chars(Digits.data(), Digits.data() + Digits.size(), Length);
    return Parsed.ec == std::errc() ? std::optional(Length) : std::nullopt;
  }

  /// Reads the timeout from a field like "Keep-Alive: timeout=5, max=100".
  void noteIdleLimit(const HttpResponse &Head) {
    auto Field = Head.Fields_.find("keep-alive");
    if (Field == Head.Fields_.end())
      return;
    constexpr std::string_view Name = "timeout=";
    std::size_t Start = Field->second.find(Name);
    if (Start == std::string::npos)
      return;
    const char *First = Field->second.data() + Start + Name.size();
    const char *End = Field->second.data() + Field->second.size();
    std::uint32_t Seconds = 0;
    auto Parsed = std::from_chars(First, End, Seconds);
    // A longer time is no limit for a connection here.
    if (Parsed.ec == std::errc())
      IdleLimit_ = std::chrono::seconds(Seconds);
  }

  std::shared_ptr<beast::tcp_stream> Stream_;
  EndOfBytes End_;
  /// Set if the server's bytes come in frames.
  std::optional<FramedReader> Framed_;
  std::shared_ptr<SendState> Sent_;
  std::optional<std::chrono::seconds> IdleLimit_;
  bool AcceptUnframed_ = false;
  beast::flat_buffer Buffer_{MaxFramingBytes};
  std::optional<http::response_parser<http::buffer_body>> Parser_;
  /// Reads the same bytes as the parser, before it.
  std::optional<MessageFraming> Framing_;
  std::chrono::steady_clock::time_point LastReceived_;
  bool Complete_ = false;
  /// The response answers HEAD and has no body, whatever its fields say.
  bool ToHead_ = false;
};

} // namespace

Awaitable<Result<std::unique_ptr<HttpConnection>>>
HttpConnection::connect(Endpoint Address, std::chrono::milliseconds Timeout) {
  auto Opened = co_await openTcp(Address, Timeout);
  if (!Opened.Socket_)
    co_return Failure{ResultCode::ConnectFailed, std::move(Opened.Detail_)};
  co_return adopt(std::move(*Opened.Socket_), EndOfBytes::OfConnection);
}

std::unique_ptr<HttpConnection>
HttpConnection::adopt(asio::ip::tcp::socket Socket, EndOfBytes End) {
  beast::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  limitSilence(Socket, ServerSilence);
  return std::make_unique<BeastHttpConnection>(
      std::make_shared<beast::tcp_stream>(std::move(Socket)), End);
}

namespace {

/// The time remaining until a deadline, at least one millisecond.
class RemainingTime {
public:
  explicit RemainingTime(std::chrono::milliseconds Timeout)
      : End_(std::chrono::steady_clock::now() + Timeout) {}
  std::chrono::milliseconds operator()() const {
    auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
        End_ - std::chrono::steady_clock::now());
    return std::max(Time, std::chrono::milliseconds(1));
  }
  void extend(std::chrono::steady_clock::duration Time) { End_ += Time; }

private:
  std::chrono::steady_clock::time_point End_;
};

/// A call whose response head has been read.
struct AnsweredCall {
  std::unique_ptr<HttpConnection> Connection_;
  HttpResponse Head_;
};

Awaitable<Result<AnsweredCall>> beginCall(Endpoint Address, HttpRequest Request,
                                          RemainingTime Remaining) {
  auto Connected = co_await HttpConnection::connect(Address, Remaining());
  if (!Connected)
    co_return Connected.error();
  AnsweredCall Call;
  Call.Connection_ = std::move(*Connected);
  Call.Connection_->acceptUnframed();
  auto Sent = co_await Call.Connection_->send(Request, Remaining());
  if (!Sent)
    co_return Sent.error();
  auto Head = co_await Call.Connection_->readHead(Remaining());
  if (!Head)
    co_return Head.error();
  Call.Head_ = std::move(*Head);
  co_return Call;
}

/// Reads the rest of the response. One without a length or chunks is complete
/// only if its body shows that. Each chunk restarts the timeout \p Silence,
/// within the limit \p Remaining of the whole body, to which each byte adds \p
/// TimePerByte.
Awaitable<Result<HttpResponse>> endCall(AnsweredCall Call,
                                        std::chrono::milliseconds Silence,
                                        RemainingTime Remaining,
                                        std::chrono::nanoseconds TimePerByte,
                                        HttpBodyHooks Body) {
  Body.Begin_(Call.Head_);
  while (true) {
    auto Chunk =
        co_await Call.Connection_->readSome(std::min(Silence, Remaining()));
    if (!Chunk)
      co_return Chunk.error();
    if (!Chunk->empty()) {
      Remaining.extend(TimePerByte * static_cast<std::int64_t>(Chunk->size()));
      if (auto Taken = Body.Take_(*Chunk); !Taken)
        co_return Taken.error();
      continue;
    }
    bool Known = Call.Connection_->bodyEnd() != BodyEnd::Close;
    if (!Known && !Body.IsWhole_())
      co_return Failure{ResultCode::ConnectionLost, "body without length"};
    co_return std::move(Call.Head_);
  }
}

/// \returns hooks that hold a body in \p Held, of \p MaxBytes at most.
HttpBodyHooks holdingBody(std::string &Held, std::size_t MaxBytes) {
  HttpBodyHooks Hooks;
  Hooks.Begin_ = [](const HttpResponse &) {};
  Hooks.Take_ = [&Held, MaxBytes](std::string_view Bytes) -> Result<void> {
    std::size_t Size = Held.size() + Bytes.size();
    if (Size > MaxBytes)
      return Failure{ResultCode::AnswerTooLarge,
                     std::to_string(Size) + " bytes"};
    Held += Bytes;
    return {};
  };
  Hooks.IsWhole_ = [&Held] { return isWholeJson(Held); };
  return Hooks;
}

/// The same with the body in the result.
Awaitable<Result<HttpResponse>> endHeldCall(AnsweredCall Call,
                                            std::chrono::milliseconds Silence,
                                            RemainingTime Remaining,
                                            std::size_t MaxBodyBytes) {
  std::string Held;
  HttpBodyHooks Hooks = holdingBody(Held, MaxBodyBytes);
  auto Ended = co_await endCall(std::move(Call), Silence, Remaining,
                                std::chrono::nanoseconds(0), std::move(Hooks));
  if (Ended)
    Ended->Body_ = std::move(Held);
  co_return Ended;
}

} // namespace

Awaitable<Result<HttpResponse>> httpCall(Endpoint Address, HttpRequest Request,
                                         HttpCallLimits Limits,
                                         std::function<void()> OnHead) {
  RemainingTime ToHead(Limits.Head_);
  auto Begun =
      co_await beginCall(std::move(Address), std::move(Request), ToHead);
  if (!Begun)
    co_return Begun.error();
  if (OnHead)
    OnHead();
  RemainingTime ToEnd(Limits.Body_);
  co_return co_await endHeldCall(std::move(*Begun), Limits.Silence_, ToEnd,
                                 Limits.MaxBodyBytes_);
}

Awaitable<Result<HttpResponse>> httpCall(Endpoint Address, HttpRequest Request,
                                         std::chrono::milliseconds Timeout,
                                         std::size_t MaxBodyBytes) {
  RemainingTime Remaining(Timeout);
  auto Begun =
      co_await beginCall(std::move(Address), std::move(Request), Remaining);
  if (!Begun)
    co_return Begun.error();
  co_return co_await endHeldCall(std::move(*Begun), Timeout, Remaining,
                                 MaxBodyBytes);
}

Awaitable<Result<HttpResponse>> httpCallInParts(Endpoint Address,
                                                HttpRequest Request,
                                                HttpCallLimits Limits,
                                                HttpBodyHooks Body) {
  RemainingTime ToHead(Limits.Head_);
  auto Begun =
      co_await beginCall(std::move(Address), std::move(Request), ToHead);
  if (!Begun)
    co_return Begun.error();
  bool OneLimit = Limits.Body_.count() == 0;
  RemainingTime ToEnd = OneLimit ? ToHead : RemainingTime(Limits.Body_);
  std::chrono::nanoseconds TimePerByte(0);
  if (Limits.BytesPerBodyTime_ > 0)
    TimePerByte = std::chrono::nanoseconds(Limits.Body_) /
                  static_cast<std::int64_t>(Limits.BytesPerBodyTime_);
  co_return co_await endCall(std::move(*Begun), Limits.Silence_, ToEnd,
                             TimePerByte, std::move(Body));
}

} // namespace samphireshunt
