#include "Version/Document.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace samphireshunt;

namespace {

std::shared_ptr<const Route> routeTo(std::string Host, std::string Prefix) {
  auto Built = std::make_shared<Route>();
  Built->Host_ = std::move(Host);
  Built->PathPrefix_ = std::move(Prefix);
  return Built;
}

Document withRoutes(std::vector<std::shared_ptr<const Route>> Routes) {
  Document Built;
  Built.Routes_ = std::move(Routes);
  Built.buildIndex();
  return Built;
}

/// Reference implementation of the route lookup: a linear scan of all routes.
const Route *routeByScan(const Document &Routed, std::string_view Path,
                         std::string_view Host) {
  const Route *Best = nullptr;
  for (const auto &Candidate : Routed.Routes_) {
    const std::string &Prefix = Candidate->PathPrefix_;
    bool ForHost = Candidate->Host_->empty() || *Candidate->Host_ == Host;
    if (!ForHost || !Path.starts_with(Prefix))
      continue;
    bool AtSegmentEnd = Prefix.ends_with('/') || Path.size() == Prefix.size() ||
                        Path[Prefix.size()] == '/';
    if (!AtSegmentEnd)
      continue;
    if (!Best || Prefix.size() > Best->PathPrefix_.size())
      Best = Candidate.get();
  }
  return Best;
}

/// Generates short paths from few names, so that many are prefixes of others.
rc::Gen<std::string> anyPath() {
  auto Names = rc::gen::element<std::string>("", "/", "a", "/a", "b/", "//");
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(Names),
                      [](const std::vector<std::string> &Parts) {
                        std::string Path;
                        for (const std::string &Part : Parts)
                          Path += Part;
                        return Path;
                      });
}

} // namespace

TEST_CASE("the route lookup finds the same route as a linear scan") {
  bool Holds = rc::check([] {
    auto Host = rc::gen::element<std::string>("", "h", "g");
    auto Pairs =
        *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
            rc::gen::pair(Host, anyPath()));
    std::vector<std::shared_ptr<const Route>> Routes;
    for (auto &[RouteHost, Prefix] : Pairs)
      Routes.push_back(routeTo(RouteHost, Prefix));
    Document Routed = withRoutes(std::move(Routes));
    std::string Path = *anyPath();
    std::string RequestHost = *Host;
    RC_ASSERT(Routed.route(Path, RequestHost) ==
              routeByScan(Routed, Path, RequestHost));
  });
  CHECK(Holds);
}

TEST_CASE(
    "a port does not change the host, and prefixes match whole segments") {
  Document Routed = withRoutes({routeTo("h", "/readings"), routeTo("", "/")});
  CHECK(Routed.route("/readings/1", "h:80")->PathPrefix_ == "/readings");
  CHECK(Routed.route("/readings", "h")->PathPrefix_ == "/readings");
  CHECK(Routed.route("/readingsarchive", "h")->PathPrefix_ == "/");
  CHECK(Routed.route("/readings", "g")->PathPrefix_ == "/");
  CHECK(Routed.route("*", "h") == nullptr);
}
