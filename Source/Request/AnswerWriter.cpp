#include "Request/AnswerWriter.h"

#include "Connection/Spawn.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace samphireshunt {

namespace {

/// What may wait for one caller while memory is tight: a long answer whole.
constexpr std::size_t MaxPendingWhileTight = 262144;

} // namespace

AnswerWriter::AnswerWriter(const boost::asio::any_io_executor &Executor,
                           HttpExchange &Exchange, MemoryBudget &Budget)
    : Exchange_(Exchange), Budget_(Budget),
      Changed_(Executor, std::chrono::steady_clock::time_point::max()) {}

std::shared_ptr<AnswerWriter>
AnswerWriter::create(const boost::asio::any_io_executor &Executor,
                     HttpExchange &Exchange, MemoryBudget &Budget) {
  std::shared_ptr<AnswerWriter> Created(
      new AnswerWriter(Executor, Exchange, Budget));
  Created->registerReader();
  return Created;
}

void AnswerWriter::registerReader() {
  Reader_ = Budget_.addReader(
      [Weak = weak_from_this(), Executor = Changed_.get_executor()] {
        boost::asio::post(Executor, [Weak] {
          if (auto Self = Weak.lock())
            Self->endReader();
        });
      });
}

void AnswerWriter::endReader() {
  EndedForMemory_ = true;
  Exchange_.abort();
}

void AnswerWriter::push(std::string Events) {
  if (Events.empty() || Failed_)
    return;
  Pending_ += Events.size();
  Queue_.push_back(std::move(Events));
  Reader_->setPending(Pending_);
  if (std::exchange(Writing_, true))
    return;
  auto Run = [Self = shared_from_this()]() { return Self->write(); };
  spawnLogged(Changed_.get_executor(), "write-answer", std::move(Run));
}

Awaitable<void> AnswerWriter::write() {
  while (!Queue_.empty() && !Failed_) {
    std::string Next = std::move(Queue_.front());
    Queue_.pop_front();
    std::size_t Size = Next.size();
    bool Written = co_await Exchange_.writeChunk(std::move(Next));
    Pending_ -= Size;
    if (!Written) {
      Failed_ = true;
      Queue_.clear();
      Pending_ = 0;
    }
    Reader_->setPending(Pending_);
    Changed_.cancel();
  }
  Writing_ = false;
  Changed_.cancel();
}

Awaitable<void> AnswerWriter::waitForChange() {
  boost::system::error_code Ignored;
  Changed_.expires_at(std::chrono::steady_clock::time_point::max());
  co_await Changed_.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

Awaitable<bool> AnswerWriter::waitForCaller() {
  auto Self = shared_from_this();
  while (!Failed_ && Pending_ > MaxPendingWhileTight &&
         Budget_.level() != MemoryLevel::Free)
    co_await waitForChange();
  co_return !Failed_;
}

Awaitable<bool> AnswerWriter::finished() {
  auto Self = shared_from_this();
  while (Writing_)
    co_await waitForChange();
  co_return !Failed_;
}

} // namespace samphireshunt
