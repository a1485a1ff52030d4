#include "Actors.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <sstream>
#include <thread>

namespace review {

namespace {

constexpr std::string_view LineEnd = "\r\n";

std::int64_t nowMs() {
  auto Now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

void sleepMs(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

std::string lower(std::string Text) {
  std::ranges::transform(Text, Text.begin(), [](unsigned char Sign) {
    return static_cast<char>(std::tolower(Sign));
  });
  return Text;
}

std::string encodeBase64(const std::string &Bytes) {
  constexpr std::string_view Alphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t Begin = 0; Begin < Bytes.size(); Begin += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group =
          Group << 8 | (Begin + Index < Bytes.size()
                            ? static_cast<unsigned char>(Bytes[Begin + Index])
                            : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += Begin + Index <= Bytes.size()
                  ? Alphabet[Group >> (18 - 6 * Index) & 63]
                  : '=';
  }
  return Text;
}

std::string decodeBase64(const std::string &Text) {
  std::string Bytes;
  std::uint32_t Bits = 0;
  int Count = 0;
  for (unsigned char Sign : Text) {
    std::uint32_t Value = 0;
    if (std::isupper(Sign) != 0)
      Value = Sign - 'A';
    else if (std::islower(Sign) != 0)
      Value = Sign - 'a' + 26;
    else if (std::isdigit(Sign) != 0)
      Value = Sign - '0' + 52;
    else if (Sign == '+' || Sign == '/')
      Value = Sign == '+' ? 62 : 63;
    else
      break;
    Bits = Bits << 6 | Value;
    Count += 6;
    if (Count < 8)
      continue;
    Count -= 8;
    Bytes += static_cast<char>(Bits >> Count & 255);
  }
  return Bytes;
}

std::string percentDecoded(const std::string &Text) {
  std::string Plain;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] != '%' || Index + 2 >= Text.size()) {
      Plain += Text[Index];
      continue;
    }
    Plain +=
        static_cast<char>(std::stoi(Text.substr(Index + 1, 2), nullptr, 16));
    Index += 2;
  }
  return Plain;
}

std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Query;
  std::size_t Begin = Target.find('?');
  if (Begin == std::string::npos)
    return Query;
  std::istringstream Items(Target.substr(Begin + 1));
  for (std::string Item; std::getline(Items, Item, '&');) {
    std::size_t Equals = std::min(Item.find('='), Item.size());
    Query[Item.substr(0, Equals)] =
        Equals < Item.size() ? percentDecoded(Item.substr(Equals + 1)) : "";
  }
  return Query;
}

std::string valueOf(const std::map<std::string, std::string> &Map,
                    const std::string &Name, const std::string &Absent = "") {
  auto Found = Map.find(Name);
  return Found == Map.end() ? Absent : Found->second;
}

} // namespace

std::string Message::field(const std::string &Name) const {
  return valueOf(Fields_, Name);
}

int Message::status() const { return std::atoi(word(1).c_str()); }

std::string Message::word(std::size_t Index) const {
  std::istringstream Words(Line_);
  std::string Word;
  for (std::size_t Read = 0; Read <= Index; ++Read)
    Words >> Word;
  return Word;
}

Connection::~Connection() { ::close(Socket_); }

bool Connection::send(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    auto Count =
        ::send(Socket_, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

void Connection::endSending() { ::shutdown(Socket_, SHUT_WR); }

void Connection::resetAtEnd() {
  linger Now{1, 0};
  ::setsockopt(Socket_, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
}

void Connection::limitReads(int Milliseconds) {
  timeval Limit{Milliseconds / 1000, Milliseconds % 1000 * 1000};
  ::setsockopt(Socket_, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
}

bool Connection::peerHasClosed() const {
  char Byte = 0;
  return ::recv(Socket_, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool Connection::fill() {
  std::array<char, 4096> Space;
  auto Count = ::recv(Socket_, Space.data(), Space.size(), 0);
  if (Count <= 0)
    return false;
  Held_.append(Space.data(), static_cast<std::size_t>(Count));
  return true;
}

std::optional<std::string> Connection::take(std::size_t Count) {
  while (Held_.size() < Count)
    if (!fill())
      return std::nullopt;
  std::string Taken = Held_.substr(0, Count);
  Held_.erase(0, Count);
  return Taken;
}

std::optional<std::string> Connection::takeLine() {
  std::size_t End = Held_.find(LineEnd);
  while (End == std::string::npos) {
    if (!fill())
      return std::nullopt;
    End = Held_.find(LineEnd);
  }
  auto Line = take(End + LineEnd.size());
  Line->resize(End);
  return Line;
}

std::optional<Message> Connection::readHead() {
  auto First = takeLine();
  if (!First)
    return std::nullopt;
  Message Head{*First, {}, ""};
  while (true) {
    auto Line = takeLine();
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      return Head;
    std::size_t Colon = std::min(Line->find(':'), Line->size());
    std::size_t Value = Line->find_first_not_of(" \t", Colon + 1);
    Head.Fields_[lower(Line->substr(0, Colon))] =
        Value == std::string::npos ? "" : Line->substr(Value);
  }
}

std::optional<Message> Connection::read() {
  auto Whole = readHead();
  if (!Whole)
    return std::nullopt;
  if (Whole->field("transfer-encoding").empty()) {
    auto Body = take(static_cast<std::size_t>(
        std::atoll(Whole->field("content-length").c_str())));
    if (!Body)
      return std::nullopt;
    Whole->Body_ = *Body;
    return Whole;
  }
  while (true) {
    auto Size = takeLine();
    if (!Size)
      return std::nullopt;
    auto Count = static_cast<std::size_t>(std::stoul(*Size, nullptr, 16));
    auto Chunk = take(Count + LineEnd.size());
    if (!Chunk)
      return std::nullopt;
    if (Count == 0)
      return Whole;
    Whole->Body_ += Chunk->substr(0, Count);
  }
}

std::string serve(std::function<void(Connection &)> Handler) {
  int Listening = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Local);
  constexpr int Backlog = 128;
  bool Ready =
      ::bind(Listening, reinterpret_cast<sockaddr *>(&Local), Size) == 0 &&
      ::listen(Listening, Backlog) == 0 &&
      ::getsockname(Listening, reinterpret_cast<sockaddr *>(&Local), &Size) ==
          0;
  if (!Ready)
    return "";
  std::thread([Listening, Handler = std::move(Handler)] {
    while (true) {
      int Accepted = ::accept(Listening, nullptr, nullptr);
      if (Accepted < 0)
        continue;
      int On = 1;
      ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([Accepted, Handler] {
        Connection Peer(Accepted);
        Handler(Peer);
      }).detach();
    }
  }).detach();
  return "127.0.0.1:" + std::to_string(ntohs(Local.sin_port));
}

int connectTo(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Remote{};
  Remote.sin_family = AF_INET;
  Remote.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Remote.sin_addr);
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Remote),
                sizeof(Remote)) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

std::string Store::start() {
  return serve([this](Connection &Peer) { handle(Peer); });
}

void Store::put(const std::string &Key, const std::string &Value) {
  std::lock_guard Lock(Mutex_);
  putLocked(Key, Value);
}

void Store::putLocked(const std::string &Key, const std::string &Value) {
  Item &Target = Items_[Key];
  Target.Value_ = Value;
  Target.Revision_ = ++Revision_;
  if (Target.Created_ == 0)
    Target.Created_ = Revision_;
  Changes_[Key] = Revision_;
  Changed_.notify_all();
}

void Store::handle(Connection &Peer) {
  while (auto Request = Peer.read()) {
    int Status = 200;
    std::string Body = answer(*Request, Status).dump();
    Peer.send("HTTP/1.1 " + std::to_string(Status) +
              " X\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }
}

Json Store::answer(const Message &Request, int &Status) {
  std::string Target = Request.word(1);
  std::string Path = Target.substr(0, Target.find('?'));
  auto Query = queryOf(Target);
  if (Path == "/-/kv-watch")
    return watch(Query);
  std::lock_guard Lock(Mutex_);
  if (Path == "/-/kv-range")
    return range(Query);
  if (Path == "/-/kv-txn")
    return transact(Json::parse(Request.Body_), Status);
  std::string Key = valueOf(Query, "key");
  bool Known = Path == "/-/kv-key" && Items_.contains(Key);
  Status = Known ? 200 : 404;
  Json Found = Known ? itemOf(Key) : Json::object();
  Found["current-rev"] = Revision_;
  return Found;
}

Json Store::itemOf(const std::string &Key) const {
  const Item &Found = Items_.at(Key);
  return {{"key", Key},
          {"value", encodeBase64(Found.Value_)},
          {"revision", Found.Revision_},
          {"created", Found.Created_},
          {"lease", 0}};
}

Json Store::range(const std::map<std::string, std::string> &Query) {
  std::string Prefix = valueOf(Query, "prefix");
  Json Entries = Json::array();
  for (const auto &[Key, Known] : Items_)
    if (Key.starts_with(Prefix) && Key > valueOf(Query, "after"))
      Entries.push_back(itemOf(Key));
  return {
      {"entries", Entries}, {"has-more", false}, {"current-rev", Revision_}};
}

Json Store::watch(const std::map<std::string, std::string> &Query) {
  auto After = std::stoull(valueOf(Query, "after", "0"));
  auto End =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(std::stoll(valueOf(Query, "wait-ms", "0")));
  std::string Prefix = valueOf(Query, "prefix");
  std::unique_lock Lock(Mutex_);
  Json Events = Json::array();
  auto Collect = [&] {
    std::map<std::uint64_t, std::string> Newer;
    for (const auto &[Key, Changed] : Changes_)
      if (Changed > After && Key.starts_with(Prefix))
        Newer[Changed] = Key;
    for (const auto &[Changed, Key] : Newer)
      Events.push_back(
          Items_.contains(Key)
              ? itemOf(Key)
              : Json{{"key", Key}, {"revision", Changed}, {"tombstone", true}});
    return !Events.empty();
  };
  Changed_.wait_until(Lock, End, Collect);
  return {{"events", Events}, {"current-rev", Revision_}};
}

Json Store::transact(const Json &Body, int &Status) {
  Json Current = Json::array();
  bool Holds = true;
  for (const Json &Row : Body.value("precondition", Json::array())) {
    auto Found = Items_.find(Row["key"].get<std::string>());
    bool Known = Found != Items_.end();
    std::uint64_t Revision = Known ? Found->second.Revision_ : 0;
    Holds = Holds && Row["revision"].get<std::uint64_t>() == Revision;
    if (Known)
      Current.push_back(itemOf(Found->first));
  }
  if (!Holds) {
    Status = 412;
    return {{"entries", Current}};
  }
  for (const Json &Row : Body.value("puts", Json::array()))
    putLocked(Row["key"].get<std::string>(),
              decodeBase64(Row["value"].get<std::string>()));
  for (const Json &Key : Body.value("remove", Json::array())) {
    Items_.erase(Key.get<std::string>());
    Changes_[Key.get<std::string>()] = ++Revision_;
  }
  Changed_.notify_all();
  return {{"revision", Revision_}};
}

Record::Record(const std::string &Path)
    : File_(std::fopen(Path.c_str(), "a")), Started_(nowMs()) {}

Record::~Record() {
  if (File_)
    std::fclose(File_);
}

void Record::line(const std::string &Text) {
  std::lock_guard Lock(Mutex_);
  if (!File_)
    return;
  std::fprintf(File_, "%8.3f s  %s\n",
               static_cast<double>(nowMs() - Started_) / 1000, Text.c_str());
  std::fflush(File_);
}

void Engine::start() {
  Address_ = serve([this](Connection &Peer) { handle(Peer); });
  std::thread([this] { keepRegistered(); }).detach();
}

void Engine::keepRegistered() {
  constexpr int HeartbeatMs = 1200;
  for (std::uint64_t Sequence = 1;; ++Sequence) {
    Json Entry = {{"service", Service_},  {"address", Address_},
                  {"zone", "z1"},         {"version", "v1"},
                  {"batch-size", 7},      {"state", "ready"},
                  {"sequence", Sequence}, {"warmup-left-ms", 0}};
    Registry_.put("servers/" + Id_, Entry.dump());
    sleepMs(HeartbeatMs);
  }
}

bool Engine::hasRun(const std::string &RequestId) {
  std::lock_guard Lock(Mutex_);
  return std::ranges::count(Runs_, RequestId) > 0;
}

void Engine::handle(Connection &Peer) {
  while (auto Request = Peer.read()) {
    bool Expected = Request->field("x-samphireshunt-expect-instance") == Id_;
    if (!Expected)
      Peer.send(
          "HTTP/1.1 421 Misdirected\r\nX-Samphireshunt-Not-Executed: 1\r\n"
          "X-Samphireshunt-Request-Id: " +
          Request->field("x-samphireshunt-request-id") +
          "\r\nContent-Length: 0\r\n\r\n");
    else if (!run(Peer, *Request))
      return;
  }
}

bool Engine::run(Connection &Peer, const Message &Request) {
  std::string Id = Request.field("x-samphireshunt-request-id");
  {
    std::lock_guard Lock(Mutex_);
    Runs_.push_back(Id);
  }
  Log_.line("engine " + Id_ + " begins to run " + Id);
  return Request.word(1).starts_with("/stream/") ? answerStream(Peer, Id)
                                                 : answerBody(Peer, Id);
}

bool Engine::answerBody(Connection &Peer, const std::string &Id) {
  constexpr int WorkMs = 300;
  sleepMs(WorkMs);
  bool Loses = false;
  {
    std::lock_guard Lock(Mutex_);
    int Number = Bodies_++ % 5;
    Loses = Loses_ && (Number == 1 || Number == 3);
  }
  if (Loses) {
    Log_.line("engine " + Id_ + " has run " + Id + "; its answer is lost");
    Peer.resetAtEnd();
    return false;
  }
  Log_.line("engine " + Id_ + " has answered " + Id);
  return Peer.send("HTTP/1.1 200 OK\r\nX-Samphireshunt-Request-Id: " + Id +
                   "\r\nX-Samphireshunt-Server-Stamp: stamp." + Id_ +
                   "\r\nContent-Length: 4\r\n\r\ndone");
}

bool Engine::answerStream(Connection &Peer, const std::string &Id) {
  constexpr int PrefillMs = 600;
  constexpr int StepMs = 20;
  constexpr int Events = 5;
  for (int Spent = 0; Spent < PrefillMs; Spent += StepMs) {
    sleepMs(StepMs);
    if (Peer.peerHasClosed()) {
      Log_.line("engine " + Id_ + " drops " + Id + ": its channel was closed");
      return false;
    }
  }
  Peer.send("HTTP/1.1 200 OK\r\nX-Samphireshunt-Request-Id: " + Id +
            "\r\nX-Samphireshunt-Server-Stamp: stamp." + Id_ +
            "\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
  for (int Number = 1; Number <= Events; ++Number) {
    std::string Event =
        "id: " + std::to_string(Number) + "\ndata: piece of " + Id + "\n\n";
    std::ostringstream Size;
    Size << std::hex << Event.size();
    Peer.send(Size.str() + "\r\n" + Event + "\r\n");
    sleepMs(StepMs);
  }
  Log_.line("engine " + Id_ + " has answered " + Id);
  return Peer.send("0\r\n\r\n");
}

} // namespace review
