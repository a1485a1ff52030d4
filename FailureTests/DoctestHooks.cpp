/// \file
/// Connects the hooks with doctest; part of every program of failure tests.

#include "FailureTests/TestFolder.h"
#include "FailureTests/TestHooks.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

namespace samphireshunt::tests {

namespace {

/// Removes a test's folders at its end. When it failed they are kept, and the
/// ends of their logs are told: the cause is often in a daemon's log.
class FolderKeeper : public doctest::IReporter {
public:
  explicit FolderKeeper(const doctest::ContextOptions &) {
    testHooks().Fail_ = [](const std::string &What) { FAIL_CHECK(What); };
    testHooks().LeaveFolder_ = [this](const std::string &Path) {
      Folders_.push_back(Path);
    };
  }

  void test_case_end(const doctest::CurrentTestCaseStats &Stats) override {
    for (const std::string &Path : Folders_) {
      if (Stats.failure_flags != 0) {
        fmt::print(stderr, "the test failed; its folder is kept: {}\n{}", Path,
                   logTails(Path));
        continue;
      }
      std::error_code Ignored;
      std::filesystem::remove_all(Path, Ignored);
    }
    Folders_.clear();
  }

  void report_query(const doctest::QueryData &) override {}
  void test_run_start() override {}
  void test_run_end(const doctest::TestRunStats &) override {}
  void test_case_start(const doctest::TestCaseData &) override {}
  void test_case_reenter(const doctest::TestCaseData &) override {}
  void test_case_exception(const doctest::TestCaseException &) override {}
  void subcase_start(const doctest::SubcaseSignature &) override {}
  void subcase_end() override {}
  void log_assert(const doctest::AssertData &) override {}
  void log_message(const doctest::MessageData &) override {}
  void test_case_skipped(const doctest::TestCaseData &) override {}

private:
  std::vector<std::string> Folders_;
};

REGISTER_LISTENER("failure-tests", 1, FolderKeeper);

} // namespace

} // namespace samphireshunt::tests
