#include "Connection/RequestTarget.h"

#include "Connection/Http.h"

#include <doctest/doctest.h>

#include <vector>

using namespace samphireshunt;

namespace {

HttpRequest requestOf(std::string Method, std::string Target,
                      HttpFields Fields) {
  HttpRequest Request;
  Request.Method_ = std::move(Method);
  Request.Target_ = std::move(Target);
  Request.Fields_ = std::move(Fields);
  return Request;
}

} // namespace

TEST_CASE("a target becomes a path, and its host the host of the request") {
  // Guards against a request to a known host that is answered 404.
  struct Row {
    std::string Target_;
    std::string Host_;
    std::string Path_;
  };
  for (const Row &Case :
       std::vector<Row>{{"/a?b", "own.example", "/a?b"},
                        {"//a", "own.example", "//a"},
                        {"/http://x/", "own.example", "/http://x/"},
                        {"http://a.example/b?c=d", "a.example", "/b?c=d"},
                        {"HTTP://a.example:80", "a.example:80", "/"},
                        {"https://a.example?b", "a.example", "/?b"},
                        {"http://[::1]:80/b", "[::1]:80", "/b"}}) {
    CAPTURE(Case.Target_);
    auto Request =
        requestOf("GET", Case.Target_, {{"host", "own.example"}, {"a", "b"}});
    CHECK_FALSE(normalizeTarget(Request, /*IsHttp10=*/false));
    CHECK(Request.Target_ == Case.Path_);
    CHECK(Request.Fields_ == HttpFields{{"host", Case.Host_}, {"a", "b"}});
  }
}

TEST_CASE("a request is refused whose target or host is none") {
  // Guards against a server that reads another host than the daemon does.
  for (const char *Target :
       {"a", "*", "?a", "a.example:80", "http://", "http:///a", "ftp://a/b",
        "http://user@a.example/", "http://a,b/", "mailto:a"}) {
    CAPTURE(Target);
    auto Request = requestOf("GET", Target, {{"host", "own.example"}});
    auto Refused = normalizeTarget(Request, /*IsHttp10=*/false);
    REQUIRE(Refused);
    CHECK(Refused->Code_ == ResultCode::MalformedRequest);
  }
  for (const char *Host : {"a b", "a/b", "a@b", "a,b", "a?b", "a#b", "a\\b"}) {
    CAPTURE(Host);
    auto Request = requestOf("GET", "/", {{"host", Host}});
    CHECK(normalizeTarget(Request, /*IsHttp10=*/false));
  }
  auto Options = requestOf("OPTIONS", "*", {{"host", "a"}});
  CHECK_FALSE(normalizeTarget(Options, /*IsHttp10=*/false));
}

TEST_CASE("only a request in HTTP/1.0 may have no host") {
  auto Request = requestOf("GET", "/", {});
  CHECK(normalizeTarget(Request, /*IsHttp10=*/false));
  CHECK_FALSE(normalizeTarget(Request, /*IsHttp10=*/true));
}

TEST_CASE("a tunnel or an echo is refused as a method") {
  // Guards against a caller that takes a server's 200 for a tunnel.
  for (const char *Method : {"CONNECT", "TRACE"}) {
    auto Request = requestOf(Method, "a.example:80", {{"host", "a.example"}});
    auto Refused = normalizeTarget(Request, /*IsHttp10=*/false);
    REQUIRE(Refused);
    CHECK(Refused->Code_ == ResultCode::MethodNotAllowed);
  }
}
