#pragma once
/// \file
/// Stand-ins for the cases of the second review: the platform's store and an
/// engine, as the users' pages describe them, and HTTP over blocking sockets.
/// Each connection has a thread.

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;

/// A request or a response: its first line, the fields by lower-case name, and
/// the body.
struct Message {
  std::string Line_;
  std::map<std::string, std::string> Fields_;
  std::string Body_;

  std::string field(const std::string &Name) const;
  /// \returns the status of a response.
  int status() const;
  /// \returns the method, or the target, of a request.
  std::string word(std::size_t Index) const;
};

/// One TCP connection.
class Connection {
public:
  explicit Connection(int Socket) : Socket_(Socket) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool send(const std::string &Bytes);
  /// Closes the sending direction only.
  void endSending();
  /// Makes the end of the connection a reset.
  void resetAtEnd();
  /// \returns nothing if the connection ends before the head does.
  std::optional<Message> readHead();
  /// Reads a message with a length or in chunks. \returns nothing if it is not
  /// whole.
  std::optional<Message> read();
  /// Limits the time of each read.
  void limitReads(int Milliseconds);
  /// \returns whether the peer has closed its sending direction.
  bool peerHasClosed() const;

private:
  bool fill();
  std::optional<std::string> take(std::size_t Count);
  std::optional<std::string> takeLine();

  int Socket_;
  std::string Held_;
};

/// Serves each connection at a free port of 127.0.0.1 on a thread.
/// \returns the address.
std::string serve(std::function<void(Connection &)> Handler);
/// \returns a socket, or -1.
int connectTo(const std::string &Address);

/// The platform's store.
class Store {
public:
  /// \returns the address.
  std::string start();
  void put(const std::string &Key, const std::string &Value);

private:
  struct Item {
    std::string Value_;
    std::uint64_t Revision_ = 0;
    std::uint64_t Created_ = 0;
  };

  void handle(Connection &Peer);
  Json answer(const Message &Request, int &Status);
  Json range(const std::map<std::string, std::string> &Query);
  Json watch(const std::map<std::string, std::string> &Query);
  Json transact(const Json &Body, int &Status);
  Json itemOf(const std::string &Key) const;
  void putLocked(const std::string &Key, const std::string &Value);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::uint64_t Revision_ = 100;
  std::map<std::string, Item> Items_;
  /// The last change of each key, deletions included.
  std::map<std::string, std::uint64_t> Changes_;
};

/// Writes lines with the time since the start to a file. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  void line(const std::string &Text);

private:
  std::mutex Mutex_;
  std::FILE *File_;
  std::int64_t Started_;
};

/// An engine. It begins to work on a request at once. It answers a path below
/// /stream/ with events, and drops such a request when its channel closes; it
/// answers other paths with a body.
class Engine {
public:
  Engine(std::string Id, std::string Service, Store &Registry, Record &Log)
      : Id_(std::move(Id)), Service_(std::move(Service)), Registry_(Registry),
        Log_(Log) {}

  /// Starts to serve, and to write its entry.
  void start();
  /// Loses the answers of two in five requests with a body: their channels are
  /// reset.
  void loseAnswers() { Loses_ = true; }
  bool hasRun(const std::string &RequestId);

private:
  void handle(Connection &Peer);
  bool run(Connection &Peer, const Message &Request);
  bool answerBody(Connection &Peer, const std::string &Id);
  bool answerStream(Connection &Peer, const std::string &Id);
  void keepRegistered();

  std::string Id_;
  std::string Service_;
  Store &Registry_;
  Record &Log_;
  std::string Address_;
  std::mutex Mutex_;
  std::vector<std::string> Runs_;
  bool Loses_ = false;
  int Bodies_ = 0;
};

} // namespace review
