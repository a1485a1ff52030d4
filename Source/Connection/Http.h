#pragma once
/// \file
/// HTTP/1.1 as values, and a server and a client over Boost.Beast. Beast's own
/// headers stay in the source files: they are slow to compile.

#include "Common/ResultCode.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphireshunt {

template <class Value> using Awaitable = boost::asio::awaitable<Value>;
using Endpoint = boost::asio::ip::tcp::endpoint;

/// Header fields by lower-case name.
using HttpFields = std::map<std::string, std::string>;

/// Names of header fields are compared in lower case.
std::string lowerCase(std::string_view Text);

/// A request, read whole.
struct HttpRequest {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  HttpFields Fields_;
  std::string Body_;

  /// The value of the field \p LowerName, empty when absent.
  const std::string &field(const std::string &LowerName) const;
  /// The target without its query.
  std::string_view path() const;
  /// The value of the query's parameter \p Name, empty when absent.
  std::string queryParameter(std::string_view Name) const;
};

/// An answer, or the head of one that is streamed.
struct HttpResponse {
  int Status_ = 200;
  HttpFields Fields_;
  std::string Body_;
};

/// A JSON answer.
HttpResponse jsonResponse(int Status, std::string Body);

/// Parses "address:port"; only IP numbers are taken.
Result<Endpoint> parseEndpoint(std::string_view Text);
std::string formatEndpoint(const Endpoint &Address);

/// The server's side of one exchange. Lives as long as its request.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest &request() const = 0;
  /// Sends a whole answer. \returns false when the caller's side is gone.
  virtual Awaitable<bool> respond(HttpResponse Response) = 0;
  /// Sends the head of a chunked answer.
  virtual Awaitable<bool> beginStream(HttpResponse Head) = 0;
  virtual Awaitable<bool> writeChunk(std::string Data) = 0;
  virtual Awaitable<bool> endStream() = 0;
  /// Closes the connection with the answer unfinished, so that no client can
  /// take the part for the whole: the last chunk is never sent.
  virtual void abort() = 0;
  /// Calls \p Hook once, on the exchange's executor, when the caller closes
  /// its side before the answer is sent.
  virtual void onCallerLeft(std::function<void()> Hook) = 0;
  /// Looks at the connection itself: true when the caller has closed its side
  /// by now, also where the event of it still waits for its turn.
  virtual bool hasCallerLeft() = 0;
};

using HttpHandler = std::function<Awaitable<void>(HttpExchange &)>;

/// Builds the answer to a request that can't be parsed or is too large.
using HttpRefusal = std::function<HttpResponse(Failure)>;

/// What may change while a server listens.
struct HttpLimits {
  std::size_t MaxHeaderBytes_;
  std::size_t MaxBodyBytes_;
  /// How long an idle connection stays.
  std::chrono::milliseconds IdleTimeout_;
};

/// Limits of one listening address, and what varies.
struct HttpServerOptions {
  Endpoint Address_;
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  std::size_t MaxBodyBytes_ = 8 * 1024 * 1024;
  std::size_t MaxConnections_ = 10000;
  /// How long a request may take to arrive, and an idle connection to stay.
  std::chrono::milliseconds ReadTimeout_{30000};
  /// How long a caller may refuse to take any byte of its answer.
  std::chrono::milliseconds WriteTimeout_{30000};
  HttpHandler Handler_;
  HttpRefusal Refusal_;
  /// Asked for each request; unset: the limits above hold throughout.
  std::function<HttpLimits()> Limits_;
};

/// Accepts on one context and spreads the connections over worker contexts.
class HttpServer {
public:
  virtual ~HttpServer() = default;
  /// \returns BadSetting when the address can't be bound.
  static Result<std::unique_ptr<HttpServer>>
  create(boost::asio::io_context &AcceptContext,
         std::vector<boost::asio::io_context *> Workers,
         HttpServerOptions Options);
  virtual Endpoint address() const = 0;
  /// Accepts no more; answers from now on carry "Connection: close".
  virtual void stopAccepting() = 0;
  /// Answers carry "Connection: close", while new connections are taken.
  virtual void closeAfterAnswers() = 0;
  virtual std::size_t openConnections() const = 0;
  /// Requests from their first byte in to their last byte out.
  virtual std::size_t activeExchanges() const = 0;
  /// When the last connection was taken.
  virtual std::chrono::steady_clock::time_point lastAccepted() const = 0;
};

/// The client's side of a connection; for use by one coroutine at a time.
class HttpConnection {
public:
  virtual ~HttpConnection() = default;
  /// \returns ConnectFailed, after \p Timeout at the latest.
  static Awaitable<Result<std::unique_ptr<HttpConnection>>>
  connect(Endpoint Address, std::chrono::milliseconds Timeout);

  /// Writes the request. An error leaves open whether bytes left. A long body
  /// is still being written when this returns: the other side may answer
  /// before it has read all of it.
  virtual Awaitable<Result<void>> send(const HttpRequest &Request,
                                       std::chrono::milliseconds Timeout) = 0;
  /// Takes a body that has no length and ends with its connection as whole,
  /// unless the connection was reset.
  virtual void acceptUnframed() = 0;
  /// How long the other side says that it keeps the connection while idle.
  virtual std::optional<std::chrono::seconds> idleLimit() const = 0;
  /// Reads the answer's head; its body is empty.
  virtual Awaitable<Result<HttpResponse>>
  readHead(std::chrono::milliseconds Timeout) = 0;
  /// Reads some of the body. An empty text is the end, reached only when the
  /// body was whole. \returns AnswerTimeout or ConnectionLost.
  virtual Awaitable<Result<std::string>>
  readSome(std::chrono::milliseconds Timeout) = 0;
  /// True when the last answer was read to its end and the other side keeps
  /// the connection open: only then may another request use it.
  virtual bool reusable() const = 0;
  /// True while the other side has neither closed nor sent anything.
  virtual bool quiet() = 0;
  /// When the last byte came in.
  virtual std::chrono::steady_clock::time_point lastHeard() const = 0;
  /// Makes a read that waits return ConnectionLost.
  virtual void close() = 0;
};

/// How long a call may take.
struct HttpCallLimits {
  /// From its begin to the answer's head.
  std::chrono::milliseconds Head_;
  /// For which the answer's body may stop coming.
  std::chrono::milliseconds Silence_;
  /// From the answer's head to its end.
  std::chrono::milliseconds Body_;
};

/// One exchange over a connection of its own. \p Coming is called, if set, when
/// the answer's head is read.
Awaitable<Result<HttpResponse>> httpCall(Endpoint Address, HttpRequest Request,
                                         HttpCallLimits Limits,
                                         std::function<void()> Coming);

/// The same within \p Timeout in all.
Awaitable<Result<HttpResponse>> httpCall(Endpoint Address, HttpRequest Request,
                                         std::chrono::milliseconds Timeout);

} // namespace samphireshunt
