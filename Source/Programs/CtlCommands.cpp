#include "Programs/CtlCommands.h"

#include "Common/JsonReader.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds CallTimeout{2000};
constexpr milliseconds PollInterval{100};
constexpr int MaxPutAttempts = 5;
/// Start of the first line printed by `get`; `apply` reads the version from it.
constexpr std::string_view VersionComment = "# version: ";

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return Failure{ResultCode::NotFound, "can't read " + Path};
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// \returns what the daemon says of \p Service, or an empty object.
Json serviceIn(const Json &Status, const ServiceName &Service) {
  auto Services = Status.find("services");
  if (Services == Status.end() || !Services->is_object())
    return Json::object();
  auto Found = Services->find(Service.str());
  return Found != Services->end() && Found->is_object() ? *Found
                                                        : Json::object();
}

/// \returns the version that the daemon has active; 0 for none, and for a
/// number that no document has.
DocumentVersion activeVersion(const Json &Status, const ServiceName &Service) {
  auto Read =
      readVersion(serviceIn(Status, Service), "version", FirstDocumentVersion);
  return Read ? *Read : DocumentVersion();
}

std::optional<std::int64_t> versionInComment(const std::string &Text) {
  if (!Text.starts_with(VersionComment))
    return std::nullopt;
  std::int64_t Version = 0;
  const char *Begin = Text.data() + VersionComment.size();
  auto Parsed = std::from_chars(Begin, Text.data() + Text.size(), Version);
  return Parsed.ec == std::errc() ? std::optional(Version) : std::nullopt;
}

Json findingToJson(const Finding &Found) {
  return {{"code", static_cast<int>(Found.Code_)},
          {"name", describe(Found.Code_).Name_},
          {"line", Found.Line_},
          {"place", Found.Pointer_},
          {"message", Found.Message_}};
}

Awaitable<void> pauseFor(milliseconds Time) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  Time);
  co_await Timer.async_wait(boost::asio::use_awaitable);
}

ExitStatus exitFor(const Failure &Cause) {
  switch (Cause.Code_) {
  case ResultCode::VersionConflict:
    return ExitStatus::Conflict;
  case ResultCode::NotFound:
    return ExitStatus::NotFound;
  default:
    return ExitStatus::Unavailable;
  }
}

} // namespace

void CtlCommands::print(const Json &Body, const std::string &Text) const {
  if (Options_.Json_)
    fmt::print("{}\n", Body.dump());
  else
    fmt::print("{}", Text);
}

ExitStatus CtlCommands::fail(ExitStatus Status, const Failure &Cause) const {
  const ResultCodeInfo &Info = describe(Cause.Code_);
  if (Options_.Json_)
    fmt::print("{}\n", Json{{"error",
                             {{"code", static_cast<int>(Cause.Code_)},
                              {"name", Info.Name_},
                              {"detail", Cause.Detail_},
                              {"advice", Info.Advice_}}}}
                           .dump());
  else
    fmt::print(stderr, "error {} {}: {} {} {}\n", static_cast<int>(Cause.Code_),
               Info.Name_, Info.Meaning_, Cause.Detail_, Info.Advice_);
  return Status;
}

std::optional<CheckedDocument>
CtlCommands::readChecked(const std::string &Path) const {
  auto Text = readFile(Path);
  if (!Text) {
    fail(ExitStatus::NotFound, Text.error());
    return std::nullopt;
  }
  auto Read = readYamlDocument(*Text);
  if (auto *Checked = std::get_if<CheckedDocument>(&Read))
    return std::move(*Checked);
  Json Findings = Json::array();
  std::string Lines;
  for (const Finding &Found : std::get<std::vector<Finding>>(Read)) {
    Findings.push_back(findingToJson(Found));
    Lines +=
        fmt::format("{}:{}: {} {}: {}: {}\n", Path, Found.Line_,
                    static_cast<int>(Found.Code_), describe(Found.Code_).Name_,
                    Found.Pointer_, Found.Message_);
  }
  print({{"valid", false}, {"findings", std::move(Findings)}}, Lines);
  return std::nullopt;
}

ExitStatus CtlCommands::validate(const std::string &Path) {
  auto Checked = readChecked(Path);
  if (!Checked)
    return ExitStatus::Invalid;
  print({{"valid", true}}, Path + ": valid\n");
  return ExitStatus::Ok;
}

ExitStatus CtlCommands::explain(const std::string &Code) {
  int Number = -1;
  std::from_chars(Code.data(), Code.data() + Code.size(), Number);
  bool All = Code == "all";
  Json Rows = Json::array();
  std::string Text;
  if (All)
    Text = "| code | name | meaning | what to do |\n|---|---|---|---|\n";
  for (const ResultCodeInfo &Row : resultCodeTable()) {
    bool Wanted = static_cast<int>(Row.Code_) == Number || Row.Name_ == Code;
    if (!All && !Wanted)
      continue;
    Rows.push_back({{"code", static_cast<int>(Row.Code_)},
                    {"name", Row.Name_},
                    {"meaning", Row.Meaning_},
                    {"advice", Row.Advice_}});
    Text += fmt::format(
        fmt::runtime(All ? "| {} | {} | {} | {} |\n" : "{} {}\n{}\n{}\n"),
        static_cast<int>(Row.Code_), Row.Name_, Row.Meaning_, Row.Advice_);
  }
  if (Rows.empty())
    return fail(ExitStatus::NotFound,
                {ResultCode::NotFound, "no code '" + Code + "'"});
  print(Rows, Text);
  return ExitStatus::Ok;
}

Awaitable<Result<std::optional<KeyValue>>>
CtlCommands::current(ServiceName Service) {
  return Options_.Platform_.Get_(documentKey(Service));
}

Awaitable<ExitStatus> CtlCommands::get(std::string Service) {
  auto Entry = co_await current(ServiceName(Service));
  if (!Entry)
    co_return fail(ExitStatus::Unavailable, Entry.error());
  if (!*Entry)
    co_return fail(ExitStatus::NotFound, {ResultCode::NotFound, Service});
  auto Decoded = VersionedDocument::decode((*Entry)->Value_);
  if (!Decoded)
    co_return fail(ExitStatus::Invalid, Decoded.error());
  Json Document = readJson(Decoded->CanonicalJson_).value().Root_;
  // JSON is valid YAML, so the output can be edited and applied.
  std::string Text = fmt::format("{}{}\n{}\n", VersionComment,
                                 Decoded->Version_.count(), Document.dump(2));
  print({{"version", Decoded->Version_.count()}, {"document", Document}}, Text);
  co_return ExitStatus::Ok;
}

Awaitable<ExitStatus> CtlCommands::diff(std::string Path) {
  auto Checked = readChecked(Path);
  if (!Checked)
    co_return ExitStatus::Invalid;
  auto Entry = co_await current(Checked->Document_->Service_);
  if (!Entry)
    co_return fail(ExitStatus::Unavailable, Entry.error());
  Json Before = Json::object();
  if (*Entry)
    if (auto Decoded = VersionedDocument::decode((*Entry)->Value_))
      Before = readJson(Decoded->CanonicalJson_).value().Root_;
  Json After = readJson(Checked->CanonicalJson_).value().Root_;
  Json Changes = Json::diff(Before, After);
  std::string Text;
  for (const Json &Change : Changes)
    Text += fmt::format("{:<8}{} {}\n", Change["op"].get<std::string>(),
                        Change["path"].get<std::string>(),
                        Change.contains("value") ? Change["value"].dump() : "");
  print(Changes, Text.empty() ? "no difference\n" : Text);
  co_return ExitStatus::Ok;
}

Awaitable<ExitStatus> CtlCommands::apply(std::string Path) {
  auto Checked = readChecked(Path);
  if (!Checked)
    co_return ExitStatus::Invalid;
  auto States = co_await queryDaemons();
  if (auto Refused = refuseTooNewFormat(States, Checked->CanonicalJson_))
    co_return *Refused;
  std::int64_t Expected = Options_.ExpectedVersion_;
  if (Expected < 0)
    Expected = versionInComment(*readFile(Path)).value_or(-1);
  co_return co_await put(Checked->Document_->Service_, Checked->CanonicalJson_,
                         Expected, std::move(States));
}

/// Refuses a document if any daemon doesn't support its format. Such a daemon
/// would keep serving the last document that it understood, and the change
/// would not be active there.
std::optional<ExitStatus>
CtlCommands::refuseTooNewFormat(const std::vector<DaemonState> &States,
                                const std::string &CanonicalJson) const {
  int Format = readJson(CanonicalJson).value().Root_["format"].get<int>();
  std::vector<std::string> Old;
  for (const DaemonState &State : States)
    if (State.Reached_ && State.Status_.value("format", 0) < Format)
      Old.push_back(State.Vm_.str());
  if (Old.empty())
    return std::nullopt;
  return fail(
      ExitStatus::FormatTooNew,
      {ResultCode::FormatTooNew, fmt::format("on {}.", fmt::join(Old, ", "))});
}

/// \returns the newest version that a daemon has active or that is in the
/// history: the stored entry can't be read, and a version that isn't newer than
/// these would not be followed. Fails if no daemon or no history answers.
Awaitable<Result<DocumentVersion>>
CtlCommands::newestKnown(ServiceName Service, std::vector<DaemonState> States) {
  if (std::ranges::none_of(States, &DaemonState::Reached_))
    co_return Failure{ResultCode::PlatformUnavailable,
                      "no daemon says which version it has."};
  std::string Prefix = "history/" + Service.str() + "/";
  auto Listed = co_await Options_.Platform_.List_(std::move(Prefix));
  if (!Listed)
    co_return Listed.error();
  DocumentVersion Newest = newestActive(Service, States);
  for (const KeyValue &Entry : Listed->Entries_)
    if (auto Past = VersionedDocument::decode(Entry.Value_))
      Newest = std::max(Newest, Past->Version_);
  co_return Newest;
}

DocumentVersion
CtlCommands::newestActive(const ServiceName &Service,
                          const std::vector<DaemonState> &States) {
  DocumentVersion Newest;
  for (const DaemonState &State : States)
    Newest = std::max(Newest, activeVersion(State.Status_, Service));
  return Newest;
}

/// Writes the next version by compare-and-swap against the version that the
/// operator has read. It is newer than what any daemon has active, since the
/// stored one may be older.
Awaitable<ExitStatus> CtlCommands::put(ServiceName Service,
                                       std::string CanonicalJson,
                                       std::int64_t ExpectedVersion,
                                       std::vector<DaemonState> States) {
  auto Entry = co_await current(Service);
  if (!Entry)
    co_return fail(ExitStatus::Unavailable, Entry.error());
  VersionedDocument Present;
  StorePosition Expected;
  if (*Entry) {
    auto Decoded = VersionedDocument::decode((*Entry)->Value_);
    if (!Decoded && !Options_.ReplaceUnreadable_)
      co_return fail(ExitStatus::Invalid,
                     {Decoded.error().Code_,
                      fmt::format("The stored document: {}. "
                                  "--replace_unreadable writes over it.",
                                  Decoded.error().Detail_)});
    if (Decoded) {
      Present = std::move(*Decoded);
    } else {
      auto Newest = co_await newestKnown(Service, States);
      if (!Newest)
        co_return fail(ExitStatus::Unavailable, Newest.error());
      Present.Version_ = *Newest;
    }
    Expected = (*Entry)->Position_;
  }
  auto PresentNumber = static_cast<std::int64_t>(Present.Version_.count());
  if (ExpectedVersion >= 0 && ExpectedVersion != PresentNumber) {
    std::string Other =
        Present.ChangeIds_.empty() ? "none" : Present.ChangeIds_.back();
    co_return fail(ExitStatus::Conflict,
                   {ResultCode::VersionConflict,
                    fmt::format("you read version {}; it is {} now, by change "
                                "{}.",
                                ExpectedVersion, PresentNumber, Other)});
  }
  auto Next = Present.next(newestActive(Service, States), Options_.ChangeId_,
                           std::move(CanonicalJson));
  if (!Next)
    co_return fail(ExitStatus::Invalid, Next.error());
  if (auto Cause = tooLargeFor(States, *Next))
    co_return fail(ExitStatus::Invalid, *Cause);
  auto Accepted = co_await putOnce(Service, *Next, Expected);
  if (!Accepted)
    co_return fail(exitFor(Accepted.error()), Accepted.error());
  co_await writeHistory(Service, *Next);
  print({{"accepted", Accepted->count()}, {"change", Options_.ChangeId_}},
        fmt::format("accepted as version {}\n", Accepted->count()));
  if (!Options_.Wait_)
    co_return ExitStatus::Ok;
  co_return co_await awaitActiveEverywhere(Service, *Accepted);
}

/// \returns why a daemon could not hold \p Next; nothing if all that were
/// reached can, as far as they tell.
std::optional<Failure>
CtlCommands::tooLargeFor(const std::vector<DaemonState> &States,
                         const VersionedDocument &Next) {
  std::size_t Size = Next.encode().size();
  for (const DaemonState &Known : States) {
    auto Bound = Known.Status_.find("maxValueBytes");
    bool Told = Bound != Known.Status_.end() && Bound->is_number_unsigned();
    if (Told && Size > Bound->get<std::size_t>())
      return Failure{ResultCode::ValueTooLarge,
                     fmt::format("{} bytes; daemon {} can hold {}.", Size,
                                 Known.Vm_.str(), Bound->get<std::size_t>())};
  }
  return std::nullopt;
}

/// Writes \p Next, retrying on errors. A write may take effect although its
/// answer is lost. The ids of the last changes show whether it did, even if
/// another operator has made a change since.
Awaitable<Result<DocumentVersion>>
CtlCommands::putOnce(ServiceName Service, VersionedDocument Next,
                     StorePosition Expected) {
  KeyValueWrite Write;
  Write.Key_ = documentKey(Service);
  Write.Value_ = Next.encode();
  Write.Expected_ = Expected;
  Failure Last;
  for (int Attempt = 0; Attempt < MaxPutAttempts; ++Attempt) {
    auto Written = co_await Options_.Platform_.Put_(Write);
    if (Written)
      co_return Next.Version_;
    Last = Written.error();
    auto Entry = co_await current(Service);
    if (Entry && *Entry) {
      auto Decoded = VersionedDocument::decode((*Entry)->Value_);
      bool Accepted = Decoded && std::ranges::count(Decoded->ChangeIds_,
                                                    Options_.ChangeId_) > 0;
      if (Accepted)
        co_return Next.Version_;
      if ((*Entry)->Position_ != Expected) {
        std::string Other = Decoded && !Decoded->ChangeIds_.empty()
                                ? Decoded->ChangeIds_.back()
                                : "another";
        co_return Failure{ResultCode::VersionConflict,
                          "by change " + Other + "."};
      }
    }
    co_await pauseFor(PollInterval);
  }
  co_return Last;
}

Awaitable<void> CtlCommands::writeHistory(ServiceName Service,
                                          VersionedDocument Accepted) {
  KeyValueWrite Write;
  Write.Key_ = historyKey(Service, Accepted.Version_);
  Write.Value_ = Accepted.encode();
  for (int Attempt = 0; Attempt < MaxPutAttempts; ++Attempt) {
    auto Written = co_await Options_.Platform_.Put_(Write);
    if (Written || Written.error().Code_ == ResultCode::VersionConflict)
      co_return;
    co_await pauseFor(PollInterval);
  }
  fmt::print(stderr, "warning: version {} is active but not in the history\n",
             Accepted.Version_.count());
}

Awaitable<ExitStatus> CtlCommands::history(std::string Service) {
  auto Listed = co_await Options_.Platform_.List_("history/" + Service + "/");
  if (!Listed)
    co_return fail(ExitStatus::Unavailable, Listed.error());
  Json Rows = Json::array();
  std::string Text;
  for (const KeyValue &Entry : Listed->Entries_) {
    auto Decoded = VersionedDocument::decode(Entry.Value_);
    if (!Decoded)
      continue;
    std::string Change =
        Decoded->ChangeIds_.empty() ? "" : Decoded->ChangeIds_.back();
    Rows.push_back(
        {{"version", Decoded->Version_.count()}, {"change", Change}});
    Text += fmt::format("version {:<6} change {}\n", Decoded->Version_.count(),
                        Change);
  }
  if (Rows.empty())
    co_return fail(ExitStatus::NotFound, {ResultCode::NotFound, Service});
  print(Rows, Text);
  co_return ExitStatus::Ok;
}

/// Writes the text of an old version as a new version, since versions only
/// increase.
Awaitable<ExitStatus> CtlCommands::rollback(std::string Service,
                                            std::string Version) {
  std::uint64_t Number = 0;
  const char *End = Version.data() + Version.size();
  auto Parsed = std::from_chars(Version.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    co_return fail(ExitStatus::NotFound,
                   {ResultCode::NotFound, "version " + Version + "."});
  ServiceName Name(Service);
  auto Entry = co_await Options_.Platform_.Get_(
      historyKey(Name, DocumentVersion(Number)));
  if (!Entry)
    co_return fail(ExitStatus::Unavailable, Entry.error());
  if (!*Entry)
    co_return fail(ExitStatus::NotFound,
                   {ResultCode::NotFound, "version " + Version + "."});
  auto Decoded = VersionedDocument::decode((*Entry)->Value_);
  if (!Decoded)
    co_return fail(ExitStatus::Invalid, Decoded.error());
  auto States = co_await queryDaemons();
  co_return co_await put(Name, Decoded->CanonicalJson_,
                         Options_.ExpectedVersion_, std::move(States));
}

Awaitable<std::vector<CtlCommands::DaemonState>> CtlCommands::queryDaemons() {
  std::vector<DaemonState> States;
  auto Listed = co_await Options_.Platform_.Vms_();
  if (!Listed)
    co_return States;
  for (const ListedVm &Vm : *Listed) {
    auto Address = parseEndpoint(Vm.OperatorAddress_);
    if (Vm.Role_ != VmRole::System || Vm.Leaving_ || !Address)
      continue;
    DaemonState State;
    State.Vm_ = Vm.Id_;
    HttpRequest Request;
    Request.Target_ = "/status";
    auto Response =
        co_await httpCall(*Address, std::move(Request), CallTimeout);
    if (Response && Response->Status_ == 200) {
      Json Status = readJsonOrNull(Response->Body_);
      State.Reached_ = Status.is_object();
      if (State.Reached_)
        State.Status_ = std::move(Status);
    }
    States.push_back(std::move(State));
  }
  co_return States;
}

/// \returns the newest stored version that was made from this change, or 0.
Awaitable<DocumentVersion> CtlCommands::newestWithChange(ServiceName Service) {
  auto Entry = co_await current(Service);
  if (!Entry || !*Entry)
    co_return DocumentVersion();
  auto Decoded = VersionedDocument::decode((*Entry)->Value_);
  bool Contains =
      Decoded && std::ranges::count(Decoded->ChangeIds_, Options_.ChangeId_);
  co_return Contains ? Decoded->Version_ : DocumentVersion();
}

/// A daemon with another document has this number or a higher one too if
/// another writer chose it.
Awaitable<ExitStatus>
CtlCommands::awaitActiveEverywhere(ServiceName Service,
                                   DocumentVersion Version) {
  auto Deadline = steady_clock::now() + Options_.WaitTimeout_;
  std::vector<std::string> Behind;
  std::size_t Before = 0;
  do {
    Behind.clear();
    auto States = co_await queryDaemons();
    DocumentVersion Last = Version;
    if (newestActive(Service, States) > Version)
      Last = co_await newestWithChange(Service);
    for (const DaemonState &State : States) {
      DocumentVersion Active = activeVersion(State.Status_, Service);
      // Daemons of earlier releases don't tell the change.
      Json Known = serviceIn(State.Status_, Service);
      bool IsOther = Known.contains("change") &&
                     Known["change"] != Json(Options_.ChangeId_);
      bool IsThis = Active == Version && !IsOther;
      bool IsLater = Active > Version && Active <= Last;
      if (!IsThis && !IsLater)
        Behind.push_back(
            fmt::format("{} (version {})", State.Vm_.str(), Active.count()));
    }
    if (!States.empty() && Behind.empty()) {
      print({{"inForce", Version.count()}, {"daemons", States.size()}},
            fmt::format("active on all {} daemons\n", States.size()));
      co_return ExitStatus::Ok;
    }
    if (!Options_.Json_ && Behind.size() != Before)
      fmt::print(stderr, "waiting for {} of {} daemons\n", Behind.size(),
                 States.size());
    Before = Behind.size();
    co_await pauseFor(PollInterval);
  } while (steady_clock::now() < Deadline);
  co_return fail(ExitStatus::NotEverywhere,
                 {ResultCode::NotInForceEverywhere,
                  fmt::format("Not on: {}.", fmt::join(Behind, ", "))});
}

Awaitable<ExitStatus> CtlCommands::status() {
  auto States = co_await queryDaemons();
  Json Rows = Json::array();
  std::string Text;
  std::set<std::uint64_t> Eras;
  for (const DaemonState &State : States) {
    Json Row = State.Status_;
    Row["vm"] = State.Vm_.str();
    Row["reached"] = State.Reached_;
    std::string Versions;
    // items() refers to the object, which must outlive the loop.
    Json Services = State.Status_.value("services", Json::object());
    for (const auto &[Name, Service] : Services.items())
      Versions += fmt::format(" {}={}", Name,
                              Service.value("version", std::uint64_t(0)));
    if (State.Status_.contains("storeEra")) {
      auto Era = State.Status_.value("storeEra", std::uint64_t(0));
      Eras.insert(Era);
      Versions +=
          fmt::format(" era={} revision={}", Era,
                      State.Status_.value("storeRevision", std::uint64_t(0)));
    }
    Text += fmt::format("{:<12} {:<12} ready={} active={}{}\n", State.Vm_.str(),
                        State.Reached_ ? "reached" : "unreachable",
                        State.Status_.value("ready", false),
                        State.Status_.value("activeRequests", 0), Versions);
    Rows.push_back(std::move(Row));
  }
  if (States.empty())
    co_return fail(ExitStatus::Unavailable,
                   {ResultCode::PlatformUnavailable, "no list of VMs."});
  if (Eras.size() > 1)
    Text +=
        fmt::format("eras of the service differ: {}\n", fmt::join(Eras, ", "));
  print(Rows, Text);
  bool AllReached = std::ranges::all_of(States, &DaemonState::Reached_);
  co_return AllReached ? ExitStatus::Ok : ExitStatus::Unavailable;
}

} // namespace samphireshunt
