#include "Request/GrantWait.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace samphireshunt {

namespace asio = boost::asio;

std::shared_ptr<GrantWait> GrantWait::create(asio::any_io_executor Executor,
                                             GrantClient &Grants,
                                             RequestId Id) {
  return std::shared_ptr<GrantWait>(
      new GrantWait(std::move(Executor), Grants, Id));
}

GrantWait::GrantWait(asio::any_io_executor Executor, GrantClient &Grants,
                     RequestId Id)
    : Executor_(Executor), Grants_(Grants), Id_(Id), Signal_(Executor) {}

Awaitable<std::optional<GrantAnswer>>
GrantWait::wait(CellId Cell, GrantRequest Request, TimePoint Deadline) {
  Answer_.reset();
  if (CallerLeft_ || Stopped_)
    co_return std::nullopt;
  Waiting_ = true;
  Signal_.expires_at(Deadline);
  auto Deliver = [Self = shared_from_this()](GrantAnswer Answer) {
    asio::post(Self->Executor_, [Self, Answer = std::move(Answer)]() mutable {
      Self->deliver(std::move(Answer));
    });
  };
  Grants_.acquire(std::move(Cell), std::move(Request), std::move(Deliver));
  co_await Signal_.async_wait(asio::as_tuple(asio::use_awaitable));
  Waiting_ = false;
  if (!Answer_)
    Grants_.withdraw(Id_);
  co_return std::move(Answer_);
}

Awaitable<void> GrantWait::pause(std::chrono::milliseconds Time) {
  if (CallerLeft_ || Stopped_)
    co_return;
  Pausing_ = true;
  Signal_.expires_after(Time);
  co_await Signal_.async_wait(asio::as_tuple(asio::use_awaitable));
  Pausing_ = false;
}

void GrantWait::deliver(GrantAnswer Answer) {
  // The wait may have ended after the keeper answered. The withdrawal is then
  // already posted to the control thread and returns the grant there, so the
  // grant must not be used here.
  if (!Waiting_)
    return;
  Answer_ = std::move(Answer);
  Signal_.cancel();
}

void GrantWait::stop() {
  Stopped_ = true;
  if (Waiting_ || Pausing_)
    Signal_.cancel();
}

void GrantWait::callerLeft() {
  CallerLeft_ = true;
  if (Waiting_ || Pausing_)
    Signal_.cancel();
}

} // namespace samphireshunt
