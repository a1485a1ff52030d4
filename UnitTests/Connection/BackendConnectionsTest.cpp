#include "Connection/BackendConnections.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <set>
#include <string>

using namespace samphireshunt;

namespace {

/// A connection that is sound at all times.
class SoundConnection : public HttpConnection {
public:
  Awaitable<Result<void>> send(const HttpRequest &,
                               std::chrono::milliseconds) override {
    co_return Result<void>();
  }
  void acceptUnframed() override {}
  std::optional<std::chrono::seconds> idleLimit() const override {
    return std::nullopt;
  }
  Awaitable<Result<HttpResponse>> readHead(std::chrono::milliseconds) override {
    co_return HttpResponse();
  }
  Awaitable<Result<std::string>> readSome(std::chrono::milliseconds) override {
    co_return std::string();
  }
  BodyEnd bodyEnd() const override { return BodyEnd::Length; }
  bool reusable() const override { return true; }
  bool hasNoUnexpectedInput() override { return true; }
  std::chrono::steady_clock::time_point lastReceived() const override {
    return std::chrono::steady_clock::now();
  }
  void close() override {}

  /// The calls that it was taken for.
  std::set<CallKey> Given_;
};

constexpr std::chrono::milliseconds MaxIdle{1000};

CallKey numbered(std::uint32_t Number) {
  return callKey("c" + std::to_string(Number));
}

} // namespace

TEST_CASE("no connection carries one id twice, whoever asks for it") {
  // Guards against an answer that is taken for that to the same id's next send.
  constexpr int Steps = 20000;
  constexpr std::uint32_t Ids = 40;
  constexpr std::uint32_t MostInUse = 8;
  pcg32 Random(1);
  BackendConnections Pool({});
  Endpoint Server;
  std::vector<std::unique_ptr<HttpConnection>> InUse;
  int Reused = 0;
  for (int Step = 0; Step < Steps; ++Step) {
    if (InUse.size() > Random(MostInUse)) {
      auto Ended =
          InUse.begin() + Random(static_cast<std::uint32_t>(InUse.size()));
      auto Connection = std::move(*Ended);
      InUse.erase(Ended);
      Pool.returnConnection(Server, std::move(Connection));
      continue;
    }
    CallKey Call = numbered(Random(Ids));
    auto Taken = Pool.takeIdle(Server, MaxIdle, Call);
    Reused += Taken ? 1 : 0;
    if (!Taken)
      Taken = std::make_unique<SoundConnection>();
    CHECK(static_cast<SoundConnection &>(*Taken).Given_.insert(Call).second);
    Taken->carried().add(Call);
    InUse.push_back(std::move(Taken));
  }
  CHECK(Reused > Steps / 10);
}

TEST_CASE("a connection that was passed over stays for other calls") {
  BackendConnections Pool({});
  Endpoint Server;
  auto Used = std::make_unique<SoundConnection>();
  Used->carried().add(numbered(1));
  Pool.returnConnection(Server, std::move(Used));
  CHECK(Pool.takeIdle(Server, MaxIdle, numbered(1)) == nullptr);
  CHECK(Pool.takeIdle(Server, MaxIdle, CallKey()) == nullptr);
  CHECK(Pool.takeIdle(Server, MaxIdle, numbered(2)) != nullptr);
}
