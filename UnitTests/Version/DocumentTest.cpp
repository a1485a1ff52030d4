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

/// The rule in its plainest form: a look at every route.
const Route *routeByScan(const Document &Whole, std::string_view Path,
                         std::string_view Host) {
  const Route *Best = nullptr;
  for (const auto &Candidate : Whole.Routes_) {
    const std::string &Prefix = Candidate->PathPrefix_;
    bool OfHost = Candidate->Host_.empty() || Candidate->Host_ == Host;
    if (!OfHost || !Path.starts_with(Prefix))
      continue;
    bool AtName = Prefix.ends_with('/') || Path.size() == Prefix.size() ||
                  Path[Prefix.size()] == '/';
    if (!AtName)
      continue;
    if (!Best || Prefix.size() > Best->PathPrefix_.size())
      Best = Candidate.get();
  }
  return Best;
}

/// Short paths of few names, so that many are prefixes of others.
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

TEST_CASE("the route is the one that a look at every route finds") {
  bool Holds = rc::check([] {
    auto Host = rc::gen::element<std::string>("", "h", "g");
    auto Pairs =
        *rc::gen::container<std::vector<std::pair<std::string, std::string>>>(
            rc::gen::pair(Host, anyPath()));
    std::vector<std::shared_ptr<const Route>> Routes;
    for (auto &[Of, Prefix] : Pairs)
      Routes.push_back(routeTo(Of, Prefix));
    Document Whole = withRoutes(std::move(Routes));
    std::string Path = *anyPath();
    std::string Asked = *Host;
    RC_ASSERT(Whole.route(Path, Asked) == routeByScan(Whole, Path, Asked));
  });
  CHECK(Holds);
}

TEST_CASE("a port does not change the host, and a name is never cut") {
  Document Whole = withRoutes({routeTo("h", "/readings"), routeTo("", "/")});
  CHECK(Whole.route("/readings/1", "h:80")->PathPrefix_ == "/readings");
  CHECK(Whole.route("/readings", "h")->PathPrefix_ == "/readings");
  CHECK(Whole.route("/readingsarchive", "h")->PathPrefix_ == "/");
  CHECK(Whole.route("/readings", "g")->PathPrefix_ == "/");
  CHECK(Whole.route("*", "h") == nullptr);
}
