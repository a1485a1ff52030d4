/// \file
/// Connects the test hooks with doctest. Linked into every failure test
/// program.

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

/// Removes the folders of a test at its end. If the test failed, the folders
/// are retained and the last lines of their logs are printed: the cause is
/// often in the log of a daemon.
class FolderCleanup : public doctest::IReporter {
public:
  explicit FolderCleanup(const doctest::ContextOptions &) {
    testHooks().Fail_ = [](const std::string &Problem) { FAIL_CHECK(Problem); };
    testHooks().ReleaseFolder_ = [this](const std::string &Path) {
      Folders_.push_back(Path);
    };
  }

  void test_case_end(const doctest::CurrentTestCaseStats &Stats) override {
    for (const std::string &Path : Folders_) {
      if (Stats.failure_flags != 0) {
        fmt::print(stderr, "the test failed; its folder is retained: {}\n{}",
                   Path, logTails(Path));
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

REGISTER_LISTENER("failure-tests", 1, FolderCleanup);

} // namespace

} // namespace samphireshunt::tests
