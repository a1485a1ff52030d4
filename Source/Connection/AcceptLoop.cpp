#include "Connection/AcceptLoop.h"

#include "Common/Log.h"
#include "Connection/Spawn.h"

#include <utility>

namespace samphireshunt {

namespace {

using boost::system::error_code;

/// How long nothing is accepted after a failure. A process that has no
/// descriptor left gets the next failure at once.
constexpr std::chrono::milliseconds PauseTime{50};
constexpr std::chrono::seconds LineInterval{1};

} // namespace

std::shared_ptr<AcceptLoop> AcceptLoop::create(Tcp::acceptor Acceptor,
                                               std::string_view Name,
                                               Hooks Reactions) {
  return std::shared_ptr<AcceptLoop>(
      new AcceptLoop(std::move(Acceptor), Name, std::move(Reactions)));
}

AcceptLoop::AcceptLoop(Tcp::acceptor Acceptor, std::string_view Name,
                       Hooks Reactions)
    : Acceptor_(std::move(Acceptor)), Name_(Name), Hooks_(std::move(Reactions)),
      Timer_(Acceptor_.get_executor()) {}

void AcceptLoop::stop() {
  error_code Ignored;
  Acceptor_.close(Ignored);
  Timer_.cancel();
}

void AcceptLoop::acceptNext() {
  Acceptor_.async_accept(
      Hooks_.Context_(),
      [Weak = weak_from_this()](const error_code &Error, Tcp::socket Accepted) {
        auto Self = Weak.lock();
        if (!Self || !Self->Acceptor_.is_open())
          return;
        if (Error)
          return Self->pause(Error);
        runLogged(Self->Name_,
                  [&] { Self->Hooks_.Accepted_(std::move(Accepted)); });
        if (Self->Acceptor_.is_open())
          Self->acceptNext();
      });
}

void AcceptLoop::pause(const error_code &Cause) {
  auto Now = std::chrono::steady_clock::now();
  if (Now - LastLine_ >= LineInterval) {
    LastLine_ = Now;
    logEvent(LogCategory::Process, spdlog::level::warn, "accept-failed",
             {{"listener", std::string(Name_)}, {"detail", Cause.message()}});
  }
  Timer_.expires_after(PauseTime);
  Timer_.async_wait([Weak = weak_from_this()](const error_code &Error) {
    auto Self = Weak.lock();
    if (!Error && Self && Self->Acceptor_.is_open())
      Self->acceptNext();
  });
}

} // namespace samphireshunt
