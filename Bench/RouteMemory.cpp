/// \file
/// Measures what a configuration of many routes takes: memory in bytes a route
/// after it is read and after further versions, the most memory during the
/// reading, and the processor time of each version.
///   route_memory [ROUTES...]

#include "Common/ProcessMemory.h"
#include "Process/Configuration/TextPacking.h"
#include "platform/Configuration.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <string_view>
#include <vector>

#include <malloc.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace samphireshunt;

namespace {

constexpr int HostCount = 4;
constexpr int PriorityCount = 3;

/// Whether routes differ only in name and prefix, or each has its own time
/// limit too.
enum class Variety { FewRules, OwnRules };

std::string routeText(std::size_t Number, Variety Rules) {
  std::size_t Timeout = Rules == Variety::OwnRules ? 10000 + Number : 12000;
  return fmt::format(
      R"({{"name":"r-{0:06}","hostname":"front-{1}.shop.example",)"
      R"("prefix":"/idle/{0:06}/","kind":"streaming","timeout-ms":{2},)"
      R"("goal-ms":600,"priority":{3},"resumable":true,)"
      R"("service":"engines"}})",
      Number, Number % HostCount, Timeout, Number % PriorityCount);
}

/// \returns a configuration of \p Count routes, the first of which has the
/// number \p First.
std::string configurationText(std::size_t Version, std::size_t First,
                              std::size_t Count, Variety Rules) {
  std::string Text = fmt::format(
      R"({{"version":{},"services":[{{"name":"engines"}}],"routes":[)",
      Version);
  for (std::size_t Number = First; Number < First + Count; ++Number) {
    if (Number > First)
      Text += ',';
    Text += routeText(Number, Rules);
  }
  Text += "]}";
  return Text;
}

double processorMs() {
  timespec Now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) * 1e3 +
         static_cast<double>(Now.tv_nsec) / 1e6;
}

/// Bytes that are allocated, and bytes of the process that are in memory.
struct MemoryUse {
  double Allocated_ = 0;
  double Resident_ = 0;
};

MemoryUse memoryUse() {
  auto Heap = mallinfo2();
  return {static_cast<double>(Heap.uordblks + Heap.hblkhd),
          static_cast<double>(processMemoryBytes())};
}

/// Makes mostProcessMemoryBytes() count from now on.
void forgetMostMemory() { std::ofstream("/proc/self/clear_refs") << "5"; }

class Measurement {
public:
  Measurement(std::size_t Count, Variety Rules)
      : Count_(Count), Rules_(Rules) {}

  void run() {
    Before_ = memoryUse();
    double First = readNext(0);
    print("first", First);
    for (std::size_t New : {std::size_t(0), std::size_t(1), std::size_t(1400)})
      print(fmt::format("{} new", New), medianTime(New));
    readCut();
  }

private:
  static constexpr int Rounds = 7;

  std::string nextText(std::size_t New) {
    First_ += New;
    return configurationText(++Version_, First_, Count_, Rules_);
  }

  /// Reads the next version while the one before is still in use. \returns the
  /// processor time in milliseconds.
  double readNext(std::size_t New) {
    std::string Text = nextText(New);
    forgetMostMemory();
    double Start = processorMs();
    auto Read = Reader_.read(Text);
    double Taken = processorMs() - Start;
    if (!Read)
      throw std::runtime_error(Read.error().Detail_);
    Most_ = static_cast<double>(mostProcessMemoryBytes()) -
            static_cast<double>(Text.size());
    Document_ = Read->Document_;
    return Taken;
  }

  double medianTime(std::size_t New) {
    std::vector<double> Times;
    for (int Round = 0; Round < Rounds; ++Round)
      Times.push_back(readNext(New));
    auto Middle = Times.begin() + Rounds / 2;
    std::ranges::nth_element(Times, Middle);
    return *Middle;
  }

  double aRoute(double Bytes) const {
    return Bytes / static_cast<double>(Count_);
  }

  void print(std::string_view What, double Time) const {
    MemoryUse Now = memoryUse();
    fmt::print("{:>7} {:>9} {:>10.0f} {:>10.0f} {:>10.0f} {:>9.1f}\n", Count_,
               What, aRoute(Now.Allocated_ - Before_.Allocated_),
               aRoute(Now.Resident_ - Before_.Resident_),
               aRoute(Most_ - Before_.Resident_), Time);
  }

  /// Reads a text that lacks its last character.
  void readCut() {
    std::string Text = nextText(Count_);
    Text.pop_back();
    forgetMostMemory();
    double Start = processorMs();
    auto Read = Reader_.read(Text);
    double Taken = processorMs() - Start;
    Most_ = static_cast<double>(mostProcessMemoryBytes()) -
            static_cast<double>(Text.size());
    print(Read ? "cut, READ" : "cut", Taken);
  }

  std::size_t Count_;
  Variety Rules_;
  std::size_t Version_ = 0;
  std::size_t First_ = 0;
  MemoryUse Before_;
  double Most_ = 0;
  platform::ConfigurationReader Reader_;
  std::shared_ptr<const Document> Document_;
};

/// Runs \p Measure in a process of its own, whose heap nothing has used yet.
template <class Measuring> void inOwnProcess(Measuring Measure) {
  std::fflush(stdout);
  pid_t Child = fork();
  if (Child == 0) {
    Measure();
    std::fflush(stdout);
    _exit(0);
  }
  int Status = 0;
  waitpid(Child, &Status, 0);
  if (Status != 0)
    fmt::print("ended with status {}\n", Status);
}

void printTextSizes(std::size_t Count, Variety Rules) {
  std::string Text = configurationText(1, 0, Count, Rules);
  std::size_t Packed = packText(Text, {}).value_or("").size();
  fmt::print("{:>7} text {} bytes a route, packed {:.1f}\n", Count,
             Text.size() / Count,
             static_cast<double>(Packed) / static_cast<double>(Count));
}

void measure(const std::vector<std::size_t> &Counts, Variety Rules) {
  fmt::print("routes with {}:\n", Rules == Variety::FewRules
                                      ? "few different rules"
                                      : "a rule each");
  for (std::size_t Count : Counts)
    inOwnProcess([=] { printTextSizes(Count, Rules); });
  fmt::print(" routes   version  allocated   resident       most  cpu ms\n"
             "                   bytes a route, without the text\n");
  for (std::size_t Count : Counts)
    inOwnProcess([=] { Measurement(Count, Rules).run(); });
}

std::size_t countOf(std::string_view Argument) {
  std::size_t Count = 0;
  std::from_chars(Argument.begin(), Argument.end(), Count);
  return std::max<std::size_t>(Count, 1);
}

} // namespace

int main(int Count, char **Arguments) {
  spdlog::set_level(spdlog::level::off);
  returnLargeBlocks(); // As daemons do.
  std::vector<std::size_t> Counts;
  std::transform(Arguments + 1, Arguments + Count, std::back_inserter(Counts),
                 countOf);
  if (Counts.empty())
    Counts = {4200, 30800, 100000};
  measure(Counts, Variety::FewRules);
  measure(Counts, Variety::OwnRules);
  return 0;
}
