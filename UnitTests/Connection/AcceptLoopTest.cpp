#include "Connection/AcceptLoop.h"

#include <doctest/doctest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <vector>

using namespace samphireshunt;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// Leaves this process no descriptor for as long as it lives.
class NoDescriptors {
public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &Before_);
    int Next = dup(STDERR_FILENO);
    close(Next);
    rlimit Low = Before_;
    Low.rlim_cur = static_cast<rlim_t>(Next);
    setrlimit(RLIMIT_NOFILE, &Low);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &Before_); }
  NoDescriptors(const NoDescriptors &) = delete;
  NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
  rlimit Before_{};
};

} // namespace

TEST_CASE("a process without descriptors rests before it accepts again") {
  // Guards against a daemon at its limit of descriptors that only spins.
  asio::io_context Context;
  std::vector<Tcp::socket> Accepted;
  AcceptLoop::Hooks Hooks;
  Hooks.Context_ = [&]() -> asio::io_context & { return Context; };
  Hooks.Accepted_ = [&](Tcp::socket Socket) {
    Accepted.push_back(std::move(Socket));
  };
  auto Loop = AcceptLoop::create(
      Tcp::acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}), "test",
      Hooks);
  Loop->start();
  Tcp::socket Caller(Context);
  Context.poll();
  {
    // The caller's own descriptor.
    Caller.open(Tcp::v4());
    NoDescriptors Full;
    Caller.connect(Loop->address());
    std::size_t Handled = Context.run_for(std::chrono::milliseconds(300));
    CHECK(Handled > 0);
    CHECK(Handled < 50);
    CHECK(Accepted.empty());
  }
  Context.run_for(std::chrono::milliseconds(300));
  CHECK(Accepted.size() == 1);
  Loop->stop();
}
