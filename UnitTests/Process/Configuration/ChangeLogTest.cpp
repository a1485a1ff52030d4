#include "Process/Configuration/ChangeLog.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace samphireshunt;

namespace {

KeyValue entry(const std::string &Key, const std::string &Value) {
  return {Key, Value, {StoreEra(), Revision(1)}, false};
}

} // namespace

TEST_CASE("changes after a number are what a follower lacks") {
  ChangeLog Log;
  Log.set(entry("a", "1"));
  Log.set(entry("b", "1"));
  std::uint64_t Known = Log.last();
  Log.set(entry("b", "2"));
  Log.remove("a");
  auto Found = Log.since(Known);
  CHECK_FALSE(Found.Complete_);
  REQUIRE(Found.Entries_.size() == 2);
  CHECK(Found.Entries_[0].Deleted_);
  CHECK(Found.Entries_[1].Value_ == "2");
  CHECK(Log.since(Log.last()).Entries_.empty());
}

TEST_CASE("a follower without a number gets all entries") {
  ChangeLog Log;
  Log.set(entry("a", "1"));
  Log.set(entry("b", "1"));
  Log.remove("a");
  auto Found = Log.since(0);
  CHECK(Found.Complete_);
  REQUIRE(Found.Entries_.size() == 1);
  CHECK(Found.Entries_.front().Key_ == "b");
}

TEST_CASE("setting a known entry or removing an unknown one is no change") {
  ChangeLog Log;
  Log.set(entry("a", "1"));
  std::uint64_t Known = Log.last();
  Log.set(entry("a", "1"));
  Log.remove("b");
  CHECK(Log.last() == Known);
}

TEST_CASE("a follower that missed forgotten removals gets all entries") {
  ChangeLog Log;
  Log.set(entry("kept", "1"));
  std::uint64_t Known = Log.last();
  for (int Number = 0; Number < 1500; ++Number) {
    std::string Key = fmt::format("server-{}", Number);
    Log.set(entry(Key, "1"));
    Log.remove(Key);
  }
  CHECK(Log.since(Known).Complete_);
  CHECK(Log.since(Known).Entries_.size() == 1);
  CHECK_FALSE(Log.since(Log.last() - 10).Complete_);
}
