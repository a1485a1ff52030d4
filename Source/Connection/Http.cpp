#include "Connection/Http.h"

#include "Common/JsonReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace samphireshunt {

const std::string &HttpRequest::field(const std::string &LowerName) const {
  static const std::string Absent;
  auto Found = Fields_.find(LowerName);
  return Found == Fields_.end() ? Absent : Found->second;
}

std::string_view HttpRequest::path() const {
  std::string_view Target(Target_);
  return Target.substr(0, Target.find('?'));
}

std::string HttpRequest::queryParameter(std::string_view Name) const {
  std::size_t Start = Target_.find('?');
  if (Start == std::string::npos)
    return {};
  auto Query = std::string_view(Target_).substr(Start + 1);
  while (!Query.empty()) {
    std::string_view Item = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Item.size() + 1));
    std::size_t Equals = Item.find('=');
    if (Equals != std::string_view::npos && Item.substr(0, Equals) == Name)
      return std::string(Item.substr(Equals + 1));
  }
  return {};
}

std::string_view bodyEndName(BodyEnd Known) {
  switch (Known) {
  case BodyEnd::Length:
    return "length";
  case BodyEnd::Chunks:
    return "chunks";
  case BodyEnd::Close:
    return "close";
  }
  return "close";
}

bool isWholeJson(std::string_view Body) {
  std::size_t First = Body.find_first_not_of(" \t\r\n");
  bool Bounded = First != std::string_view::npos &&
                 (Body[First] == '{' || Body[First] == '[');
  return Bounded && isJson(Body);
}

bool isShownCut(const HttpResponse &Response) {
  auto Type = Response.Fields_.find("content-type");
  std::string Media =
      Type == Response.Fields_.end() ? std::string() : lowerCase(Type->second);
  Media.resize(std::min(Media.find_first_of("; \t"), Media.size()));
  bool Json = Media == "application/json" || Media.ends_with("+json");
  constexpr int StatusResetContent = 205;
  bool Empty = Response.Body_.empty() && Response.Status_ != StatusResetContent;
  return Empty || (Json && !isJson(Response.Body_));
}

bool isEndKnown(const HttpConnection &Connection, std::string_view Body) {
  return Connection.bodyEnd() != BodyEnd::Close || isWholeJson(Body);
}

HttpResponse jsonResponse(int Status, std::string Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Fields_["content-type"] = "application/json";
  Response.Body_ = std::move(Body);
  return Response;
}

Result<Endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  Failure Bad{ResultCode::BadSetting,
              fmt::format("'{}' is not an IP address and a port", Text)};
  if (Colon == std::string_view::npos)
    return Bad;
  std::string Host(Text.substr(0, Colon));
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  auto Parsed = std::from_chars(PortText.begin(), PortText.end(), Port);
  boost::system::error_code Error;
  auto Address = boost::asio::ip::make_address(Host, Error);
  if (Error || Parsed.ec != std::errc() || Parsed.ptr != PortText.end())
    return Bad;
  return Endpoint(Address, Port);
}

std::string formatEndpoint(const Endpoint &Address) {
  if (Address.address().is_v6())
    return fmt::format("[{}]:{}", Address.address().to_string(),
                       Address.port());
  return fmt::format("{}:{}", Address.address().to_string(), Address.port());
}

} // namespace samphireshunt
