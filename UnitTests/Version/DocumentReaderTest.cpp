#include "Version/DocumentReader.h"

#include "UnitTests/OddNumbers.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace samphireshunt;

namespace {

const std::string Valid = R"(format: 1
service: quilotoa-alto
tiers: [crew, desk]
customers:
  - name: crews
    keyDigests: ["sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
    defaultTier: crew
pools:
  - name: escriba
    kind: model
    models: [escriba]
    servers:
      - {name: e1, address: "10.0.0.1:8000", dataCenter: latacunga}
routes:
  - {path: /v1/chat/completions, pool: escriba}
)";

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

std::vector<Finding> findings(const std::string &Text) {
  auto Read = readYamlDocument(Text);
  auto *Found = std::get_if<std::vector<Finding>>(&Read);
  return Found ? *Found : std::vector<Finding>();
}

bool has(const std::vector<Finding> &Found, ResultCode Code, int Line) {
  return std::ranges::any_of(Found, [&](const Finding &Candidate) {
    return Candidate.Code_ == Code && Candidate.Line_ == Line;
  });
}

} // namespace

TEST_CASE("a valid document is read equally from YAML and from its JSON") {
  auto FromYaml = std::get<CheckedDocument>(readYamlDocument(Valid));
  auto FromJson =
      std::get<CheckedDocument>(readJsonDocument(FromYaml.CanonicalJson_));
  CHECK(FromJson.CanonicalJson_ == FromYaml.CanonicalJson_);
  const Document &Read = *FromJson.Document_;
  CHECK(Read.Service_.str() == "quilotoa-alto");
  CHECK(Read.customerByKeyDigest(std::string(64, 'a'))->Name_.str() == "crews");
  CHECK(Read.customerByKeyDigest(std::string(64, 'b')) == nullptr);
  CHECK(Read.route("/v1/chat/completions")->Pool_->str() == "escriba");
  CHECK(Read.route("/v1/chat/completionsandmore") == nullptr);
}

TEST_CASE("each kind of error is found with its line and code") {
  CHECK(has(findings(replaced(Valid, "service:", "servce:")),
            ResultCode::DocumentSchema, 1));
  CHECK(has(findings(replaced(Valid, "defaultTier: crew", "defaultTier: x")),
            ResultCode::DocumentReference, 7));
  CHECK(has(findings(replaced(Valid, "[crew, desk]", "[crew, crew]")),
            ResultCode::DocumentDuplicate, 3));
  CHECK(has(findings(replaced(Valid, "pool: escriba", "pool: other")),
            ResultCode::DocumentReference, 15));
  CHECK(has(findings(replaced(Valid, "10.0.0.1:8000", "escriba.example:80")),
            ResultCode::DocumentSchema, 13));
  CHECK(has(findings(replaced(Valid, "format: 1", "format: 9")),
            ResultCode::FormatTooNew, 1));
  CHECK(has(findings(replaced(Valid, "tiers: [", "tiers: [[")),
            ResultCode::DocumentSyntax, 4));
  CHECK(
      has(findings(replaced(Valid, "kind: model", "kind: model\n    kidn: x")),
          ResultCode::DocumentSchema, 11));
}

TEST_CASE("all findings are reported at once, in the order of lines") {
  std::string TwoErrors =
      replaced(replaced(Valid, "pool: escriba", "pool: other"),
               "defaultTier: crew", "defaultTier: x");
  auto Found = findings(TwoErrors);
  REQUIRE(Found.size() == 2);
  CHECK(Found[0].Line_ == 7);
  CHECK(Found[1].Line_ == 15);
}

// A format of 2^32 + 1 was taken for format 1, a limit of 2^32 for none.
TEST_CASE("a document's numbers out of range are findings, not other numbers") {
  auto Of = [](const std::string &Old, const std::string &New) {
    return findings(replaced(Valid, Old, New));
  };
  for (const char *Format : {"4294967297", "9223372036854775807"})
    CHECK(has(Of("format: 1", fmt::format("format: {}", Format)),
              ResultCode::FormatTooNew, 1));
  for (const char *Format : {"0", "-4294967295", "1.5", "1e300"})
    CHECK(has(Of("format: 1", fmt::format("format: {}", Format)),
              ResultCode::DocumentSchema, 1));
  for (const std::string &Number : tests::OddNumbers) {
    CAPTURE(Number);
    CHECK_FALSE(Of("    defaultTier",
                   fmt::format("    maxInFlight: {}\n    defaultTier", Number))
                    .empty());
    CHECK_FALSE(
        Of("    kind", fmt::format("    maxWaiting: {}\n    kind", Number))
            .empty());
    std::string Json = tests::withNumber(
        nlohmann::json::parse(
            std::get<CheckedDocument>(readYamlDocument(Valid)).CanonicalJson_),
        "/customers/0/maxInFlight", Number);
    CHECK(std::holds_alternative<std::vector<Finding>>(readJsonDocument(Json)));
  }
}
