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
/// Events that wait are joined up to this size: a buffer for each small event
/// would take more memory than the event.
constexpr std::size_t JoinedBytes = 16384;

} // namespace

/// A write in progress. It ends also by an exception, since otherwise
/// finished() would wait forever.
class AnswerWriter::Write {
public:
  explicit Write(AnswerWriter &Writer) : Writer_(Writer) {
    Writer_.Writing_ = true;
  }
  ~Write() {
    if (!Complete_)
      Writer_.Failed_ = true;
    Writer_.Queue_.clear();
    Writer_.Writing_ = false;
    Writer_.setPending(0);
  }
  Write(const Write &) = delete;
  Write &operator=(const Write &) = delete;
  void complete() { Complete_ = true; }

private:
  AnswerWriter &Writer_;
  bool Complete_ = false;
};

AnswerWriter::AnswerWriter(const boost::asio::any_io_executor &Executor,
                           HttpExchange &Exchange, MemoryBudget &Budget)
    : Exchange_(Exchange), Budget_(Budget),
      Changed_(Executor, std::chrono::steady_clock::time_point::max()) {}

std::shared_ptr<AnswerWriter>
AnswerWriter::create(const boost::asio::any_io_executor &Executor,
                     HttpExchange &Exchange, MemoryBudget &Budget) {
  std::shared_ptr<AnswerWriter> Created(
      new AnswerWriter(Executor, Exchange, Budget));
  if (Budget.limit() > 0)
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

void AnswerWriter::setPending(std::size_t Bytes) {
  Pending_ = Bytes;
  if (Reader_)
    Reader_->setPending(Bytes);
  Changed_.cancel();
}

void AnswerWriter::endReader() {
  // It may have read everything since, and the exchange may have ended.
  if (!Writing_)
    return;
  EndedForMemory_ = true;
  Exchange_.abort();
}

void AnswerWriter::push(std::string Events) {
  std::size_t Size = Events.size();
  if (!Queue_.empty() && Queue_.back().size() + Size <= JoinedBytes)
    Queue_.back() += Events;
  else
    Queue_.push_back(std::move(Events));
  setPending(Pending_ + Size);
  if (std::exchange(Writing_, true))
    return;
  auto Run = [Self = shared_from_this()]() { return Self->writeQueue(); };
  spawnLogged(Changed_.get_executor(), "write-answer", std::move(Run));
}

Awaitable<bool> AnswerWriter::enqueue(std::string Events) {
  if (Events.empty() || Failed_)
    co_return !Failed_;
  auto Self = shared_from_this();
  push(std::move(Events));
  while (!Failed_ && isFarBehind())
    co_await waitForChange();
  co_return !Failed_;
}

Awaitable<void> AnswerWriter::writeQueue() {
  Write Running(*this);
  while (!Queue_.empty() && !Failed_) {
    std::string Next = std::move(Queue_.front());
    Queue_.pop_front();
    std::size_t Size = Next.size();
    bool Written = co_await Exchange_.writeChunk(std::move(Next));
    if (!Written)
      co_return;
    setPending(Pending_ - Size);
  }
  Running.complete();
}

Awaitable<bool> AnswerWriter::respond(HttpResponse Answer) {
  auto Self = shared_from_this();
  Write Running(*this);
  setPending(Answer.Body_.size());
  bool Written = co_await Exchange_.respond(std::move(Answer));
  if (Written)
    Running.complete();
  co_return Written;
}

void AnswerWriter::giveUp() {
  Failed_ = true;
  Changed_.cancel();
}

Awaitable<void> AnswerWriter::waitForChange() {
  boost::system::error_code Ignored;
  Changed_.expires_at(std::chrono::steady_clock::time_point::max());
  co_await Changed_.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

bool AnswerWriter::isFarBehind() const {
  MemoryLevel Level = Budget_.level();
  if (Level == MemoryLevel::Full)
    return Pending_ > 0;
  return Level == MemoryLevel::Tight && Pending_ > MaxPendingWhileTight;
}

Awaitable<bool> AnswerWriter::finished() {
  auto Self = shared_from_this();
  while (Writing_)
    co_await waitForChange();
  co_return !Failed_;
}

} // namespace samphireshunt
