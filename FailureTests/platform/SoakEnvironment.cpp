#include "FailureTests/platform/SoakEnvironment.h"

#include "Connection/MemoryBudget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <future>

namespace samphireshunt::tests {

namespace asio = boost::asio;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t DaemonCount = 8;
/// How often a caller takes a stream up again.
constexpr int MaxTakeUps = 2;
constexpr int EventCount = 6;
constexpr std::uint32_t Percent = 100;
/// Maximum time that a key may still work after it was revoked.
constexpr milliseconds RevocationBound{5000};
/// Maximum time that a leaving engine may still get requests after it announced
/// that it leaves, while the store works. For a daemon that was paused and
/// could not be notified, the time counts from when it resumed.
constexpr milliseconds DrainBound{2000};
/// The store removes the entry of an engine that was silent for this time.
constexpr milliseconds SilentEntryTime{3600};
/// DrainBound applies only if the store has had no fault for this time.
constexpr milliseconds FaultFreeStoreTime{5000};
/// The start of a body that crashes each engine that runs it.
constexpr std::string_view CrashingBody = "crash";
/// A request that has crashed this many engines reaches at most MaxRetriesAfter
/// more, not counting the ContactTime in which all daemons learn of it.
constexpr std::size_t CrashesBeforeRefusal = 3;
constexpr std::ptrdiff_t MaxRetriesAfter = 3;
constexpr milliseconds ContactTime{3000};
/// The same for a part of prompts that has crashed this many.
constexpr std::size_t CrashesOfPart = 5;
/// From ContactTime after an engine first named its limit, it gets at most this
/// many times the limit, plus LimitSlack, within LimitWindow. Counted are
/// requests of daemons that passed on such an answer TellTime before.
constexpr double LimitFactor = 1.5;
constexpr double LimitSlack = 5;
constexpr milliseconds LimitWindow{4000};
constexpr milliseconds TellTime{500};
/// Requests that may reach an engine from a daemon from RestReaction after it
/// asked for a rest until the rest ends.
constexpr std::size_t MaxInRest = 2;
constexpr milliseconds RestReaction{500};
/// Brittle engines let no requests wait from ContactTime on, and end when they
/// reject more than this many within a second; at most MaxFalls of them.
constexpr std::size_t SurvivedRejections = 3;
constexpr std::size_t BrittlePlaces = 4;
constexpr milliseconds BrittleTime{7000};
constexpr int MaxFalls = 2;
/// A bad version gets at most this share of the requests from the order to its
/// time limit, and this many more; and none that is sent later than
/// RevertBound after this many bad answers.
constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;
constexpr std::size_t BadAnswersBeforeRevert = 50;
constexpr milliseconds RevertBound{5000};
/// How many times slower than usual a slow answer is.
constexpr int SlowFactor = 6;
/// Engines of a reverted version drain after this time.
constexpr milliseconds RevertedDrainDelay{4000};
constexpr const char *OrderKey = "op/rollout/engines";
constexpr const char *StatusKey = "status/rollout/engines";

const char *requestPath(SoakKind Kind) {
  switch (Kind) {
  case SoakKind::Safe:
    return "/safe/1";
  case SoakKind::Unsafe:
    return "/unsafe/1";
  case SoakKind::Stream:
    return "/stream/1";
  default:
    return "/resumable/1";
  }
}

std::int64_t millis(steady_clock::duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

bool isStream(SoakKind Kind) {
  return Kind == SoakKind::Stream || Kind == SoakKind::Resumable;
}

bool mayRunTwice(SoakKind Kind) {
  return Kind == SoakKind::Safe || Kind == SoakKind::Resumable;
}

bool meansNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

std::string eventText(const std::string &CallId, int Number,
                      const std::string &Version) {
  return fmt::format("id: {}\ndata: {}-{} {}\n\n", Number, CallId, Number,
                     Version);
}

/// \returns the whole answer to a call, of a stream as a version sends it.
std::string completeBody(const SoakCall &Call, const std::string &Version) {
  if (!isStream(Call.Kind_))
    return "answer to " + Call.Id_;
  std::string Body;
  for (int Number = Call.After_ + 1; Number <= EventCount; ++Number)
    Body += eventText(Call.Id_, Number, Version);
  return Body;
}

/// \returns the number of the last whole event in a stream; 0 without any.
int lastEvent(const std::string &Body) {
  constexpr std::string_view Field = "id: ";
  std::size_t End = Body.rfind("\n\n");
  if (End == std::string::npos)
    return 0;
  std::size_t At = Body.rfind(Field, End);
  return At == std::string::npos ? 0
                                 : std::stoi(Body.substr(At + Field.size()));
}

/// \returns the versions of the whole events in a stream.
std::set<std::string> versionsIn(const std::string &Body) {
  constexpr std::string_view EventEnd = "\n\n";
  std::set<std::string> Versions;
  std::size_t Begin = 0;
  for (std::size_t End = Body.find(EventEnd); End != std::string::npos;
       End = Body.find(EventEnd, Begin)) {
    std::string Event = Body.substr(Begin, End - Begin);
    Versions.insert(Event.substr(Event.rfind(' ') + 1));
    Begin = End + EventEnd.size();
  }
  return Versions;
}

/// Where and how an engine breaks off a stream. A normal end of an unframed
/// stream between events is left out, since it is also the end of a complete
/// one.
enum class StreamCut {
  None,
  InsideEvent,       ///< The connection breaks.
  InsideEventNormal, ///< The stream ends as if it were complete.
  BetweenEvents,     ///< The connection breaks.
  BeforeFirst,       ///< The connection ends normally after the head.
};

/// Counts a request while it exists, which may be longer than its engine does.
class RunningCount {
public:
  explicit RunningCount(std::shared_ptr<int> Count) : Count_(std::move(Count)) {
    ++*Count_;
  }
  RunningCount(const RunningCount &) = delete;
  RunningCount &operator=(const RunningCount &) = delete;
  ~RunningCount() { --*Count_; }

private:
  std::shared_ptr<int> Count_;
};

Json routeEntry(const char *Name, const char *Kind, bool Resumable) {
  return {{"name", Name},
          {"hostname", "soak.example"},
          {"prefix", fmt::format("/{}/", Name)},
          {"kind", Kind},
          {"timeout-ms", 3000},
          {"goal-ms", 500},
          {"priority", 0},
          {"attempts", 2},
          {"resumable", Resumable},
          {"service", "engines"}};
}

} // namespace

struct SoakEnvironment::Engine {
  std::string Id_;
  std::string Version_;
  std::unique_ptr<HttpServer> Server_;
  Time Leaving_;
  Time SilentUntil_;
  bool Removed_ = false;
  bool Crashed_ = false;
  std::shared_ptr<int> Running_ = std::make_shared<int>(0);
  /// The requests per second that it names, 0 for none, and since when.
  double Limit_ = 0;
  Time Limited_;
  /// When a daemon first passed on an answer with the limit.
  std::map<Endpoint, Time> Told_;
  /// When a daemon first passed on an answer saying that the engine leaves.
  std::map<Endpoint, Time> ToldLeaving_;
  bool Rests_ = false;
  /// A rest that the engine asked a daemon for.
  struct Rest {
    Time Begin_;
    Time End_;
    std::size_t Arrivals_ = 0;
  };
  std::map<Endpoint, Rest> Rest_;
  std::vector<Time> Rejections_;
  /// Requests while the limit was named, with the daemons that sent them.
  std::vector<std::pair<Time, Endpoint>> Arrivals_;
};

SoakEnvironment::SoakEnvironment(std::uint64_t Seed,
                                 std::vector<std::string> Versions)
    : Random_(Seed), FramingRandom_(Seed, 1), VersionRandom_(Seed, 2),
      Versions_(std::move(Versions)), Store_(Context_), Daemons_(DaemonCount),
      ServiceVersion_(Versions_.front()) {
  for (int Number = 1; Number <= 6; ++Number) {
    std::string Key = fmt::format("key-{}", Number);
    ActiveKeys_.insert(Key);
    CustomerByKey_[Key] = fmt::format("customer-{}", 1 + Number % 2);
  }
  writeConfiguration();
  constexpr std::size_t EngineCount = 4;
  for (std::size_t Number = 0; Number < EngineCount; ++Number)
    addEngine(Versions_[Number % Versions_.size()]);
  Thread_ = std::thread([this] {
    auto Guard = asio::make_work_guard(Context_);
    Context_.run();
  });
}

SoakEnvironment::~SoakEnvironment() {
  Context_.stop();
  Thread_.join();
}

void SoakEnvironment::run(std::function<void()> Work) {
  std::promise<void> Done;
  asio::post(Context_, [&] {
    Work();
    Done.set_value();
  });
  Done.get_future().wait();
}

Endpoint SoakEnvironment::storeAddress() { return Store_.address(); }

void SoakEnvironment::writeConfiguration() {
  Json Customers = Json::array();
  for (const char *Name : {"customer-1", "customer-2"}) {
    Json Keys = Json::array();
    for (const std::string &Key : ActiveKeys_)
      if (CustomerByKey_[Key] == Name)
        Keys.push_back(Key);
    Customers.push_back({{"name", Name}, {"api-keys", Keys}});
  }
  Version_ += 1 + pick(3);
  Json Root = {{"version", Version_},
               {"routes",
                {routeEntry("safe", "safe", false),
                 routeEntry("unsafe", "unsafe", false),
                 routeEntry("stream", "streaming", false),
                 routeEntry("resumable", "streaming", true)}},
               {"services", {{{"name", "engines"}}}},
               {"limits", {{"idle-timeout-ms", 15000}}},
               {"tenants", Customers}};
  Configuration_ = Root.dump();
  Store_.put("op/config", Configuration_);
}

/// With one version, that of the last roll-out that completed.
std::string SoakEnvironment::drawVersion() {
  if (Versions_.size() == 1)
    return ServiceVersion_;
  return Versions_[VersionRandom_(
      static_cast<std::uint32_t>(Versions_.size()))];
}

SoakEnvironment::Engine &
SoakEnvironment::addEngine(const std::string &Version) {
  auto Added = std::make_unique<Engine>();
  Engine &Self = *Added;
  // Servers that are equally good are chosen in the order of their names: those
  // of another version come first.
  Self.Id_ =
      fmt::format("{}-{}", Version == ServiceVersion_ ? "i" : "a", NextId_++);
  Self.Version_ = Version;
  HttpServerOptions Options;
  Options.Address_ = {asio::ip::make_address("127.0.0.1"), 0};
  Options.Handler_ = [this, &Self](HttpExchange &Exchange) {
    return serve(Self, Exchange);
  };
  Self.Server_ = std::move(*HttpServer::create(
      Context_, {&Context_}, MemoryBudget::unlimited(), std::move(Options)));
  Engines_.push_back(std::move(Added));
  publish(Self);
  return Self;
}

void SoakEnvironment::publish(const Engine &Target) {
  bool Leaving = Target.Leaving_ != Time();
  Json Entry = {{"service", "engines"},
                {"address", formatEndpoint(Target.Server_->address())},
                {"zone", "z"},
                {"batch-size", 4},
                {"version", Target.Version_},
                {"warmup-left-ms", 0},
                {"sequence", 1},
                {"born", 1},
                {"state", Leaving ? "draining" : "ready"}};
  Store_.put("servers/" + Target.Id_, Entry.dump());
}

Awaitable<void> SoakEnvironment::sleep(milliseconds Time) {
  asio::steady_timer Timer(Context_, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

Awaitable<void> SoakEnvironment::work(const Engine &Self, milliseconds Time) {
  co_await sleep(Time);
  constexpr milliseconds CheckInterval{10};
  while (EnginesSilent_ || steady_clock::now() < Self.SilentUntil_)
    co_await sleep(CheckInterval);
}

Awaitable<void> SoakEnvironment::serve(Engine &Self, HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  std::string CallId = Request.field("x-samphireshunt-request-id");
  if (!Arrived_.insert(CallId).second)
    Repeats_.push_back(steady_clock::now());
  if (Self.Crashed_)
    co_return Exchange.abort();
  HttpResponse Answer;
  Answer.Fields_["x-samphireshunt-request-id"] = CallId;
  noteLimit(Self, CallId, Answer);
  noteNotices(Self, CallId, Answer);
  bool WrongInstance =
      Request.field("x-samphireshunt-expect-instance") != Self.Id_;
  bool Refuses = EngineFaults_ && pick(Percent) < 5;
  if (WrongInstance || Refuses) {
    Answer.Status_ = WrongInstance ? 421 : 503;
    Answer.Fields_["x-samphireshunt-not-executed"] = "1";
    co_await Exchange.respond(std::move(Answer));
    co_return;
  }
  if (rejects(Self, CallId, Answer)) {
    co_await Exchange.respond(std::move(Answer));
    co_return;
  }
  auto Now = steady_clock::now();
  bool PastDrainBound =
      Self.Leaving_ != Time() && Now - Self.Leaving_ > DrainBound;
  if (PastDrainBound && Now - LastStoreFault_ > FaultFreeStoreTime &&
      !excusedByPause(CallId, Self.Leaving_) &&
      !excusedByCopy(CallId, Self.Leaving_))
    Violations_.push_back(CallId +
                          ": reached a leaving engine after the drain bound");
  if (!Request.field("authorization").empty())
    Violations_.push_back(CallId + ": the key was forwarded to the engine");
  std::string Parts = Request.field("x-samphireshunt-prompt-prefix");
  Runs_.push_back({CallId, Self.Id_, Self.Version_,
                   Request.field("x-samphireshunt-tenant"), Request.Body_,
                   Parts, Now});
  ++RunCounts_[CallId];
  RunningCount Running(Self.Running_);
  if (Request.Body_.starts_with(CrashingBody) || hasCrashingPart(Parts)) {
    co_await sleep(milliseconds(pick(100)));
    crash(Self);
    co_return Exchange.abort();
  }
  bool Stream = Request.path().starts_with("/stream") ||
                Request.path().starts_with("/resumable");
  if (EngineFaults_ && pick(Percent) < 4)
    co_return Exchange.abort();
  if (EngineFaults_ && pick(Percent) < 5)
    co_await work(Self, milliseconds(pick(900)));
  bool Fails = drawBad(Self, failedPercent(Self));
  bool Slow = !Fails && drawBad(Self, slowPercent(Self));
  int Factor = Slow ? SlowFactor : 1;
  if (Stream)
    co_return co_await serveStream(Self, Exchange, std::move(CallId), Factor,
                                   Fails);
  co_await work(Self, Factor * milliseconds(2 + pick(20)));
  if (Self.Crashed_)
    co_return Exchange.abort();
  Answer.Fields_["x-samphireshunt-server-stamp"] = Self.Id_;
  Answer.Body_ = "answer to " + CallId;
  if (Fails || (EngineFaults_ && pick(Percent) < 5))
    Answer.Status_ = 500;
  if (EngineFaults_ && pick(Percent) < 3)
    Answer.Fields_["x-samphireshunt-request-id"] = "another";
  co_await sendFramed(Exchange, std::move(Answer));
}

Awaitable<void> SoakEnvironment::sendFramed(HttpExchange &Exchange,
                                            HttpResponse Answer) {
  BodyEnd Framing = drawFraming();
  if (Framing == BodyEnd::Length)
    co_return (void) co_await Exchange.respond(std::move(Answer));
  std::string Body = std::move(Answer.Body_);
  Answer.Body_.clear();
  bool Open = Framing == BodyEnd::Chunks
                  ? co_await Exchange.beginStream(std::move(Answer))
                  : co_await Exchange.beginUnframed(std::move(Answer));
  bool Cut = EngineFaults_ && FramingRandom_(Percent) < 5;
  if (Cut)
    Body.resize(Body.size() / 2);
  if (Open)
    Open = co_await Exchange.writeChunk(std::move(Body));
  if (Cut || !Open)
    co_return Exchange.abort();
  co_await Exchange.endStream();
}

/// Counts a request at an engine that names a limit, and adds the limit to its
/// answer.
void SoakEnvironment::noteLimit(Engine &Self, const std::string &CallId,
                                HttpResponse &Answer) {
  auto Daemon = DaemonByCall_.find(CallId);
  if (Self.Limit_ == 0 || Daemon == DaemonByCall_.end())
    return;
  Answer.Fields_["server-limit"] = std::to_string(Self.Limit_);
  auto Now = steady_clock::now();
  Self.Arrivals_.emplace_back(Now, Daemon->second);
  Self.Told_.try_emplace(Daemon->second, Now);
}

/// A pause excuses a daemon.
void SoakEnvironment::noteNotices(Engine &Self, const std::string &CallId,
                                  HttpResponse &Answer) {
  if (isBrittle())
    Answer.Fields_["server-brittle"] = std::to_string(SurvivedRejections);
  if (Self.Leaving_ != Time())
    Answer.Fields_["server-leaving"] = "1";
  auto Call = DaemonByCall_.find(CallId);
  if (Call == DaemonByCall_.end())
    return;
  const Endpoint &Daemon = Call->second;
  auto Now = steady_clock::now();
  bool Paused = Pauses_.contains(Daemon);
  auto Told = Self.ToldLeaving_.find(Daemon);
  if (Told != Self.ToldLeaving_.end() && !Paused &&
      SentAt_.at(CallId) > Told->second + DrainBound)
    Violations_.push_back(fmt::format("{}: reached {}, which had said to its "
                                      "daemon that it leaves",
                                      CallId, Self.Id_));
  if (Self.Leaving_ != Time())
    Self.ToldLeaving_.try_emplace(Daemon, Now);
  auto Rest = Self.Rest_.find(Daemon);
  bool InRest = Rest != Self.Rest_.end() &&
                Now > Rest->second.Begin_ + RestReaction &&
                Now < Rest->second.End_;
  if (InRest && !Paused && ++Rest->second.Arrivals_ > MaxInRest)
    Violations_.push_back(fmt::format(
        "{}: reached {}, which had asked for a rest", CallId, Self.Id_));
}

bool SoakEnvironment::isBrittle() const {
  return BrittleSince_ != Time() &&
         steady_clock::now() < BrittleSince_ + BrittleTime;
}

bool SoakEnvironment::rejects(Engine &Self, const std::string &CallId,
                              HttpResponse &Answer) {
  auto Now = steady_clock::now();
  bool Full = isBrittle() && Now > BrittleSince_ + ContactTime &&
              *Self.Running_ >= static_cast<int>(BrittlePlaces);
  if (!Full && !Self.Rests_)
    return false;
  Answer.Status_ = 503;
  Answer.Fields_["x-samphireshunt-not-executed"] = "1";
  auto Call = DaemonByCall_.find(CallId);
  if (Self.Rests_ && Call != DaemonByCall_.end()) {
    int Tenths = 8 + static_cast<int>(pick(20));
    Answer.Fields_["retry-after"] =
        fmt::format("{}.{}", Tenths / 10, Tenths % 10);
    Engine::Rest &Asked = Self.Rest_[Call->second];
    if (Now + milliseconds(100 * Tenths) > Asked.End_)
      Asked = {Now, Now + milliseconds(100 * Tenths), 0};
  }
  if (!Full)
    return true;
  Self.Rejections_.push_back(Now);
  auto InSecond = std::ranges::count_if(Self.Rejections_, [&](Time At) {
    return Now - At <= std::chrono::seconds(1);
  });
  if (static_cast<std::size_t>(InSecond) > SurvivedRejections &&
      !Self.Crashed_) {
    if (++Falls_ > MaxFalls)
      Violations_.push_back(
          fmt::format("{}: {} brittle engines fell", Self.Id_, Falls_));
    crash(Self);
  }
  return true;
}

void SoakEnvironment::makeBrittle() {
  run([&] {
    auto Now = steady_clock::now();
    if (BrittleSince_ != Time() && Now < BrittleSince_ + 2 * BrittleTime)
      return;
    BrittleSince_ = Now;
    Falls_ = 0;
  });
}

void SoakEnvironment::restEngine() {
  run([&] {
    auto Found = std::ranges::find_if(Engines_, [](const auto &Known) {
      return !Known->Removed_ && !Known->Crashed_ && !Known->Rests_ &&
             Known->Leaving_ == Time();
    });
    bool OneRests = std::ranges::any_of(
        Engines_, [](const auto &Known) { return Known->Rests_; });
    if (Found == Engines_.end() || OneRests)
      return;
    (*Found)->Rests_ = true;
    auto End = [this, Resting = Found->get()]() -> Awaitable<void> {
      constexpr milliseconds RestingTime{3000};
      co_await sleep(RestingTime);
      Resting->Rests_ = false;
    };
    asio::co_spawn(Context_, std::move(End), asio::detached);
  });
}

void SoakEnvironment::leaveUnannounced() {
  run([&] {
    auto Ready = std::ranges::find_if(Engines_, [](const auto &Known) {
      return Known->Leaving_ == Time() && !Known->Removed_ && !Known->Crashed_;
    });
    if (Ready == Engines_.end())
      return;
    Engine *Leaving = Ready->get();
    addEngine(drawVersion());
    Leaving->Leaving_ = steady_clock::now();
    // The store's word is late, which excuses daemons that have not been told
    // by the engine.
    LastStoreFault_ = Leaving->Leaving_;
    auto Publish = [this, Leaving]() -> Awaitable<void> {
      constexpr milliseconds LateTime{4000};
      co_await sleep(LateTime);
      if (!Leaving->Removed_)
        publish(*Leaving);
      removeLater(*Leaving);
    };
    asio::co_spawn(Context_, std::move(Publish), asio::detached);
  });
}

void SoakEnvironment::removeLater(Engine &Leaving) {
  auto Leave = [this, &Leaving]() -> Awaitable<void> {
    constexpr milliseconds RemovalDelay{4000};
    co_await sleep(RemovalDelay);
    Leaving.Removed_ = true;
    Store_.remove("servers/" + Leaving.Id_);
    Leaving.Server_->stopAccepting();
  };
  asio::co_spawn(Context_, std::move(Leave), asio::detached);
}

void SoakEnvironment::silenceEngine(std::size_t Place, milliseconds Time) {
  run([&] {
    std::vector<Engine *> InService;
    for (const auto &Known : Engines_)
      if (!Known->Removed_ && !Known->Crashed_)
        InService.push_back(Known.get());
    if (!InService.empty())
      InService[Place % InService.size()]->SilentUntil_ =
          steady_clock::now() + Time;
  });
}

void SoakEnvironment::silenceEngines(bool Silent) {
  run([&] { EnginesSilent_ = Silent; });
}

void SoakEnvironment::sendWithoutEnd(const Endpoint &To) {
  constexpr std::size_t Connections = 8;
  constexpr std::size_t Most = 2 * 1024 * 1024;
  const std::string Head = "POST /safe/1 HTTP/1.1\r\nhost: soak.example\r\n"
                           "authorization: Bearer key-6\r\n";
  // A frame between daemons that announces four megabytes.
  const std::string Frame("\0\0\x3f\0", 4);
  run([&] {
    for (const std::string &Start :
         {Frame, Head + "x: ", Head + "content-length: 3900000\r\n\r\n",
          Head + "transfer-encoding: chunked\r\n\r\n3fffff\r\n"})
      for (std::size_t Count = 0; Count < Connections; ++Count)
        asio::co_spawn(Context_, Senders_.send(To, Start, Most),
                       asio::detached);
  });
}

void SoakEnvironment::closeSenders() {
  run([&] { Senders_.closeAll(); });
}

void SoakEnvironment::limitEngine() {
  run([&] {
    auto MayName = [](const auto &Known) {
      return Known->Leaving_ == Time() && !Known->Removed_ &&
             !Known->Crashed_ && Known->Limited_ == Time();
    };
    auto Found = std::ranges::find_if(Engines_, MayName);
    bool OneNames = std::ranges::any_of(
        Engines_, [](const auto &Known) { return Known->Limit_ > 0; });
    if (Found == Engines_.end() || OneNames)
      return;
    Engine *Named = Found->get();
    constexpr double Tenths = 10;
    Named->Limit_ = (1 + pick(60)) / Tenths;
    Named->Limited_ = steady_clock::now();
    auto End = [this, Named]() -> Awaitable<void> {
      constexpr milliseconds NamedTime{9000};
      co_await sleep(NamedTime);
      checkLimit(*Named, Violations_);
      Named->Limit_ = 0;
    };
    asio::co_spawn(Context_, std::move(End), asio::detached);
  });
}

/// A pause or a late start excuses a daemon: it may not have heard of a change
/// of the keeper.
void SoakEnvironment::checkLimit(const Engine &Limited,
                                 std::vector<std::string> &Violations) const {
  std::vector<Time> Counted;
  for (const auto &[At, Daemon] : Limited.Arrivals_) {
    bool Paused = Pauses_.contains(Daemon);
    if (!Paused && At >= Limited.Limited_ + ContactTime &&
        At >= Limited.Told_.at(Daemon) + TellTime)
      Counted.push_back(At);
  }
  double Allowed = LimitFactor * Limited.Limit_ *
                       std::chrono::duration<double>(LimitWindow).count() +
                   LimitSlack;
  for (auto First = Counted.begin(); First != Counted.end(); ++First) {
    auto End =
        std::ranges::upper_bound(First, Counted.end(), *First + LimitWindow);
    auto Count = static_cast<double>(End - First);
    if (Count > Allowed)
      return Violations.push_back(fmt::format(
          "{}: named a limit of {} a second and got {} requests in 4 s",
          Limited.Id_, Limited.Limit_, Count));
  }
}

Awaitable<void> SoakEnvironment::serveStream(Engine &Self,
                                             HttpExchange &Exchange,
                                             std::string CallId, int Factor,
                                             bool Fails) {
  std::string After = Exchange.request().field("last-event-id");
  HttpResponse Head;
  Head.Fields_["x-samphireshunt-request-id"] = CallId;
  if (Self.Limit_ > 0)
    Head.Fields_["server-limit"] = std::to_string(Self.Limit_);
  if (isBrittle())
    Head.Fields_["server-brittle"] = std::to_string(SurvivedRejections);
  if (Self.Leaving_ != Time())
    Head.Fields_["server-leaving"] = "1";
  Head.Fields_["x-samphireshunt-server-stamp"] = Self.Id_;
  Head.Fields_["content-type"] = "text/event-stream";
  BodyEnd Framing = drawFraming();
  HttpResponse Whole = Head;
  bool Open = true;
  if (Framing == BodyEnd::Chunks)
    Open = co_await Exchange.beginStream(std::move(Head));
  else if (Framing == BodyEnd::Close)
    Open = co_await Exchange.beginUnframed(std::move(Head));
  int First = After.empty() ? 1 : std::stoi(After) + 1;
  auto Cut = StreamCut::None;
  for (int Number = First;
       Open && Cut == StreamCut::None && Number <= EventCount; ++Number) {
    co_await work(Self, Factor * milliseconds(2 + pick(15)));
    std::string Event = eventText(CallId, Number, Self.Version_);
    if (Self.Crashed_)
      co_return Exchange.abort();
    if (Fails || (EngineFaults_ && pick(Percent) < 2))
      Cut = static_cast<StreamCut>(1 + FramingRandom_(4));
    bool Unsent = Cut == StreamCut::BetweenEvents;
    if (Cut == StreamCut::BeforeFirst) {
      // Only an unframed stream without events is known to be incomplete.
      Unsent = Number == First && Framing == BodyEnd::Close;
      Cut = Unsent ? Cut : StreamCut::InsideEvent;
    }
    if (Cut != StreamCut::None)
      Event.resize(Unsent ? 0
                          : 1 + FramingRandom_(static_cast<std::uint32_t>(
                                    Event.size() - 1)));
    if (Framing == BodyEnd::Length)
      Whole.Body_ += Event;
    else
      Open = co_await Exchange.writeChunk(std::move(Event));
  }
  bool Breaks =
      Cut == StreamCut::InsideEvent || Cut == StreamCut::BetweenEvents;
  if (!Open || Breaks)
    co_return Exchange.abort();
  if (Framing == BodyEnd::Length)
    co_return (void) co_await Exchange.respond(std::move(Whole));
  co_await Exchange.endStream();
}

void SoakEnvironment::setDaemon(std::size_t Index,
                                std::optional<Endpoint> Callers) {
  run([&] {
    Daemons_.at(Index) = Callers;
    if (Callers)
      StartedAt_[*Callers] = steady_clock::now();
  });
}

void SoakEnvironment::startCallers(int Count) {
  run([&] {
    CallersRunning_ = true;
    ActiveCallers_ = Count;
    for (int Number = 0; Number < Count; ++Number) {
      auto Caller = [this, Number]() {
        return caller(static_cast<std::uint64_t>(Number));
      };
      asio::co_spawn(Context_, std::move(Caller), asio::detached);
    }
  });
}

void SoakEnvironment::stopCallers() {
  run([&] { CallersRunning_ = false; });
  auto ActiveCallers = [this] {
    int Count = 0;
    run([&] { Count = ActiveCallers_; });
    return Count;
  };
  while (ActiveCallers() > 0)
    std::this_thread::sleep_for(milliseconds(20));
}

/// Sends requests until stopCallers(). A caller reuses its connection until
/// that is closed.
Awaitable<void> SoakEnvironment::caller(std::uint64_t) {
  std::unique_ptr<HttpConnection> Connection;
  Endpoint ConnectedTo;
  while (CallersRunning_) {
    co_await sleep(milliseconds(5 + pick(40)));
    auto Daemon = Daemons_[pick(static_cast<std::uint32_t>(Daemons_.size()))];
    if (!Daemon)
      continue;
    auto Kind = static_cast<SoakKind>(pick(4));
    std::string Key = fmt::format("key-{}", 1 + pick(6));
    if (!Connection)
      ConnectedTo = *Daemon;
    Endpoint To = ConnectedTo;
    SoakCall Seen =
        co_await callOnce(Kind, std::move(Key), std::move(To), Connection);
    bool Broken = Kind == SoakKind::Resumable && Seen.Status_ == 200 &&
                  !Seen.Complete_ && lastEvent(Seen.Body_) > 0;
    Calls_.push_back(Seen);
    if (Broken)
      co_await takeUp(std::move(Seen));
  }
  --ActiveCallers_;
}

Awaitable<void> SoakEnvironment::takeUp(SoakCall Broken) {
  for (int Try = 0; Try < MaxTakeUps; ++Try) {
    co_await sleep(milliseconds(10 + VersionRandom_(100)));
    auto Daemon =
        Daemons_[VersionRandom_(static_cast<std::uint32_t>(Daemons_.size()))];
    if (!Daemon)
      continue;
    std::unique_ptr<HttpConnection> Connection;
    SoakCall Rest = co_await callOnce(Broken.Kind_, Broken.Key_, *Daemon,
                                      Connection, {}, &Broken);
    Calls_.push_back(Rest);
    if (Rest.Complete_ || lastEvent(Rest.Body_) == EventCount)
      co_return;
    if (lastEvent(Rest.Body_) > 0)
      Broken = std::move(Rest);
  }
}

Awaitable<SoakCall>
SoakEnvironment::callOnce(SoakKind Kind, std::string Key, Endpoint To,
                          std::unique_ptr<HttpConnection> &Connection,
                          std::string Body, const SoakCall *Broken,
                          std::string Part) {
  constexpr milliseconds Limit{3000};
  SoakCall Seen;
  Seen.Id_ = fmt::format("c-{}", NextId_++);
  DaemonByCall_[Seen.Id_] = To;
  Seen.Kind_ = Kind;
  Seen.Key_ = Key;
  HttpRequest Request;
  Request.Method_ = Kind == SoakKind::Safe ? "GET" : "POST";
  Request.Target_ = requestPath(Kind);
  Request.Body_ = std::move(Body);
  Request.Fields_ = {{"host", "soak.example"},
                     {"x-samphireshunt-request-id", Seen.Id_},
                     {"x-samphireshunt-deadline-ms", "2500"},
                     {"authorization", "Bearer " + Key}};
  // All prompts share the first part, and some of them the second one.
  std::string Shared =
      Part.empty() ? fmt::format("{:x}", 16 + NextId_ % 4) : std::move(Part);
  if (isStream(Kind))
    Request.Fields_["x-samphireshunt-prompt-prefix"] =
        fmt::format("a:60,{}:100,{:x}:10", Shared, 0x100000 + NextId_);
  if (Broken) {
    Seen.First_ = Broken->First_.empty() ? Broken->Id_ : Broken->First_;
    Seen.After_ = lastEvent(Broken->Body_);
    Request.Fields_["resumes"] = Seen.First_;
    Request.Fields_["last-event-id"] = std::to_string(Seen.After_);
  }
  if (!Connection) {
    auto Connected = co_await HttpConnection::connect(To, Limit);
    if (!Connected)
      co_return Seen;
    Connection = std::move(*Connected);
  }
  Seen.Sent_ = steady_clock::now();
  SentAt_[Seen.Id_] = Seen.Sent_;
  auto Sent = co_await Connection->send(Request, Limit);
  bool Open = Sent.has_value();
  if (Open) {
    auto Head = co_await Connection->readHead(Limit);
    Open = Head.has_value();
    Seen.Status_ = Open ? Head->Status_ : 0;
  }
  while (Open) {
    auto Chunk = co_await Connection->readSome(Limit);
    Open = Chunk.has_value() && !Chunk->empty();
    Seen.Complete_ = Chunk.has_value() && Chunk->empty();
    if (Open)
      Seen.Body_ += *Chunk;
  }
  Seen.Kept_ = Connection->reusable();
  if (!Seen.Kept_)
    Connection.reset();
  co_return Seen;
}

void SoakEnvironment::recordPause(std::size_t Index) {
  run([&] {
    if (Daemons_.at(Index))
      Pauses_[*Daemons_[Index]] = {steady_clock::now(), Time()};
  });
}

void SoakEnvironment::recordResume(std::size_t Index) {
  run([&] {
    if (Daemons_.at(Index))
      Pauses_[*Daemons_[Index]].End_ = steady_clock::now();
  });
}

bool SoakEnvironment::excusedByPause(const std::string &CallId,
                                     Time Since) const {
  auto Daemon = DaemonByCall_.find(CallId);
  if (Daemon == DaemonByCall_.end())
    return false;
  auto Found = Pauses_.find(Daemon->second);
  if (Found == Pauses_.end())
    return false;
  const Pause &Last = Found->second;
  // A daemon that had the full DrainBound before the pause is not excused.
  return Last.Begin_ <= Since + DrainBound && Last.End_ > Since &&
         steady_clock::now() - Last.End_ <= DrainBound;
}

void SoakEnvironment::failStore(int Status) {
  run([&] {
    Store_.FailWith_ = Status;
    LastStoreFault_ = steady_clock::now();
  });
}

void SoakEnvironment::silenceStore(bool Silent) {
  run([&] {
    Store_.Silent_ = Silent;
    LastStoreFault_ = steady_clock::now();
  });
}

void SoakEnvironment::dropHistory() {
  run([&] { Store_.dropHistory(); });
}

void SoakEnvironment::putEntry(const std::string &Key, const std::string &Value,
                               const std::optional<std::string> &Item) {
  run([&] {
    if (Item)
      Store_.OddItems_[Key] = *Item;
    Store_.put(Key, Value);
  });
}

void SoakEnvironment::takeStoreCopy() {
  run([&] { Store_.takeBackup(); });
}

void SoakEnvironment::restoreFromCopy(milliseconds Away) {
  run([&] {
    auto Restore = [this, Away]() { return restoreBackup(Away); };
    asio::co_spawn(Context_, std::move(Restore), asio::detached);
  });
}

Awaitable<void> SoakEnvironment::restoreBackup(milliseconds Away) {
  Store_.FailWith_ = 503;
  co_await sleep(Away);
  Store_.FailWith_ = 0;
  Store_.restoreBackup();
  CopyRestored_ = steady_clock::now();
  co_await sleep(milliseconds(pick(1000)));
  Store_.put("op/config", Configuration_);
  for (std::size_t Index = 0; Index < Engines_.size(); ++Index) {
    if (Engines_[Index]->Removed_)
      continue;
    publish(*Engines_[Index]);
    co_await sleep(milliseconds(pick(100)));
  }
  co_await sleep(SilentEntryTime);
  for (const auto &Known : Engines_)
    if (Known->Removed_ && !Store_.get("servers/" + Known->Id_).empty())
      Store_.remove("servers/" + Known->Id_);
}

bool SoakEnvironment::excusedByCopy(const std::string &CallId,
                                    Time Since) const {
  auto Daemon = DaemonByCall_.find(CallId);
  if (Daemon == DaemonByCall_.end())
    return false;
  auto Started = StartedAt_.find(Daemon->second);
  return Started != StartedAt_.end() && Started->second > Since &&
         steady_clock::now() - CopyRestored_ <= SilentEntryTime + DrainBound;
}

void SoakEnvironment::loseWriteAnswers(int Count) {
  run([&] { Store_.LoseWriteAnswers_ = Count; });
}

std::string SoakEnvironment::revokeKey() {
  std::string Key;
  run([&] {
    // Some keys have to remain active, or nothing would be served at the end.
    constexpr std::size_t MinActiveKeys = 3;
    if (ActiveKeys_.size() <= MinActiveKeys)
      return;
    Key = *ActiveKeys_.begin();
    ActiveKeys_.erase(Key);
    Revoked_[Key] = steady_clock::now();
    writeConfiguration();
  });
  return Key;
}

void SoakEnvironment::changeConfiguration() {
  run([&] { writeConfiguration(); });
}

void SoakEnvironment::replaceEngine() {
  run([&] {
    auto Ready = std::ranges::find_if(Engines_, [](const auto &Known) {
      return Known->Leaving_ == Time() && !Known->Removed_;
    });
    Engine *LeavingEngine = Ready == Engines_.end() ? nullptr : Ready->get();
    addEngine(drawVersion());
    if (!LeavingEngine)
      return;
    LeavingEngine->Leaving_ = steady_clock::now();
    publish(*LeavingEngine);
    removeLater(*LeavingEngine);
  });
}

/// Ends an engine as a crash does: connections break, new ones are refused, and
/// its entry disappears later. A new engine starts after a while.
void SoakEnvironment::crash(Engine &Target) {
  if (std::exchange(Target.Crashed_, true))
    return;
  Target.Server_->stopAccepting();
  auto Replace = [this, &Target]() -> Awaitable<void> {
    constexpr milliseconds EntryExpiry{1000};
    co_await sleep(EntryExpiry);
    Target.Removed_ = true;
    Store_.remove("servers/" + Target.Id_);
    addEngine(Target.Version_);
  };
  asio::co_spawn(Context_, std::move(Replace), asio::detached);
}

std::uint32_t SoakEnvironment::failedPercent(const Engine &Self) const {
  const Rollout *Bad = badRolloutOf(Self);
  return Bad ? Bad->Version_.FailedPercent_ : 0;
}

std::uint32_t SoakEnvironment::slowPercent(const Engine &Self) const {
  const Rollout *Bad = badRolloutOf(Self);
  return Bad ? Bad->Version_.SlowPercent_ : 0;
}

const SoakEnvironment::Rollout *
SoakEnvironment::badRolloutOf(const Engine &Self) const {
  if (Rollouts_.empty() || Rollouts_.back()->Version_.Name_ != Self.Version_)
    return nullptr;
  const Rollout &Last = *Rollouts_.back();
  bool IsBad = steady_clock::now() >= Last.Ordered_ + Last.Version_.BadAfter_;
  return IsBad ? &Last : nullptr;
}

bool SoakEnvironment::drawBad(const Engine &Self, std::uint32_t Percentage) {
  if (Percentage == 0 || pick(Percent) >= Percentage)
    return false;
  if (badRolloutOf(Self))
    Rollouts_.back()->BadAnswers_.push_back(steady_clock::now());
  return true;
}

void SoakEnvironment::rollOut(const SoakVersion &Ordered) {
  run([&] {
    auto Perform = [this, Ordered]() { return performRollout(Ordered); };
    asio::co_spawn(Context_, std::move(Perform), asio::detached);
  });
}

Awaitable<void> SoakEnvironment::performRollout(SoakVersion Ordered) {
  auto InService = std::ranges::count_if(Engines_, [this](const auto &Known) {
    return Known->Version_ == ServiceVersion_ && !Known->Removed_ &&
           !Known->Crashed_ && Known->Leaving_ == Time();
  });
  Rollouts_.push_back(std::make_unique<Rollout>());
  Rollout &Current = *Rollouts_.back();
  Current.Version_ = Ordered;
  Current.Ordered_ = steady_clock::now();
  auto Started = InService;
  if (Ordered.Early_.count() > 0) {
    for (; Started > 0; --Started)
      addEngine(Ordered.Name_);
    co_await sleep(Ordered.Early_);
    Current.Ordered_ = steady_clock::now();
  }
  Store_.remove(StatusKey);
  Json Order = {
      {"service", "engines"},
      {"to", Ordered.Name_},
      {"duration-s", std::chrono::duration<double>(Ordered.Duration_).count()}};
  Store_.put(OrderKey, Order.dump());
  for (; Started > 0; --Started) {
    co_await sleep(milliseconds(50 + pick(100)));
    addEngine(Ordered.Name_);
  }
  constexpr milliseconds PollInterval{10};
  constexpr std::chrono::seconds Patience{20};
  auto GivesUp = steady_clock::now() + Ordered.Duration_ + Patience;
  while (&Current == Rollouts_.back().get() && steady_clock::now() < GivesUp &&
         Current.State_ != "completed" && Current.State_ != "reverted") {
    followStatus(Current);
    co_await sleep(PollInterval);
  }
}

void SoakEnvironment::followStatus(Rollout &Current) {
  std::string Text = Store_.get(StatusKey);
  if (Text.empty())
    return;
  Json Status = Json::parse(Text);
  if (Status.at("to") != Current.Version_.Name_)
    return;
  std::string State = Status.at("state");
  if (State == std::exchange(Current.State_, State))
    return;
  if (State == "completed")
    stopReplaced(Current);
  if (State == "reverted")
    drainReverted(Current);
}

/// Stops all engines of other versions without draining. Requests that run
/// there are cut.
void SoakEnvironment::stopReplaced(const Rollout &Current) {
  ServiceVersion_ = Current.Version_.Name_;
  for (const auto &Known : Engines_) {
    if (Known->Version_ == ServiceVersion_ || Known->Removed_)
      continue;
    if (*Known->Running_ > 0)
      Violations_.push_back(fmt::format("{}: stopped with {} requests",
                                        Known->Id_, *Known->Running_));
    Known->Crashed_ = true;
    Known->Removed_ = true;
    Known->Server_->stopAccepting();
    Store_.remove("servers/" + Known->Id_);
  }
}

void SoakEnvironment::drainReverted(const Rollout &Current) {
  auto Drain = [this, Name = Current.Version_.Name_]() -> Awaitable<void> {
    co_await sleep(RevertedDrainDelay);
    for (const auto &Known : Engines_) {
      if (Known->Version_ != Name || Known->Removed_ || ServiceVersion_ == Name)
        continue;
      Known->Removed_ = true;
      Store_.remove("servers/" + Known->Id_);
    }
  };
  asio::co_spawn(Context_, std::move(Drain), asio::detached);
}

void SoakEnvironment::withdrawRollout() {
  run([&] { Store_.remove(OrderKey); });
}

std::string SoakEnvironment::rolloutState() {
  std::string State;
  run([&] { State = Rollouts_.empty() ? "" : Rollouts_.back()->State_; });
  return State;
}

std::size_t SoakEnvironment::exposedRequests() {
  std::size_t Count = 0;
  run([&] {
    Count = static_cast<std::size_t>(
        std::ranges::count_if(Runs_, [this](const SoakRun &Run) {
          return Run.Version_ == Rollouts_.back()->Version_.Name_;
        }));
  });
  return Count;
}

/// A version counts as bad if it has given bad answers, and until its time
/// limit.
void SoakEnvironment::checkExposure(
    const Rollout &Ordered, std::vector<std::string> &Violations) const {
  bool IsBad =
      Ordered.Version_.FailedPercent_ > 0 || Ordered.Version_.SlowPercent_ > 0;
  if (!IsBad)
    return;
  Time Limit = Ordered.Ordered_ + Ordered.Version_.Duration_;
  double All = 0;
  double Exposed = 0;
  std::size_t TooLate = 0;
  std::size_t Early = 0;
  std::map<std::string, Time> SentAt;
  for (const SoakCall &Call : Calls_)
    SentAt[Call.Id_] = Call.Sent_;
  for (const SoakRun &Run : Runs_) {
    bool OfVersion = Run.Version_ == Ordered.Version_.Name_;
    Early += OfVersion && Run.At_ < Ordered.Ordered_ ? 1 : 0;
    if (Run.At_ >= Ordered.Ordered_ && Run.At_ < Limit) {
      All += 1;
      Exposed += OfVersion ? 1 : 0;
    }
    auto Sent = SentAt.find(Run.CallId_);
    bool AfterRevert =
        Ordered.BadAnswers_.size() >= BadAnswersBeforeRevert &&
        Sent != SentAt.end() &&
        Sent->second >
            Ordered.BadAnswers_[BadAnswersBeforeRevert - 1] + RevertBound;
    TooLate += OfVersion && AfterRevert ? 1 : 0;
  }
  double Allowed = ExposureShare * All + ExposureSlack;
  if (Exposed > Allowed)
    Violations.push_back(
        fmt::format("{}: {} of {} requests reached it, {} allowed",
                    Ordered.Version_.Name_, Exposed, All, Allowed));
  if (Early > 0)
    Violations.push_back(
        fmt::format("{}: {} requests reached it before its order",
                    Ordered.Version_.Name_, Early));
  if (TooLate > 0)
    Violations.push_back(
        fmt::format("{}: {} requests were sent to it later than 5 s after its "
                    "50th bad answer",
                    Ordered.Version_.Name_, TooLate));
}

void SoakEnvironment::sendCrashingRequest() {
  run([&] {
    auto Send = [this, Body = fmt::format("{}-{}", CrashingBody, NextId_++)]() {
      return crashingCaller(Body);
    };
    asio::co_spawn(Context_, std::move(Send), asio::detached);
  });
}

Awaitable<void> SoakEnvironment::crashingCaller(std::string Body) {
  auto Kind = static_cast<SoakKind>(pick(4));
  // The request comes under one key, in some rounds at all daemons at once.
  std::string Key = *ActiveKeys_.rbegin();
  constexpr int Rounds = 12;
  for (int Round = 0; CallersRunning_ && Round < Rounds; ++Round) {
    bool AtAll = pick(4) == 0;
    std::size_t Chosen = pick(static_cast<std::uint32_t>(Daemons_.size()));
    for (std::size_t Index = 0; Index < Daemons_.size(); ++Index) {
      if (!Daemons_[Index] || (!AtAll && Index != Chosen))
        continue;
      auto Call = [this, Kind, Key, Body,
                   To = *Daemons_[Index]]() -> Awaitable<void> {
        std::unique_ptr<HttpConnection> Connection;
        SoakCall Seen = co_await callOnce(Kind, Key, To, Connection, Body);
        Calls_.push_back(std::move(Seen));
      };
      asio::co_spawn(Context_, std::move(Call), asio::detached);
    }
    co_await sleep(milliseconds(100 + pick(900)));
  }
}

void SoakEnvironment::sendCrashingPart() {
  run([&] {
    std::string Part = fmt::format("{:x}", 0x10000 + NextId_++);
    CrashingParts_.push_back(Part);
    auto Send = [this, Part]() { return crashingPartCaller(Part); };
    asio::co_spawn(Context_, std::move(Send), asio::detached);
  });
}

bool SoakEnvironment::hasCrashingPart(const std::string &Parts) const {
  return std::ranges::any_of(CrashingParts_, [&](const std::string &Part) {
    return Parts.find(fmt::format(",{}:", Part)) != std::string::npos;
  });
}

Awaitable<void> SoakEnvironment::crashingPartCaller(std::string Part) {
  constexpr int Rounds = 16;
  for (int Round = 0; CallersRunning_ && Round < Rounds; ++Round) {
    auto Daemon =
        Daemons_[VersionRandom_(static_cast<std::uint32_t>(Daemons_.size()))];
    if (Daemon) {
      auto Kind =
          VersionRandom_(2) == 0 ? SoakKind::Stream : SoakKind::Resumable;
      std::unique_ptr<HttpConnection> Connection;
      SoakCall Seen = co_await callOnce(
          Kind, *ActiveKeys_.rbegin(), *Daemon, Connection,
          fmt::format("no two alike {}", NextId_), nullptr, Part);
      Calls_.push_back(std::move(Seen));
    }
    co_await sleep(milliseconds(100 + VersionRandom_(500)));
  }
}

void SoakEnvironment::checkCrashingParts(
    std::vector<std::string> &Violations) const {
  for (const std::string &Part : CrashingParts_) {
    std::vector<const SoakRun *> Runs;
    for (const SoakRun &Run : Runs_)
      if (Run.Parts_.find(fmt::format(",{}:", Part)) != std::string::npos)
        Runs.push_back(&Run);
    if (Runs.size() <= CrashesOfPart)
      continue;
    Time Known = Runs[CrashesOfPart - 1]->At_ + ContactTime;
    auto Late = std::ranges::count_if(
        Runs, [&](const SoakRun *Run) { return Run->At_ > Known; });
    if (Late > MaxRetriesAfter)
      Violations.push_back(fmt::format(
          "part {}: reached engines {} times after it had crashed five", Part,
          Late));
  }
}

void SoakEnvironment::checkCrashes(std::vector<std::string> &Violations) const {
  std::map<std::string, std::vector<const SoakRun *>> Reached;
  for (const SoakRun &Run : Runs_)
    if (Run.Body_.starts_with(CrashingBody))
      Reached[Run.Body_].push_back(&Run);
  for (const auto &[Body, Runs] : Reached) {
    if (Runs.size() <= CrashesBeforeRefusal)
      continue;
    Time Known = Runs[CrashesBeforeRefusal - 1]->At_ + ContactTime;
    auto Late = std::ranges::count_if(
        Runs, [&](const SoakRun *Run) { return Run->At_ > Known; });
    if (Late <= MaxRetriesAfter)
      continue;
    std::string Each;
    for (const SoakRun *Run : Runs)
      Each += fmt::format(" {}@{}ms({})", Run->Engine_,
                          millis(Run->At_ - Runs.front()->At_), Run->CallId_);
    Violations.push_back(fmt::format(
        "{}: reached engines {} times after it had crashed three:{}", Body,
        Late, Each));
  }
}

std::vector<std::string> SoakEnvironment::probeAll() {
  std::promise<std::vector<std::string>> Done;
  auto Probe = [&]() -> Awaitable<void> {
    std::vector<std::string> Failed;
    for (std::size_t Index = 0; Index < Daemons_.size(); ++Index) {
      if (!Daemons_[Index])
        continue;
      for (int Kind = 0; Kind < 4; ++Kind) {
        std::unique_ptr<HttpConnection> NewConnection;
        Endpoint To = *Daemons_[Index];
        std::string Key = *ActiveKeys_.rbegin();
        SoakCall Seen =
            co_await callOnce(static_cast<SoakKind>(Kind), std::move(Key),
                              std::move(To), NewConnection);
        Calls_.push_back(Seen);
        if (Seen.Status_ != 200 || !Seen.Complete_)
          Failed.push_back(fmt::format("daemon {} kind {}: status {}", Index,
                                       Kind, Seen.Status_));
      }
    }
    Done.set_value(std::move(Failed));
  };
  asio::co_spawn(Context_, Probe, asio::detached);
  return Done.get_future().get();
}

bool SoakEnvironment::isWhole(const SoakCall &Call) const {
  return std::ranges::any_of(Runs_, [&](const SoakRun &Run) {
    return Run.CallId_ == Call.Id_ &&
           Call.Body_ == completeBody(Call, Run.Version_);
  });
}

void SoakEnvironment::checkVersions(
    std::vector<std::string> &Violations) const {
  std::map<std::string, std::set<std::string>> ByStream;
  for (const SoakCall &Call : Calls_) {
    if (!isStream(Call.Kind_) || Call.Status_ != 200)
      continue;
    const std::string &First = Call.First_.empty() ? Call.Id_ : Call.First_;
    ByStream[First].merge(versionsIn(Call.Body_));
  }
  for (const auto &[First, Versions] : ByStream)
    if (Versions.size() > 1)
      Violations.push_back(First + ": a stream holds events of two versions");
}

SoakTakeUps SoakEnvironment::takeUps() {
  SoakTakeUps Counted;
  run([&] {
    for (const SoakCall &Call : Calls_) {
      Endpoint Daemon = DaemonByCall_.at(Call.Id_);
      bool InTouch = StartedAt_.contains(Daemon) &&
                     Call.Sent_ > StartedAt_.at(Daemon) + ContactTime;
      if (Call.Kind_ != SoakKind::Resumable || !InTouch)
        continue;
      bool Events = lastEvent(Call.Body_) > 0 || Call.Complete_;
      bool Served = Call.Status_ == 200 && Events;
      bool Again = !Call.First_.empty();
      (Again ? Counted.All_ : Counted.New_) += 1;
      (Again ? Counted.WentOn_ : Counted.Begun_) += Served ? 1 : 0;
    }
  });
  return Counted;
}

void SoakEnvironment::check(const SoakCall &Call,
                            std::vector<std::string> &Violations) const {
  auto Known = RunCounts_.find(Call.Id_);
  std::size_t Runs = Known == RunCounts_.end() ? 0 : Known->second;
  bool Success = Call.Status_ == 200 && Call.Complete_;
  if (Success && !isWhole(Call))
    Violations.push_back(Call.Id_ +
                         ": a wrong or partial answer looked complete");
  if (!mayRunTwice(Call.Kind_) && Runs > 1)
    Violations.push_back(Call.Id_ + ": ran twice");
  if (!mayRunTwice(Call.Kind_) && meansNotRun(Call.Status_) && Runs > 0)
    Violations.push_back(fmt::format("{}: reported as not run ({}), but it ran",
                                     Call.Id_, Call.Status_));
  auto Revocation = Revoked_.find(Call.Key_);
  if (Revocation != Revoked_.end() && Runs > 0 &&
      Call.Sent_ > Revocation->second + RevocationBound)
    Violations.push_back(Call.Id_ +
                         ": ran after the revocation bound of its key");
}

/// The sum over all daemons, with the limits that a daemon has unless they are
/// set: callers see it as load on servers that fail already.
void SoakEnvironment::checkRepeats(std::vector<std::string> &Violations) const {
  constexpr std::chrono::seconds Window{10};
  constexpr double Ratio = 0.2;
  constexpr double Allowance = 10;
  std::vector<Time> Sent;
  std::ranges::transform(SentAt_, std::back_inserter(Sent),
                         [](const auto &Item) { return Item.second; });
  std::ranges::sort(Sent);
  auto CountFrom = [&](const std::vector<Time> &Times, Time From) {
    auto First = std::ranges::lower_bound(Times, From);
    return std::ranges::lower_bound(First, Times.end(), From + Window) - First;
  };
  for (Time From : Repeats_) {
    auto Requests =
        std::max({CountFrom(Sent, From), CountFrom(Sent, From - Window),
                  CountFrom(Sent, From - Window / 2)});
    double Allowed = Ratio * static_cast<double>(Requests) + Allowance;
    auto Count = CountFrom(Repeats_, From);
    if (static_cast<double>(Count) > Allowed)
      return Violations.push_back(
          fmt::format("{} repeats in {} s for {} requests; allowed {:.1f}",
                      Count, Window.count(), Requests, Allowed));
  }
}

std::vector<std::string> SoakEnvironment::violations() {
  std::vector<std::string> Violations;
  run([&] {
    Violations = Violations_;
    checkRepeats(Violations);
    checkCrashes(Violations);
    checkCrashingParts(Violations);
    checkVersions(Violations);
    for (const auto &Known : Engines_)
      if (Known->Limit_ > 0)
        checkLimit(*Known, Violations);
    for (const auto &Ordered : Rollouts_)
      checkExposure(*Ordered, Violations);
    std::map<std::string, const SoakCall *> ById;
    for (const SoakCall &Call : Calls_) {
      ById[Call.Id_] = &Call;
      check(Call, Violations);
    }
    for (const SoakRun &Run : Runs_) {
      auto Call = ById.find(Run.CallId_);
      bool Owner = Call == ById.end() ||
                   CustomerByKey_.at(Call->second->Key_) == Run.Customer_;
      if (!Owner)
        Violations.push_back(Run.CallId_ +
                             ": ran under the name of another customer");
    }
  });
  return Violations;
}

std::vector<std::string> SoakEnvironment::callsThat(
    const std::function<bool(const SoakCall &)> &Matches) {
  std::vector<std::string> Found;
  run([&] {
    for (const SoakCall &Call : Calls_)
      if (Matches(Call))
        Found.push_back(fmt::format("{} kind {} status {}", Call.Id_,
                                    static_cast<int>(Call.Kind_),
                                    Call.Status_));
  });
  return Found;
}

std::vector<std::string> SoakEnvironment::cutCalls() {
  return callsThat([this](const SoakCall &Call) {
    return RunCounts_.contains(Call.Id_) && !Call.Complete_;
  });
}

std::vector<std::string> SoakEnvironment::unanswered() {
  return callsThat([](const SoakCall &Call) { return !Call.Complete_; });
}

std::vector<std::string> SoakEnvironment::closedAfterAnswer() {
  return callsThat(
      [](const SoakCall &Call) { return Call.Complete_ && !Call.Kept_; });
}

int SoakEnvironment::statusWithKey(const std::string &Key) {
  std::promise<int> Done;
  auto SendRequest = [&]() -> Awaitable<void> {
    auto Daemon = std::ranges::find_if(
        Daemons_, [](const auto &Known) { return Known.has_value(); });
    std::unique_ptr<HttpConnection> NewConnection;
    Endpoint To = **Daemon;
    std::string Copy = Key;
    SoakCall Seen = co_await callOnce(SoakKind::Safe, std::move(Copy),
                                      std::move(To), NewConnection);
    Done.set_value(Seen.Status_);
  };
  asio::co_spawn(Context_, SendRequest, asio::detached);
  return Done.get_future().get();
}

std::future<SoakCall> SoakEnvironment::beginCall(const Endpoint &Daemon,
                                                 SoakKind Kind) {
  auto Call = [this, Daemon, Kind]() -> Awaitable<SoakCall> {
    std::unique_ptr<HttpConnection> Connection;
    SoakCall Seen =
        co_await callOnce(Kind, *ActiveKeys_.rbegin(), Daemon, Connection);
    Calls_.push_back(Seen);
    co_return Seen;
  };
  return asio::co_spawn(Context_, std::move(Call), asio::use_future);
}

int SoakEnvironment::running() {
  int Count = 0;
  run([&] {
    for (const auto &Known : Engines_)
      Count += *Known->Running_;
  });
  return Count;
}

SoakCount SoakEnvironment::countCalls(std::size_t Daemon, Time Begin) {
  SoakCount Counted;
  run([&] {
    for (const SoakCall &Call : Calls_) {
      if (Call.Sent_ < Begin || DaemonByCall_.at(Call.Id_) != Daemons_[Daemon])
        continue;
      ++Counted.All_;
      Counted.Answered_ += Call.Status_ == 200 && Call.Complete_ ? 1 : 0;
    }
  });
  return Counted;
}

std::size_t SoakEnvironment::answered() {
  std::size_t Count = 0;
  run([&] {
    Count = static_cast<std::size_t>(
        std::ranges::count_if(Calls_, [](const SoakCall &Call) {
          return Call.Status_ == 200 && Call.Complete_;
        }));
  });
  return Count;
}

std::size_t SoakEnvironment::callCount() {
  std::size_t Count = 0;
  run([&] { Count = Calls_.size(); });
  return Count;
}

} // namespace samphireshunt::tests
