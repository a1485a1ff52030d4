#pragma once
/// \file
/// A fake of the platform's metadata store. It implements the published
/// protocol, runs in the test's thread and can be told to misbehave.

#include "Connection/Http.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace samphireshunt::tests {

class FakeStore {
public:
  explicit FakeStore(boost::asio::io_context &Context);

  Endpoint address() const { return Server_->address(); }
  /// Writes directly, without a request, as operators and servers would.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// \returns the value of a key, empty if it does not exist.
  std::string get(const std::string &Key) const;
  /// Takes a backup of the current state; it replaces an earlier one.
  void takeBackup() { Backup_ = State{Items_, Changes_, Revision_}; }
  /// Restores the backup and enters the next era. Later writes are lost and
  /// their revisions are assigned again. Pending calls are aborted.
  void restoreBackup();
  /// Drops the history of all changes so far, so that watches cannot read it.
  void dropHistory() { HistoryFrom_ = Revision_; }
  std::size_t calls(const std::string &Path) const;
  /// The total size of the bodies of all responses so far.
  std::size_t bytesSent() const { return BytesSent_; }

  /// If not 0, every call gets this status.
  int FailWith_ = 0;
  /// If not empty, every call gets this body.
  std::string AnswerWith_;
  /// Accepts calls and does not answer them.
  bool Silent_ = false;
  /// Watches that are pending while this is set report no changes. When their
  /// time is up, they return the newest revision without the changes up to it.
  bool DropWatchEvents_ = false;
  /// This many writes are applied without an answer.
  int LoseWriteAnswers_ = 0;
  std::size_t PageSize_ = 500;
  /// Sent as the store era in all responses. If empty, the header is omitted.
  std::string Era_;
  /// Called before a page of a list is read: with 0 for the first page and 1
  /// for all later ones.
  std::function<void(std::size_t)> BeforePage_ = [](std::size_t) {};
  /// Keys whose items have this value as it is, instead of their own in base64,
  /// or no key at all if it is empty.
  std::map<std::string, std::string> OddItems_;
  /// The bandwidth of the store's link, shared by all responses; 0 for no
  /// limit.
  std::size_t BytesPerSecond_ = 0;

private:
  struct Item {
    std::string Value_;
    std::uint64_t Revision_ = 0;
  };
  struct Change {
    std::string Key_;
    std::uint64_t Revision_;
    bool Removed_;
  };

  struct State {
    std::map<std::string, Item> Items_;
    std::vector<Change> Changes_;
    std::uint64_t Revision_ = 1;
  };

  Awaitable<void> handle(HttpExchange &Exchange);
  Awaitable<void> send(HttpExchange &Exchange, HttpResponse Answer);
  /// Waits until the link has transmitted \p Bytes more.
  Awaitable<void> transmit(std::size_t Bytes);
  Awaitable<void> sleep(std::chrono::steady_clock::duration Time);
  Awaitable<void> sleepWhileSilent();
  Awaitable<HttpResponse> watch(const HttpRequest &Request);
  HttpResponse range(const HttpRequest &Request) const;
  HttpResponse key(const HttpRequest &Request) const;
  HttpResponse transaction(const HttpRequest &Request);
  nlohmann::json itemOf(const std::string &Key, const Item &Stored) const;

  boost::asio::io_context &Context_;
  std::unique_ptr<HttpServer> Server_;
  std::map<std::string, Item> Items_;
  std::vector<Change> Changes_;
  std::map<std::string, std::size_t> Calls_;
  std::size_t BytesSent_ = 0;
  /// When the link has transmitted all data that it was given so far.
  std::chrono::steady_clock::time_point LinkFreeAt_;
  std::uint64_t Revision_ = 1;
  std::uint64_t HistoryFrom_ = 0;
  State Backup_;
  /// The number of restores. Calls that began before the last one are aborted.
  std::uint64_t Restores_ = 0;
};

/// Runs \p Context until \p Done returns true, for 10 seconds at most. \returns
/// the last result of \p Done.
bool runUntil(boost::asio::io_context &Context,
              const std::function<bool()> &Done);
void runFor(boost::asio::io_context &Context, std::chrono::milliseconds Time);

} // namespace samphireshunt::tests
