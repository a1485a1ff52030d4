#pragma once
/// \file
/// A daemon's path of a forwarded request in one process and one thread: caller
/// side, keeper and connections are the real ones; backend servers are scripts
/// that read a request and write bytes.

#include "Process/Keeping/KeeperService.h"
#include "Request/CallerService.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphireshunt::tests {

/// What a scripted server does with one request.
struct Script {
  enum class Then {
    KeepOpen, ///< Waits for the next request.
    Close,    ///< Closes in order.
    Reset,    ///< Resets the connection.
    Hold      ///< Does nothing until the other side closes.
  };
  std::string Bytes_;
  Then Then_ = Then::KeepOpen;
  /// Answers once this much of the request has come; 0: the whole of it.
  std::size_t AnswerAfterBytes_ = 0;
};

/// Decides by the request's bytes and its number at this server, from 0.
using ScriptOf =
    std::function<Script(const std::string &Request, std::size_t Number)>;

class ScriptedServer {
public:
  ScriptedServer(boost::asio::io_context &Context, ScriptOf Decide);

  Endpoint address() const { return Acceptor_.local_endpoint(); }
  const std::vector<std::string> &requests() const { return Requests_; }
  std::size_t connections() const { return Connections_; }
  /// Connections that the other side closed.
  std::size_t closed() const { return Closed_; }

private:
  Awaitable<void> accept();
  Awaitable<void> serve(boost::asio::ip::tcp::socket Socket);

  boost::asio::ip::tcp::acceptor Acceptor_;
  ScriptOf Decide_;
  std::vector<std::string> Requests_;
  std::size_t Connections_ = 0;
  std::size_t Closed_ = 0;
};

/// A listening socket that no coroutine serves: it shows what has reached it
/// between two handlers of a harness, without taking a turn itself.
class BareListener {
public:
  BareListener();

  Endpoint address() const { return Acceptor_.local_endpoint(); }
  /// True once a connection was made to it.
  bool connected();
  /// All bytes of the first connection so far.
  const std::string &received();
  /// True once the other side has closed the first connection.
  bool closed();

private:
  void read();

  boost::asio::io_context Context_{1};
  boost::asio::ip::tcp::acceptor Acceptor_;
  boost::asio::ip::tcp::socket Socket_;
  std::string Received_;
  bool Closed_ = false;
};

/// What a caller saw: all bytes until its answer was whole, or the end.
struct CallerSaw {
  std::string Bytes_;
  bool Ended_ = false; ///< The connection ended, or the answer is whole.
  std::weak_ptr<boost::asio::ip::tcp::socket> Connection_;

  int status() const;
  std::string body() const;
  bool hasLastChunk() const;
};

class ForwardingHarness {
public:
  struct Options {
    RequestKind Kind_ = RequestKind::NonIdempotent;
    bool Resumable_ = false;
    std::uint32_t Attempts_ = 2;
    std::uint32_t MaxInFlight_ = 4;
    bool Keyed_ = false;
    /// The route's.
    std::chrono::milliseconds Timeout_{3000};
    BootClock::duration Lease_{0};
    /// How long a newer configuration may be known of; 0: for ever.
    BootClock::duration ApplyBound_{0};
  };

  ForwardingHarness(Options Wanted, std::vector<ScriptOf> Servers);

  /// Sends a request with this body and reads its answer.
  CallerSaw call(const std::string &CallId, const std::string &Body = "x",
                 const std::string &MoreFields = "");
  /// Begins a call; the answer is read while run() or runUntil() run.
  std::shared_ptr<CallerSaw> begin(const std::string &CallId,
                                   const std::string &Body = "x",
                                   const std::string &MoreFields = "");
  /// Closes the call's connection.
  static void leave(const CallerSaw &Call);
  /// Runs until \p Done, some seconds at the most. \returns whether it is.
  bool runUntil(const std::function<bool()> &Done);

  ScriptedServer &server(std::size_t Index) { return *Servers_[Index]; }
  std::size_t received() const;
  /// Publishes the directory; \p Leaving and \p Gone are indexes of servers.
  void publish(std::vector<std::size_t> Leaving = {},
               std::vector<std::size_t> Gone = {});
  /// Publishes a directory with one server, at this address.
  void publishAt(const Endpoint &Address);
  /// Puts a configuration in force with these keys.
  void adopt(std::vector<std::string> Keys);
  FreshnessLease &lease() { return Lease_; }
  std::size_t waiting() const { return Grants_->waiting(); }

private:
  RequestServices services();
  Awaitable<void> ask(std::string Bytes, std::shared_ptr<CallerSaw> Saw);

  Options Options_;
  boost::asio::io_context Context_{1};
  FreshnessLease Lease_;
  DocumentStore Documents_;
  std::vector<std::unique_ptr<ScriptedServer>> Servers_;
  PlatformHooks NoPlatform_;
  ClaimStore Claims_{NoPlatform_, ClaimStore::Options()};
  RepeatBudget Repeats_{RepeatBudget::Options()};
  ForwardingDialect Dialect_ = ownDialect();
  BackendConnections Connections_{BackendConnections::Options()};
  std::unique_ptr<KeeperService> Keeper_;
  std::unique_ptr<GrantClient> Grants_;
  std::unique_ptr<CallerService> Callers_;
  std::unique_ptr<HttpServer> Front_;
  std::uint64_t NextId_ = 1;
  std::uint64_t Version_ = 0;
};

/// "HTTP/1.1 200 OK" with a length, the call's id and the proof.
std::string wholeAnswer(const std::string &CallId, const std::string &Body,
                        int Status = 200);
/// The head of a chunked stream of events.
std::string streamHead(const std::string &CallId);
/// One event as one chunk.
std::string eventChunk(int Id, const std::string &Data);
std::string chunk(const std::string &Data);
inline const std::string LastChunk = "0\r\n\r\n";
/// The server says that it did not run the request.
std::string refusal(const std::string &CallId);
/// The value of a field in a request's or answer's bytes; empty when absent.
std::string fieldIn(const std::string &Bytes, const std::string &Name);

} // namespace samphireshunt::tests
