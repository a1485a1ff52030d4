#include "Connection/RequestTarget.h"

#include "Connection/Http.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace samphireshunt {

namespace {

constexpr std::string_view HostField = "host";

/// \returns whether \p Text is a host with or without a port. The host may be
/// empty (RFC 9112, section 3.2).
bool isHost(std::string_view Text) {
  constexpr std::string_view Excluded = " \t/\\?#@,<>\"";
  return std::ranges::none_of(Text, [&](char Byte) {
    return Excluded.find(Byte) != std::string_view::npos;
  });
}

/// \returns the part of an absolute target after its scheme; nothing if
/// \p Target has another form.
std::optional<std::string_view> afterScheme(std::string_view Target) {
  constexpr std::array<std::string_view, 2> Schemes = {"http://", "https://"};
  for (std::string_view Scheme : Schemes)
    if (lowerCase(Target.substr(0, Scheme.size())) == Scheme)
      return Target.substr(Scheme.size());
  return std::nullopt;
}

Failure malformed(const char *Fault) {
  return {ResultCode::MalformedRequest, Fault};
}

} // namespace

std::optional<Failure> normalizeTarget(HttpRequest &Request, bool IsHttp10) {
  const std::string &Method = Request.Method_;
  if (Method == "CONNECT" || Method == "TRACE")
    return Failure{ResultCode::MethodNotAllowed, Method};
  HttpFields &Fields = Request.Fields_;
  if (!IsHttp10 && !Fields.contains(HostField))
    return malformed("no host");
  if (!isHost(Fields.only(HostField)))
    return malformed("a host that is none");
  if (auto Absolute = afterScheme(Request.Target_)) {
    std::size_t End = std::min(Absolute->find_first_of("/?"), Absolute->size());
    std::string Host(Absolute->substr(0, End));
    std::string Path(Absolute->substr(End));
    if (Host.empty() || !isHost(Host))
      return malformed("a host that is none");
    Fields[std::string(HostField)] = std::move(Host);
    Request.Target_ = Path.starts_with('/') ? Path : "/" + Path;
    return std::nullopt;
  }
  bool IsServer = Method == "OPTIONS" && Request.Target_ == "*";
  if (!Request.Target_.starts_with('/') && !IsServer)
    return malformed("a target that is no path");
  return std::nullopt;
}

} // namespace samphireshunt
