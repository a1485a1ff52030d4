#include "Common/ResultCode.h"

#include "Common/Ids.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace samphireshunt;

TEST_CASE("the table of codes is in ascending order, with unique names") {
  auto Table = resultCodeTable();
  CHECK(std::ranges::is_sorted(Table, std::ranges::less_equal(),
                               &ResultCodeInfo::Code_));
  std::set<std::string_view> Names;
  for (const ResultCodeInfo &Row : Table) {
    CHECK(Names.insert(Row.Name_).second);
    CHECK_FALSE(Row.Meaning_.empty());
    CHECK_FALSE(Row.Advice_.empty());
  }
}

TEST_CASE("the value of a failed result throws its code") {
  Result<int> Failed = Failure{ResultCode::NotFound, "seven"};
  try {
    Failed.value();
    FAIL("nothing was thrown");
  } catch (const FailureError &Error) {
    CHECK(Error.code() == ResultCode::NotFound);
    CHECK(std::string_view(Error.what()) == "405 not-found: seven");
  }
}

TEST_CASE("a request id is parsed from its text, and from no other text") {
  RequestId Id{0x0123456789abcdef, 42};
  CHECK(Id.str() == "0123456789abcdef-000000000000002a");
  CHECK(RequestId::parse(Id.str()) == Id);
  CHECK_FALSE(RequestId::parse("0123456789abcdef-00000000000002a"));
  CHECK_FALSE(RequestId::parse("0123456789abcdef000000000000002aa"));
  CHECK_FALSE(RequestId::parse("0123456789abcdeg-000000000000002a"));
}
