#include "Common/LogSink.h"

#include <doctest/doctest.h>
#include <spdlog/logger.h>

#include <array>
#include <memory>
#include <string>
#include <unistd.h>

using namespace samphireshunt;

namespace {

/// A pipe whose reader takes nothing until it is told to.
class StalledReader {
public:
  StalledReader() { REQUIRE(::pipe(Ends_.data()) == 0); }
  ~StalledReader() {
    ::close(Ends_[0]);
    ::close(Ends_[1]);
  }
  int writeEnd() const { return Ends_[1]; }
  std::string readSome() {
    std::string Text(1 << 16, '\0');
    ssize_t Count = ::read(Ends_[0], Text.data(), Text.size());
    Text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, Count)));
    return Text;
  }

private:
  std::array<int, 2> Ends_{};
};

} // namespace

TEST_CASE("a reader of the logs that stalls neither stops nor grows the "
          "process") {
  // Symptom: requests hang while whoever reads standard output is busy.
  // Sequence: the pipe is full; the next line is written.
  // Cause: a write to a full pipe blocks.
  StalledReader Reader;
  auto Sink = std::make_shared<NonBlockingSink>(Reader.writeEnd());
  spdlog::logger Logger("test", Sink);
  Logger.set_pattern("%v");
  const std::string Line(100, 'x');
  for (int Index = 0; Index < 10000; ++Index)
    Logger.info(Line);
  CHECK(Sink->dropped() > 0);
  // Once the reader takes lines again it gets those that were kept, and is told
  // of the others.
  std::string Read;
  constexpr int MostReads = 100;
  for (int Index = 0; Index < MostReads; ++Index) {
    Read += Reader.readSome();
    Logger.flush();
    if (Read.find("log-lines-dropped") != std::string::npos)
      break;
  }
  CHECK(Read.find("log-lines-dropped") != std::string::npos);
  CHECK(Read.size() > NonBlockingSink::MaxBacklogBytes / 2);
}
