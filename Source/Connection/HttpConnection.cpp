#include "Connection/Http.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace samphireshunt {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t MaxAnswerBytes = 64 * 1024 * 1024;
constexpr std::size_t ReadBufferBytes = 16 * 1024;

Failure connectionFailure(const beast::error_code &Error) {
  if (Error == beast::error::timeout)
    return {ResultCode::AnswerTimeout, Error.message()};
  return {ResultCode::ConnectionLost, Error.message()};
}

class BeastHttpConnection : public HttpConnection {
public:
  explicit BeastHttpConnection(beast::tcp_stream Stream)
      : Stream_(std::move(Stream)) {}

  Awaitable<Result<void>> send(const HttpRequest &Request,
                               std::chrono::milliseconds Timeout) override {
    Whole_ = false;
    http::request<http::string_body> Message;
    Message.version(11);
    Message.method_string(Request.Method_);
    Message.target(Request.Target_);
    for (const auto &[Name, Value] : Request.Fields_)
      Message.set(Name, Value);
    if (!Request.Fields_.contains("host"))
      Message.set(http::field::host, "backend");
    Message.body() = Request.Body_;
    Message.prepare_payload();
    beast::error_code Error;
    Stream_.expires_after(Timeout);
    co_await http::async_write(
        Stream_, Message, asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return connectionFailure(Error);
    co_return Result<void>();
  }

  Awaitable<Result<HttpResponse>>
  readHead(std::chrono::milliseconds Timeout) override {
    Parser_.emplace();
    Parser_->body_limit(MaxAnswerBytes);
    beast::error_code Error;
    Stream_.expires_after(Timeout);
    co_await http::async_read_header(
        Stream_, Buffer_, *Parser_,
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return connectionFailure(Error);
    LastHeard_ = std::chrono::steady_clock::now();
    HttpResponse Head;
    Head.Status_ = static_cast<int>(Parser_->get().result_int());
    for (const auto &Field : Parser_->get()) {
      std::string Name(Field.name_string());
      beast::string_view View(Name);
      std::ranges::transform(View, Name.begin(), [](unsigned char C) {
        return static_cast<char>(std::tolower(C));
      });
      Head.Fields_[Name] = std::string(Field.value());
    }
    co_return Head;
  }

  Awaitable<Result<std::string>>
  readSome(std::chrono::milliseconds Timeout) override {
    while (!Parser_->is_done()) {
      std::array<char, ReadBufferBytes> Space;
      Parser_->get().body().data = Space.data();
      Parser_->get().body().size = Space.size();
      beast::error_code Error;
      Stream_.expires_after(Timeout);
      co_await http::async_read_some(
          Stream_, Buffer_, *Parser_,
          asio::redirect_error(asio::use_awaitable, Error));
      bool BufferFull = Error == http::error::need_buffer;
      if (Error && !BufferFull)
        co_return connectionFailure(Error);
      LastHeard_ = std::chrono::steady_clock::now();
      std::size_t Count = Space.size() - Parser_->get().body().size;
      if (Count > 0)
        co_return std::string(Space.data(), Count);
    }
    // A body that ends with the connection has no mark of its own end: it may
    // have been cut. Only a counted or chunked body can be known as whole.
    int Status = Parser_->get().result_int();
    bool Counted = Parser_->chunked() || Parser_->content_length() ||
                   Status == 204 || Status == 304;
    if (!Counted)
      co_return Failure{ResultCode::ConnectionLost, "body without length"};
    Whole_ = Parser_->keep_alive();
    co_return std::string();
  }

  bool reusable() const override {
    return Whole_ && Buffer_.size() == 0 && Stream_.socket().is_open();
  }
  bool quiet() override {
    char Byte = 0;
    beast::error_code Error;
    Stream_.socket().non_blocking(true, Error);
    Stream_.socket().receive(asio::buffer(&Byte, 1),
                             asio::ip::tcp::socket::message_peek, Error);
    return Error == asio::error::would_block;
  }
  std::chrono::steady_clock::time_point lastHeard() const override {
    return LastHeard_;
  }
  void close() override {
    Whole_ = false;
    Stream_.close();
  }

private:
  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  std::optional<http::response_parser<http::buffer_body>> Parser_;
  std::chrono::steady_clock::time_point LastHeard_;
  bool Whole_ = false;
};

} // namespace

Awaitable<Result<std::unique_ptr<HttpConnection>>>
HttpConnection::connect(Endpoint Address, std::chrono::milliseconds Timeout) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  beast::error_code Error;
  Stream.expires_after(Timeout);
  co_await Stream.async_connect(
      Address, asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return Failure{ResultCode::ConnectFailed,
                      formatEndpoint(Address) + ": " + Error.message()};
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Error);
  std::unique_ptr<HttpConnection> Connection =
      std::make_unique<BeastHttpConnection>(std::move(Stream));
  co_return Connection;
}

Awaitable<Result<HttpResponse>> httpCall(Endpoint Address, HttpRequest Request,
                                         std::chrono::milliseconds Timeout) {
  auto Deadline = std::chrono::steady_clock::now() + Timeout;
  auto Left = [Deadline] {
    auto Rest = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - std::chrono::steady_clock::now());
    return std::max(Rest, std::chrono::milliseconds(1));
  };
  auto Connected = co_await HttpConnection::connect(Address, Timeout);
  if (!Connected)
    co_return Connected.error();
  HttpConnection &Connection = **Connected;
  auto Sent = co_await Connection.send(Request, Left());
  if (!Sent)
    co_return Sent.error();
  auto Head = co_await Connection.readHead(Left());
  if (!Head)
    co_return Head.error();
  while (true) {
    auto Part = co_await Connection.readSome(Left());
    if (!Part)
      co_return Part.error();
    if (Part->empty())
      break;
    Head->Body_ += *Part;
  }
  co_return Head;
}

} // namespace samphireshunt
