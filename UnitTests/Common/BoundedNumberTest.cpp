#include "Common/BoundedNumber.h"

#include "UnitTests/OddNumbers.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace samphireshunt;
using Json = nlohmann::json;

TEST_CASE("a whole number is read within its range only") {
  auto ReadIn = [](NumberRange Range) {
    return [Range](const std::string &Text) -> Result<std::int64_t> {
      Json Given = Json::parse(Text, nullptr, false);
      return readWhole("n", Given, Range);
    };
  };
  tests::checkOddNumbers("n", {"0"}, ReadIn({0, MaxExactInteger}));
  tests::checkOddNumbers("n", {"-1", "0"}, ReadIn({-1, 7}));
  constexpr auto Least = std::numeric_limits<std::int64_t>::min();
  constexpr auto Most = std::numeric_limits<std::int64_t>::max();
  tests::checkOddNumbers("n", {"-1", "0", "9007199254740992"},
                         ReadIn({Least, Most}));
  CHECK(*readWhole("n", Json(7.0), {0, 7}) == 7);
  CHECK(*readWhole("n", Json(Least), {Least, 0}) == Least);
  CHECK_FALSE(readWhole("n", Json(8U), {0, 7}).has_value());
  CHECK(readWholeOf(Json::object(), "n", {}).error().Detail_ ==
        "n: is missing");
}
