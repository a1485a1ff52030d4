#pragma once
/// \file
/// HTTP/1.1 messages as plain structs, and a server and a client built on
/// Boost.Beast. Beast's headers are included only in source files, because they
/// are slow to compile.

#include "Common/ResultCode.h"
#include "Connection/CarriedCalls.h"
#include "Connection/FieldRules.h"
#include "Connection/HttpFields.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphireshunt {

class MemoryBudget;

template <class Value> using Awaitable = boost::asio::awaitable<Value>;
using Endpoint = boost::asio::ip::tcp::endpoint;

/// The longest line before a chunk, and the most bytes of fields after the last
/// one. Beast limits a head, but neither of these.
inline constexpr std::size_t MaxFramingBytes = 64 * 1024;

/// The longest body of a response.
inline constexpr std::size_t MaxAnswerBytes = 64 * 1024 * 1024;
/// The longest one of a response to a control call: a report, a list of cache
/// events or a result.
inline constexpr std::size_t MaxControlAnswerBytes = 1024 * 1024;

/// A complete request.
struct HttpRequest {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  HttpFields Fields_;
  std::string Body_;

  /// \returns the value of the field \p LowerName, of its first line if it has
  /// several; empty when absent.
  const std::string &field(const std::string &LowerName) const;
  /// The target without its query.
  std::string_view path() const;
  /// \returns the value of the query parameter \p Name, empty when absent.
  std::string queryParameter(std::string_view Name) const;
};

/// A response, or the head of a streamed response.
struct HttpResponse {
  int Status_ = 200;
  HttpFields Fields_;
  std::string Body_;
  /// The bytes that a server states for a body that it does not send: in a
  /// response to HEAD, or with status 304.
  std::optional<std::uint64_t> StatedLength_ = std::nullopt;
};

/// \returns whether \p Body is a complete JSON object or list, which can't be
/// the beginning of a longer one.
bool isWholeJson(std::string_view Body);

/// \returns whether the body of a response whose end nothing tells is shown to
/// be cut: it is empty, or JSON by its type and not by its bytes.
bool isShownCut(const HttpResponse &Response);

/// \returns a response with a JSON body.
HttpResponse jsonResponse(int Status, std::string Body);

/// Parses "address:port"; only numeric IP addresses are accepted. \returns
/// BadSetting for anything else.
Result<Endpoint> parseEndpoint(std::string_view Text);
std::string formatEndpoint(const Endpoint &Address);

/// The server side of one request and its response. It lives as long as the
/// request.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest &request() const = 0;
  /// Sends a complete response. \returns false when the connection to the
  /// caller is closed.
  virtual Awaitable<bool> respond(HttpResponse Response) = 0;
  /// Sends the head of a chunked response; of an unframed one if the caller
  /// speaks HTTP/1.0, which has no chunks.
  virtual Awaitable<bool> beginStream(HttpResponse Head) = 0;
  /// Sends the head of a response with neither length nor chunks, which ends
  /// with its connection.
  virtual Awaitable<bool> beginUnframed(HttpResponse Head) = 0;
  virtual Awaitable<bool> writeChunk(std::string Data) = 0;
  virtual Awaitable<bool> endStream() = 0;
  /// \returns whether the caller may have bytes of the response already.
  virtual bool begun() const = 0;
  /// Closes the connection without the last chunk, or resets it if the response
  /// is unframed, so that no client can take the incomplete response for a
  /// complete one.
  virtual void abort() = 0;
  /// Calls \p Hook once, on the exchange's executor, when the caller closes its
  /// side before the response is sent.
  virtual void onCallerLeft(std::function<void()> Hook) = 0;
  /// Checks the socket itself: true when the caller has closed its side, even
  /// if the corresponding event has not been dispatched yet.
  virtual bool hasCallerLeft() = 0;
};

using HttpHandler = std::function<Awaitable<void>(HttpExchange &)>;

/// Decides from the head of a request whether its body is read. \returns why
/// not.
using BodyCheck = std::function<std::optional<Failure>(const HttpRequest &)>;

/// Why a caller's connection is closed whose request was read and has no whole
/// response.
enum class CutReason {
  CallerLeft,   ///< The caller has closed it, or can't be reached.
  Aborted,      ///< The handler ended the response, as its server broke off.
  WriteTimeout, ///< The caller has read nothing for too long.
  Fault,        ///< The handler threw an exception.
};
/// \returns the name in logs and metrics, e.g. "write-timeout".
std::string_view cutReasonName(CutReason Reason);
/// Called for each request that ends so.
using CutHook = std::function<void(const HttpRequest &, CutReason)>;

/// Builds the response to a request that can't be parsed or is too large.
using HttpRefusal = std::function<HttpResponse(Failure)>;

/// Limits that may change while the server is running.
struct HttpLimits {
  std::size_t MaxHeaderBytes_;
  std::size_t MaxBodyBytes_;
  /// How long an idle connection is kept open.
  std::chrono::milliseconds IdleTimeout_;
};

/// Configuration of a server on one listening address.
struct HttpServerOptions {
  Endpoint Address_;
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  std::size_t MaxBodyBytes_ = 8 * 1024 * 1024;
  std::size_t MaxConnections_ = 10000;
  /// How long a request may take to arrive, and how long an idle connection is
  /// kept open.
  std::chrono::milliseconds ReadTimeout_{30000};
  /// How long a caller may go without reading any byte of its response.
  std::chrono::milliseconds WriteTimeout_{30000};
  HttpHandler Handler_;
  HttpRefusal Refusal_;
  CutHook Cut_ = [](const HttpRequest &, CutReason) {};
  /// Called for each request; if unset, the limits above apply throughout.
  std::function<HttpLimits()> Limits_;
  /// What the kernel may hold of what callers send and is not read, over all
  /// connections, and as much of heads, in bytes; 0: without limit.
  std::size_t ReceiveBytes_ = 0;
  /// Requests whose fields contradict each other are refused.
  FieldRules Fields_;
  /// Called before a large body is read, which otherwise takes the room of
  /// others although its request is refused; unset: all are read.
  BodyCheck CheckBody_;
};

/// Accepts connections on one context and distributes them over worker
/// contexts.
class HttpServer {
public:
  virtual ~HttpServer() = default;
  /// Bodies of requests are held in \p Memory, in which large ones wait for
  /// room. \returns BadSetting when the address can't be bound.
  static Result<std::unique_ptr<HttpServer>>
  create(boost::asio::io_context &AcceptContext,
         std::vector<boost::asio::io_context *> Workers, MemoryBudget &Memory,
         HttpServerOptions Options);
  virtual Endpoint address() const = 0;
  /// Stops accepting connections. Responses sent from now on carry "Connection:
  /// close".
  virtual void stopAccepting() = 0;
  /// Responses carry "Connection: close" from now on; new connections are still
  /// accepted.
  virtual void closeAfterAnswers() = 0;
  virtual std::size_t openConnections() const = 0;
  /// The number of requests whose first byte has been received and whose
  /// response is not complete.
  virtual std::size_t activeExchanges() const = 0;
  /// When the last connection was accepted.
  virtual std::chrono::steady_clock::time_point lastAccepted() const = 0;
};

/// How the end of a response's body is known.
enum class BodyEnd {
  Length, ///< By its length; also a response that can't have a body.
  Chunks, ///< By its last chunk.
  Close,  ///< By the end of the connection.
};

/// \returns the name in logs and metrics, e.g. "close".
std::string_view bodyEndName(BodyEnd Known);

/// What shows that the server has closed its side of a connection normally.
enum class EndOfBytes {
  OfConnection, ///< The end of the connection.
  InFrame,      ///< The last frame of a relay.
  Unknown,      ///< Nothing: a relay between may have ended instead.
};

/// The client side of a connection, for use by one coroutine at a time.
class HttpConnection {
public:
  virtual ~HttpConnection() = default;
  /// \returns ConnectFailed, after \p Timeout at the latest.
  static Awaitable<Result<std::unique_ptr<HttpConnection>>>
  connect(Endpoint Address, std::chrono::milliseconds Timeout);
  /// \returns a connection that uses \p Socket, which is connected.
  static std::unique_ptr<HttpConnection>
  adopt(boost::asio::ip::tcp::socket Socket, EndOfBytes End);

  /// Writes the request. After an error it is not known whether any bytes were
  /// sent. A long body may still be being written when this returns, because
  /// the server may respond before it has read all of it.
  virtual Awaitable<Result<void>> send(const HttpRequest &Request,
                                       std::chrono::milliseconds Timeout) = 0;
  /// Accepts a body without a length that ends with its connection as complete,
  /// unless the connection was reset, or nothing shows that the server closed
  /// it.
  virtual void acceptUnframed() = 0;
  /// The keep-alive timeout that the server announced for idle connections.
  virtual std::optional<std::chrono::seconds> idleLimit() const = 0;
  /// Reads the head of the response; the body of the result is empty. Interim
  /// responses (RFC 9110, section 15.2) are passed over.
  /// \returns AnswerTimeout, ConnectionLost, AnswerTooLarge or MalformedAnswer.
  virtual Awaitable<Result<HttpResponse>>
  readHead(std::chrono::milliseconds Timeout) = 0;
  /// Reads a chunk of the body. An empty string marks the end and is returned
  /// only when the body was complete.
  /// \returns AnswerTimeout, ConnectionLost, AnswerTooLarge or MalformedAnswer.
  virtual Awaitable<Result<std::string>>
  readSome(std::chrono::milliseconds Timeout) = 0;
  /// How the end of the response is known whose head was read last.
  virtual BodyEnd bodyEnd() const = 0;
  /// True when the last response was read to its end and the server keeps the
  /// connection open. Only then may another request use it.
  virtual bool reusable() const = 0;
  /// True while the server has neither closed the connection nor sent
  /// unexpected bytes.
  virtual bool hasNoUnexpectedInput() = 0;
  /// When the last byte was received.
  virtual std::chrono::steady_clock::time_point lastReceived() const = 0;
  /// Closes the connection. A pending read returns ConnectionLost.
  virtual void close() = 0;

  /// The calls that the connection has carried.
  CarriedCalls &carried() { return Carried_; }
  const CarriedCalls &carried() const { return Carried_; }

private:
  CarriedCalls Carried_;
};

/// \returns whether the end of \p Body, read from \p Connection, is known: by
/// its framing, or as it is whole JSON.
bool isEndKnown(const HttpConnection &Connection, std::string_view Body);

/// Timeouts of one call.
struct HttpCallLimits {
  /// From the start of the call to the head of the response.
  std::chrono::milliseconds Head_;
  /// The longest pause between two chunks of the response body.
  std::chrono::milliseconds Silence_;
  /// From the head of the response to its end.
  std::chrono::milliseconds Body_;
  std::size_t MaxBodyBytes_ = MaxAnswerBytes;
  /// The time for the body is granted again with each of so many bytes of it,
  /// since a longer one takes longer on the same link; 0: never. Only for
  /// httpCallInParts().
  std::size_t BytesPerBodyTime_ = 0;
};

/// Sends one request over a connection of its own. \p OnHead, if set, is called
/// when the head of the response has been read.
Awaitable<Result<HttpResponse>> httpCall(Endpoint Address, HttpRequest Request,
                                         HttpCallLimits Limits,
                                         std::function<void()> OnHead);

/// Read a body while it comes, so that it is never held as a whole.
struct HttpBodyHooks {
  /// Called with the head, before any byte of the body.
  std::function<void(const HttpResponse &Head)> Begin_;
  /// Called with each part of the body. A failure ends the call.
  std::function<Result<void>(std::string_view Bytes)> Take_;
  /// \returns whether the body is complete if only the end of the connection
  /// ends it.
  std::function<bool()> IsWhole_;
};

/// Sends one request over a connection of its own. The body goes to \p Body,
/// not into the result; \p Limits do not bound its size. If their time for the
/// body is 0, the one for the head is for the whole call.
Awaitable<Result<HttpResponse>> httpCallInParts(Endpoint Address,
                                                HttpRequest Request,
                                                HttpCallLimits Limits,
                                                HttpBodyHooks Body);

/// Sends one request over a connection of its own, with \p Timeout for the
/// whole call. A longer body than \p MaxBodyBytes is AnswerTooLarge.
Awaitable<Result<HttpResponse>>
httpCall(Endpoint Address, HttpRequest Request,
         std::chrono::milliseconds Timeout,
         std::size_t MaxBodyBytes = MaxAnswerBytes);

} // namespace samphireshunt
