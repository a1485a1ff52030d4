#pragma once
/// \file
/// The platform's metadata store, written anew over its published protocol, in
/// the test's own thread, with faults.

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
  /// Writes as operators and servers do, past the protocol.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// The value of a key; empty when it does not exist.
  std::string get(const std::string &Key) const;
  /// Keeps a copy of everything as it is now.
  void takeCopy() { Copy_ = State{Items_, Changes_, Revision_}; }
  /// Comes back from the copy, in the next era: what was written since is gone,
  /// and its revisions are given out again. Calls that wait are cut.
  void restoreCopy();
  /// Forgets all changes so far.
  void dropHistory() { HistoryFrom_ = Revision_; }
  std::size_t calls(const std::string &Path) const;
  /// Of the bodies of all answers so far.
  std::size_t bytesSent() const { return BytesSent_; }

  /// Answers every call with this status; 0: answers properly.
  int FailWith_ = 0;
  /// Answers every call with this body; empty: answers properly.
  std::string AnswerWith_;
  /// Takes calls and never answers.
  bool Silent_ = false;
  /// Watches that wait while this is set hear nothing and, when their time is
  /// up, tell the newest revision without the changes up to it.
  bool DeafWatches_ = false;
  /// This many writes are done and not answered.
  int LoseWriteAnswers_ = 0;
  std::size_t PageSize_ = 500;
  /// Told in all answers; empty: the field is left out.
  std::string Era_;
  /// Called before each answer of a list, with the number of its page.
  std::function<void(std::size_t)> BeforePage_ = [](std::size_t) {};
  /// What the link to the store carries, all answers together; 0: no limit.
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
  /// Returns when the link has carried \p Bytes more.
  Awaitable<void> carry(std::size_t Bytes);
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
  /// When all that was given to the link so far is through.
  std::chrono::steady_clock::time_point LinkFreeAt_;
  std::uint64_t Revision_ = 1;
  std::uint64_t HistoryFrom_ = 0;
  State Copy_;
  /// Of all times that it came back; calls that began before are cut.
  std::uint64_t Restores_ = 0;
};

/// Runs \p Context until \p Done, some seconds at the most.
bool runUntil(boost::asio::io_context &Context,
              const std::function<bool()> &Done);
void runFor(boost::asio::io_context &Context, std::chrono::milliseconds Time);

} // namespace samphireshunt::tests
