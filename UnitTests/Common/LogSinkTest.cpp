#include "Common/LogSink.h"

#include <doctest/doctest.h>
#include <spdlog/logger.h>

#include <array>
#include <memory>
#include <string>
#include <unistd.h>

using namespace samphireshunt;

namespace {

/// A pipe whose reader reads only when readSome() is called.
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

TEST_CASE("a stalled reader of the logs neither blocks the process nor "
          "grows its memory") {
  // The pipe is full when the next line is written. A blocking write would make
  // requests hang while the reader of standard output is busy.
  StalledReader Reader;
  auto Sink = std::make_shared<NonBlockingSink>(Reader.writeEnd());
  spdlog::logger Logger("test", Sink);
  Logger.set_pattern("%v");
  const std::string Line(100, 'x');
  for (int Index = 0; Index < 10000; ++Index)
    Logger.info(Line);
  CHECK(Sink->dropped() > 0);
  // Once the reader reads again, it receives the buffered lines and the number
  // of dropped ones.
  std::string Read;
  constexpr int MaxReads = 100;
  for (int Index = 0; Index < MaxReads; ++Index) {
    Read += Reader.readSome();
    Logger.flush();
    if (Read.find("log-lines-dropped") != std::string::npos)
      break;
  }
  CHECK(Read.find("log-lines-dropped") != std::string::npos);
  CHECK(Read.size() > NonBlockingSink::MaxBacklogBytes / 2);
}
