#include "platform/Configuration.h"
#include "platform/Headers.h"

#include "Process/Configuration/StoreEraHeader.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <sstream>
#include <vector>

using namespace samphireshunt;

namespace {

const std::string RouteText =
    R"({"name":"r-1","hostname":"a.example","prefix":"/s/","kind":"streaming",)"
    R"("timeout-ms":6000,"goal-ms":800,"priority":0,"attempts":1,)"
    R"("anonymous":false,"resumable":false,"gap-target-ms":400,"labels":[1],)"
    R"("backends":[{"service":"engines","weight":90},)"
    R"({"service":"plain","weight":10}]})";

/// A configuration whose member of routes is written as \p RoutesMember. With
/// escapes in that name the text is parsed whole instead of route by route.
std::string configuration(const std::string &RoutesMember,
                          const std::string &Route,
                          const std::string &Keys = R"(["key-a","key-b"])") {
  return R"({"version":7,")" + RoutesMember + R"(":[)" + Route +
         R"(],"services":[{"name":"engines","backend":{"kv-capacity":187300,)"
         R"("stride":2,"moves":true,"session-ttl-s":2.5}},{"name":"plain"}],)"
         R"("limits":{"max-body-bytes":4194304,"idle-timeout-ms":15000},)"
         R"("tenants":[{"name":"t-1","api-keys":)" +
         Keys + R"(,"unit":"tokens","plain-tokens":200,"rate-per-s":3}]})";
}

const std::vector<std::string> RoutesMembers = {"routes", R"(rout\u0065s)"};

const std::string ServerText =
    R"({"service":"engines","address":"10.1.2.3:80","zone":"z","batch-size":7,)"
    R"("state":"ready","version":"v1","warmup-left-ms":0,"sequence":4,)"
    R"("born":1764700000123})";

const std::string CallText = "x-samphireshunt-request-id:9c41\n"
                             "x-samphireshunt-deadline-ms:6000\n"
                             "x-samphireshunt-token-count:1460,80\n"
                             "x-samphireshunt-length-hint:12\n"
                             "x-samphireshunt-prompt-prefix:5c1e:800,91bd:410\n"
                             "resumes:9c41\n"
                             "last-event-id:7\n";

const std::string AnswerText = "x-samphireshunt-request-id:9c41\n"
                               "x-samphireshunt-not-executed:1\n"
                               "x-samphireshunt-server-stamp:5\n"
                               "x-samphireshunt-server-load:3,1,8,250\n";

/// The header fields of a text with one field a line.
HttpFields fieldsOf(const std::string &Text) {
  HttpFields Fields;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    auto Colon = std::min(Line.find(':'), Line.size());
    std::string Name = Line.substr(0, Colon);
    Fields.add(Name, Line.erase(0, std::min(Colon + 1, Line.size())));
  }
  return Fields;
}

std::string nestedLists(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// Changes \p Text at one place.
void mutate(std::string &Text) {
  auto Offset = *rc::gen::inRange<std::size_t>(0, Text.size() + 1);
  auto Length = *rc::gen::inRange<std::size_t>(0, Text.size() - Offset + 1);
  auto Depth = *rc::gen::element<std::size_t>(1, 2, 99, 101, 5000);
  switch (*rc::gen::inRange(0, 6)) {
  case 0:
    Text.replace(Offset, std::min<std::size_t>(Length, 3),
                 *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
    break;
  case 1:
    Text.erase(Offset, Length);
    break;
  case 2:
    Text.insert(Offset, Text.substr(Offset, Length));
    break;
  case 3:
    Text.insert(Offset, Depth, *rc::gen::element('[', '{'));
    break;
  case 4:
    // Remains valid JSON if it is placed at the beginning of a list.
    Offset = std::min(Text.find('[', Offset), Text.size() - 1) + 1;
    Text.insert(Offset, nestedLists(Depth) + ",");
    break;
  default:
    // Invalid UTF-8: lone, overlong, surrogate, cut, never used.
    Text.insert(Offset, *rc::gen::element<std::string>("\x80", "\xc0\xaf",
                                                       "\xed\xa0\x80",
                                                       "\xf0\x9f\x92", "\xff"));
  }
}

/// \p Decode returns whether it has read the text. It has to read \p Sample,
/// and to return, without an exception, for all that mutations make of it.
void checkMutated(const std::string &Sample,
                  const std::function<bool(const std::string &)> &Decode) {
  REQUIRE(Decode(Sample));
  CHECK(rc::check([&] {
    std::string Text = Sample;
    for (int Left = *rc::gen::inRange(1, 5); Left > 0 && !Text.empty(); --Left)
      mutate(Text);
    Decode(Text);
    RC_ASSERT(Decode(Sample));
  }));
}

/// \returns whether \p Read is a value. A failure has to state its cause.
template <class Value> bool isRead(const Result<Value> &Read) {
  if (!Read)
    RC_ASSERT(Read.error().Code_ != ResultCode::Internal &&
              !Read.error().Detail_.empty());
  return Read.has_value();
}

} // namespace

TEST_CASE("mutated configurations are read or refused") {
  // Guards against bytes of the store, or of a peer that passes them on, that
  // end the process or escape the reader as an exception.
  for (const std::string &Name : RoutesMembers) {
    CAPTURE(Name);
    checkMutated(configuration(Name, RouteText), [](auto &Text) {
      return isRead(platform::readConfiguration(Text));
    });
    checkMutated(configuration(Name, RouteText),
                 [Layout = platform::storeLayout()](auto &Text) {
                   return isRead(Layout.ReadConfiguration_(Text));
                 });
  }
  checkMutated(RouteText,
               [](auto &Text) { return isRead(platform::readRoute(Text)); });
}

TEST_CASE("mutated entries of the directory and orders are read or refused") {
  // Guards against an entry, which any client of the store can write, that ends
  // all daemons that read it.
  checkMutated(ServerText, [Layout = platform::storeLayout()](auto &Text) {
    return isRead(Layout.ReadServer_("i-1", Text));
  });
  checkMutated(R"({"service":"s","to":"v2","duration-s":12.5})",
               [Layout = platform::rolloutLayout()](auto &Text) {
                 return isRead(Layout.ReadOrder_("s", Text));
               });
}

TEST_CASE("mutated header fields are read or refused") {
  // Guards against a field of a caller or an engine that ends the process.
  const ForwardingDialect Dialect = platform::platformDialect();
  checkMutated(CallText, [&](auto &Text) {
    return Dialect.ReadCall_(fieldsOf(Text)).Timeout_.has_value();
  });
  checkMutated(AnswerText, [&](auto &Text) {
    HttpResponse Head;
    Head.Fields_ = fieldsOf(Text);
    return Dialect.ReadAnswer_(Head).Waiting_.has_value();
  });
  checkMutated("store-era:12\n",
               [](auto &Text) { return isRead(storeEraOf(fieldsOf(Text))); });
}

TEST_CASE("a deeply nested configuration is refused") {
  // Guards against a stack that overflows, since the JSON library copies and
  // writes values recursively.
  const std::string Deep = nestedLists(200000);
  std::string Route = RouteText;
  Route.replace(Route.find("[1]"), 3, Deep);
  for (const std::string &Name : RoutesMembers) {
    CAPTURE(Name);
    for (const std::string &Text :
         {configuration(Name, Route), configuration(Name, RouteText, Deep)}) {
      auto Read = platform::readConfiguration(Text);
      CHECK((Read ? ResultCode::Ok : Read.error().Code_) ==
            ResultCode::DocumentSchema);
    }
  }
}

TEST_CASE("a list among the backends of a route is refused") {
  // Guards against a weight that is written to a backend that does not exist.
  std::string Text = RouteText;
  Text.replace(Text.find("[{"), 1, R"([[{"weight":1},5],)");
  auto Read = platform::readRoute(Text);
  REQUIRE(Read.has_error());
  CHECK(Read.error().Code_ == ResultCode::DocumentSchema);
}
