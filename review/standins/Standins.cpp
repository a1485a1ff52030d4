#include "Standins.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int IdleTimeoutMs = 60000;

std::string encodeBase64(std::string_view Bytes) {
  constexpr std::string_view Letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group =
          Group << 8 |
          (Index < Count ? static_cast<unsigned char>(Bytes[At + Index]) : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += Index <= Count ? Letters[Group >> (18 - 6 * Index) & 63] : '=';
  }
  return Text;
}

std::string decodeBase64(std::string_view Text) {
  std::string Bytes;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (char Letter : Text) {
    constexpr std::string_view Letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::size_t Value = Letters.find(Letter);
    if (Value == std::string_view::npos)
      break;
    Group = Group << 6 | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes += static_cast<char>(Group >> Bits & 255U);
  }
  return Bytes;
}

/// \returns a parameter of the query, with %2F decoded.
std::string parameter(const std::string &StartLine, const std::string &Name) {
  std::size_t Begin = StartLine.find_first_of("?&");
  while (Begin != std::string::npos) {
    std::size_t End = StartLine.find_first_of("& ", Begin + 1);
    std::string Item = StartLine.substr(Begin + 1, End - Begin - 1);
    if (Item.starts_with(Name + "="))
      return Item.substr(Name.size() + 1);
    Begin = End != std::string::npos && StartLine[End] == '&'
                ? End
                : std::string::npos;
  }
  return {};
}

void serve(Socket Connection, const Server::Handler &Answer) {
  Reader Requests(Connection);
  while (auto Request = Requests.next(IdleTimeoutMs)) {
    if (!Connection.send(Answer(*Request)))
      return;
    if (Request->field("connection") == "close")
      return;
  }
}

} // namespace

Socket::Socket(Socket &&Other) noexcept
    : Descriptor_(std::exchange(Other.Descriptor_, -1)) {}

Socket &Socket::operator=(Socket &&Other) noexcept {
  std::swap(Descriptor_, Other.Descriptor_);
  return *this;
}

Socket::~Socket() {
  if (Descriptor_ >= 0)
    ::close(Descriptor_);
}

bool Socket::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    ssize_t Sent =
        ::send(Descriptor_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

std::string Socket::receive(int TimeoutMs) const {
  pollfd Wait{Descriptor_, POLLIN, 0};
  if (::poll(&Wait, 1, TimeoutMs) <= 0)
    return {};
  std::array<char, 16384> Space{};
  ssize_t Count = ::recv(Descriptor_, Space.data(), Space.size(), 0);
  return Count <= 0
             ? std::string()
             : std::string(Space.data(), static_cast<std::size_t>(Count));
}

Socket connectTo(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Target.sin_addr);
  int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(Descriptor, reinterpret_cast<sockaddr *>(&Target),
                sizeof(Target)) != 0) {
    ::close(Descriptor);
    Descriptor = -1;
  }
  return Socket(Descriptor);
}

std::string Message::field(const std::string &Name) const {
  auto Found = Fields_.find(Name);
  return Found == Fields_.end() ? std::string() : Found->second;
}

bool Reader::fill(int TimeoutMs) {
  std::string Come = From_.receive(TimeoutMs);
  Buffer_ += Come;
  return !Come.empty();
}

std::optional<Message> Reader::next(int TimeoutMs) {
  while (Buffer_.find("\r\n\r\n") == std::string::npos)
    if (!fill(TimeoutMs))
      return std::nullopt;
  std::size_t HeadEnd = Buffer_.find("\r\n\r\n");
  Message Read;
  std::size_t LineEnd = Buffer_.find("\r\n");
  Read.StartLine_ = Buffer_.substr(0, LineEnd);
  while (LineEnd < HeadEnd) {
    std::size_t Begin = LineEnd + 2;
    LineEnd = Buffer_.find("\r\n", Begin);
    std::string Line = Buffer_.substr(Begin, LineEnd - Begin);
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::ranges::transform(Name, Name.begin(), [](unsigned char Letter) {
      return static_cast<char>(std::tolower(Letter));
    });
    std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Read.Fields_[Name] =
        Value == std::string::npos ? std::string() : Line.substr(Value);
  }
  std::string Length = Read.field("content-length");
  std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  while (Buffer_.size() < HeadEnd + 4 + Size)
    if (!fill(TimeoutMs))
      return std::nullopt;
  Read.Body_ = Buffer_.substr(HeadEnd + 4, Size);
  Buffer_.erase(0, HeadEnd + 4 + Size);
  return Read;
}

Server::Server(Handler Answer) : Answer_(std::move(Answer)) {
  int Listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Own{};
  Own.sin_family = AF_INET;
  Own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Own);
  ::bind(Listening, reinterpret_cast<sockaddr *>(&Own), Size);
  ::listen(Listening, SOMAXCONN);
  ::getsockname(Listening, reinterpret_cast<sockaddr *>(&Own), &Size);
  Address_ = "127.0.0.1:" + std::to_string(ntohs(Own.sin_port));
  std::thread([Listening, Handle = Answer_] {
    while (true) {
      int Accepted = ::accept4(Listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        continue;
      int On = 1;
      ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([Accepted, Handle] {
        serve(Socket(Accepted), Handle);
      }).detach();
    }
  }).detach();
}

std::string answer(int Status, const std::string &Fields,
                   const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " -\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

Store::Store()
    : Server_([this](const Message &Request) { return handle(Request); }) {}

void Store::put(const std::string &Key, const std::string &Value) {
  std::scoped_lock Lock(Mutex_);
  Items_[Key] = {Value, ++Revision_};
  Changed_.notify_all();
}

std::string Store::handle(const Message &Request) {
  const std::string &Line = Request.StartLine_;
  std::string After = parameter(Line, "after");
  if (Line.find("/-/kv-range") != std::string::npos)
    return range(parameter(Line, "prefix"), After);
  if (Line.find("/-/kv-watch") != std::string::npos)
    return watch(std::stoull(After), std::stoi(parameter(Line, "wait-ms")));
  if (Line.find("/-/kv-txn") != std::string::npos)
    return transaction(Request.Body_);
  return answer(404, "", "{}");
}

std::string Store::range(const std::string &Prefix, const std::string &After) {
  std::scoped_lock Lock(Mutex_);
  Json Entries = Json::array();
  for (const auto &[Key, Known] : Items_)
    if (Key.starts_with(Prefix) && Key > After)
      Entries.push_back({{"key", Key},
                         {"value", encodeBase64(Known.Value_)},
                         {"revision", Known.Revision_},
                         {"created", Known.Revision_},
                         {"lease", 0}});
  Json Body = {
      {"entries", Entries}, {"has-more", false}, {"current-rev", Revision_}};
  return answer(200, "Content-Type: application/json\r\n", Body.dump());
}

std::string Store::watch(std::uint64_t After, int WaitMs) {
  std::unique_lock Lock(Mutex_);
  Changed_.wait_for(Lock, milliseconds(WaitMs),
                    [&] { return Revision_ > After; });
  Json Events = Json::array();
  for (const auto &[Key, Known] : Items_)
    if (Known.Revision_ > After)
      Events.push_back({{"key", Key},
                        {"value", encodeBase64(Known.Value_)},
                        {"revision", Known.Revision_},
                        {"created", Known.Revision_},
                        {"lease", 0}});
  Json Body = {{"events", Events}, {"current-rev", Revision_}};
  return answer(200, "Content-Type: application/json\r\n", Body.dump());
}

std::string Store::transaction(const std::string &Body) {
  Json Asked = Json::parse(Body);
  std::scoped_lock Lock(Mutex_);
  for (const Json &Row : Asked["precondition"]) {
    auto Found = Items_.find(Row["key"].get<std::string>());
    std::uint64_t Present = Found == Items_.end() ? 0 : Found->second.Revision_;
    if (Present != Row["revision"].get<std::uint64_t>())
      return answer(412, "", R"({"entries":[]})");
  }
  ++Revision_;
  for (const Json &Row : Asked["puts"])
    Items_[Row["key"].get<std::string>()] = {
        decodeBase64(Row["value"].get<std::string>()), Revision_};
  Changed_.notify_all();
  return answer(200, "Content-Type: application/json\r\n",
                Json{{"revision", Revision_}}.dump());
}

void Record::add(const std::string &Line) {
  static const steady_clock::time_point Start = steady_clock::now();
  std::scoped_lock Lock(Mutex_);
  std::ofstream File(Path_, std::exchange(Begun_, true) ? std::ios::app
                                                        : std::ios::trunc);
  auto Millis =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - Start);
  File << Millis.count() << " ms " << Line << '\n';
}

} // namespace review
