#include "FailureTests/TestFolder.h"

#include "FailureTests/TestHooks.h"

#include <fmt/format.h>

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace samphireshunt::tests {

namespace {

/// Enough for the stack trace of a sanitizer and the lines before it.
constexpr std::size_t TailLines = 60;

} // namespace

TestFolder::TestFolder()
    : Path_((std::filesystem::temp_directory_path() / "samphireshunt-XXXXXX")
                .string()) {
  if (!::mkdtemp(Path_.data()))
    throw std::runtime_error("cannot create a temporary folder");
}

TestFolder::~TestFolder() { testHooks().ReleaseFolder_(Path_); }

std::string logTail(const std::string &Path, std::size_t Begin) {
  std::ifstream Log(Path);
  Log.seekg(static_cast<std::streamoff>(Begin));
  std::deque<std::string> Lines;
  for (std::string Line; std::getline(Log, Line);) {
    Lines.push_back(std::move(Line) + "\n");
    if (Lines.size() > TailLines)
      Lines.pop_front();
  }
  return fmt::format("{}", fmt::join(Lines, ""));
}

std::string logTails(const std::string &Folder) {
  std::string Text;
  for (const auto &File : std::filesystem::directory_iterator(Folder))
    if (File.path().extension() == ".log")
      Text += fmt::format("--- {}\n{}", File.path().filename().string(),
                          logTail(File.path().string()));
  return Text;
}

} // namespace samphireshunt::tests
