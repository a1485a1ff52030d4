#pragma once
/// \file
/// Small stand-ins for the platform's store, a server and a client, with
/// blocking sockets and a thread for each connection.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace review {

/// A connection. Closed when destroyed.
class Socket {
public:
  explicit Socket(int Descriptor) : Descriptor_(Descriptor) {}
  Socket(Socket &&Other) noexcept;
  Socket &operator=(Socket &&Other) noexcept;
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  ~Socket();

  bool isOpen() const { return Descriptor_ >= 0; }
  bool send(std::string_view Bytes) const;
  /// \returns what has come; empty at the end, or after \p TimeoutMs.
  std::string receive(int TimeoutMs) const;

private:
  int Descriptor_;
};

Socket connectTo(const std::string &Address);

/// A message as it was read, with the names of its fields in lower case.
struct Message {
  std::string StartLine_;
  std::map<std::string, std::string> Fields_;
  std::string Body_;

  std::string field(const std::string &Name) const;
};

/// Reads messages with a length, or without a body, from a connection.
class Reader {
public:
  explicit Reader(const Socket &From) : From_(From) {}
  std::optional<Message> next(int TimeoutMs);

private:
  bool fill(int TimeoutMs);

  const Socket &From_;
  std::string Buffer_;
};

/// Listens at a free port of the loopback address.
class Server {
public:
  using Handler = std::function<std::string(const Message &)>;

  /// \p Answer returns the bytes of the answer to a request.
  explicit Server(Handler Answer);
  const std::string &address() const { return Address_; }

private:
  Handler Answer_;
  std::string Address_;
};

std::string answer(int Status, const std::string &Fields,
                   const std::string &Body);

/// The platform's store: items, lists, watches and conditional writes.
class Store {
public:
  Store();
  const std::string &address() const { return Server_.address(); }
  void put(const std::string &Key, const std::string &Value);

private:
  struct Item {
    std::string Value_;
    std::uint64_t Revision_ = 0;
  };

  std::string handle(const Message &Request);
  std::string range(const std::string &Prefix, const std::string &After);
  std::string watch(std::uint64_t After, int WaitMs);
  std::string transaction(const std::string &Body);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, Item> Items_;
  std::uint64_t Revision_ = 1;
  Server Server_;
};

/// The record of a run. Thread-safe.
class Record {
public:
  explicit Record(std::string Path) : Path_(std::move(Path)) {}
  void add(const std::string &Line);

private:
  std::mutex Mutex_;
  std::string Path_;
  bool Begun_ = false;
};

} // namespace review
