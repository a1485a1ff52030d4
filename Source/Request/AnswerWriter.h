#pragma once
/// \file
/// Writes a stream to its caller at the caller's pace, while its engine is read
/// at the engine's pace. A caller that reads slowly would otherwise hold the
/// engine's slot, and engines cut off answers that remain unread.

#include "Connection/Http.h"
#include "Connection/MemoryBudget.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace samphireshunt {

/// Used on one worker's executor only. The exchange must exist until finished()
/// has returned.
class AnswerWriter : public std::enable_shared_from_this<AnswerWriter> {
public:
  static std::shared_ptr<AnswerWriter>
  create(const boost::asio::any_io_executor &Executor, HttpExchange &Exchange,
         MemoryBudget &Budget);

  /// Writes events after all earlier ones. Waits while the caller is too far
  /// behind for the daemon's memory; without a bound of that, until they are
  /// written. \returns false once the caller can't be written to.
  Awaitable<bool> write(std::string Events) {
    return Reader_ ? enqueue(std::move(Events))
                   : Exchange_.writeChunk(std::move(Events));
  }
  /// Writes a whole answer, the only one of its request. \returns false if it
  /// couldn't be written.
  Awaitable<bool> respond(HttpResponse Answer);
  /// Writes nothing more: the caller has left.
  void giveUp();
  /// Waits until everything is written, or can't be. \returns false if the
  /// caller can't be written to.
  Awaitable<bool> finished();
  /// \returns true if the caller was ended because it read too slowly.
  bool readTooSlowly() const { return EndedForMemory_; }
  bool failed() const { return Failed_; }
  std::size_t pending() const { return Pending_; }

private:
  AnswerWriter(const boost::asio::any_io_executor &Executor,
               HttpExchange &Exchange, MemoryBudget &Budget);
  void registerReader();
  class Write;

  void endReader();
  void setPending(std::size_t Bytes);
  Awaitable<bool> enqueue(std::string Events);
  void push(std::string Events);
  Awaitable<void> writeQueue();
  Awaitable<void> waitForChange();
  bool isFarBehind() const;

  HttpExchange &Exchange_;
  MemoryBudget &Budget_;
  boost::asio::steady_timer Changed_;
  /// Null without a bound of memory.
  std::unique_ptr<MemoryBudget::Reader> Reader_;
  std::deque<std::string> Queue_;
  std::size_t Pending_ = 0;
  bool Writing_ = false;
  bool Failed_ = false;
  bool EndedForMemory_ = false;
};

} // namespace samphireshunt
