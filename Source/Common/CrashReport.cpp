#include "Common/CrashReport.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <exception>
#include <execinfo.h>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace samphireshunt {

namespace {

constexpr std::array FatalSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr std::size_t MaxFrames = 48;
/// The handler runs on a stack of its own, since the thread's stack may have
/// overflowed.
constexpr std::size_t HandlerStackBytes = 64 * 1024;
constexpr std::size_t MaxLineBytes = 8 * 1024;
constexpr std::size_t MaxNameBytes = 120;
/// The other threads run meanwhile.
constexpr int MaxWriteWaitMs = 500;

// State of the signal handler, which must not allocate memory.
std::array<char, HandlerStackBytes> HandlerStack;
std::array<char, 64> Vm;
int Output = STDERR_FILENO;

/// Formats one line in a fixed-size buffer; text beyond its end is dropped.
class CrashLine {
public:
  CrashLine &operator<<(std::string_view Text) {
    std::size_t Count = std::min(Text.size(), Bytes_.size() - Size_);
    std::copy_n(Text.begin(), Count, Bytes_.begin() + Size_);
    Size_ += Count;
    return *this;
  }
  CrashLine &number(std::uintptr_t Value, int Base) {
    std::array<char, 24> Digits;
    auto End =
        std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value, Base)
            .ptr;
    return *this << std::string_view(Digits.data(), End);
  }
  /// Appends the code location \p Address: the object file, the offset in it,
  /// which is independent of the load address, and the name of the function if
  /// it has one.
  CrashLine &place(void *Address) {
    Dl_info Info{};
    if (!dladdr(Address, &Info) || !Info.dli_fname)
      return (*this << "0x").number(address(Address), 16);
    std::string_view File(Info.dli_fname);
    *this << File.substr(File.rfind('/') + 1) << "+0x";
    number(address(Address) - address(Info.dli_fbase), 16);
    if (Info.dli_sname)
      *this << " " << std::string_view(Info.dli_sname).substr(0, MaxNameBytes);
    return *this;
  }
  void write() {
    *this << "\n";
    std::size_t Written = 0;
    while (Written < Size_) {
      ssize_t Count = ::write(Output, Bytes_.data() + Written, Size_ - Written);
      if (Count > 0)
        Written += static_cast<std::size_t>(Count);
      else if (Count == 0 || !mayRetry(errno))
        return;
    }
  }

private:
  /// Waits until the descriptor, which the log makes non-blocking, accepts
  /// more.
  static bool mayRetry(int Error) {
    if (Error != EAGAIN)
      return Error == EINTR;
    pollfd Full{Output, POLLOUT, 0};
    return ::poll(&Full, 1, MaxWriteWaitMs) > 0;
  }
  static std::uintptr_t address(const void *Pointer) {
    return reinterpret_cast<std::uintptr_t>(Pointer);
  }

  std::array<char, MaxLineBytes> Bytes_;
  std::size_t Size_ = 0;
};

void beginLine(CrashLine &Line, std::string_view Event) {
  Line << R"({"level":"critical","vm":")" << std::string_view(Vm.data())
       << R"(","category":"process","event":")" << Event << R"(")";
}

/// Completes the line with the stack of the caller, and writes it.
void writeWithStack(CrashLine &Line) {
  std::array<void *, MaxFrames> Frames;
  int Count = backtrace(Frames.data(), static_cast<int>(Frames.size()));
  Line << R"(,"stack":[)";
  for (int Index = 0; Index < Count; ++Index) {
    Line << (Index > 0 ? ",\"" : "\"");
    Line.place(Frames[static_cast<std::size_t>(Index)]) << "\"";
  }
  Line << "]}";
  Line.write();
}

/// Handles a fatal signal. Uses only functions that work when the heap or a
/// lock is corrupted. A second fault in here ends the process immediately,
/// because the action of the signal has been reset.
void onFatalSignal(int Number, siginfo_t *Cause, void *) {
  CrashLine Line;
  beginLine(Line, "ended-by-signal");
  Line << R"(,"signal":")";
  Line.number(static_cast<std::uintptr_t>(Number), 10) << R"(","address":"0x)";
  Line.number(reinterpret_cast<std::uintptr_t>(Cause->si_addr), 16) << R"(")";
  writeWithStack(Line);
  // End the process by the same signal as without this handler.
  std::raise(Number);
}

/// \returns \p Text with control characters, quotes and backslashes replaced by
/// spaces, so that it can be written into a JSON string.
std::string jsonSafeText(std::string_view Text) {
  std::string Safe(Text);
  std::ranges::replace_if(
      Safe, [](unsigned char C) { return C < ' ' || C == '"' || C == '\\'; },
      ' ');
  return Safe;
}

std::string describeCurrentException() {
  if (!std::current_exception())
    return "no exception";
  try {
    std::rethrow_exception(std::current_exception());
  } catch (const std::exception &Error) {
    return jsonSafeText(Error.what());
  } catch (...) {
    return "exception of unknown type";
  }
}

/// Handles an uncaught exception, which aborts the process. Some systems don't
/// run a handler of SIGABRT; here the stack is still the one that threw.
[[noreturn]] void onTerminate() {
  CrashLine Line;
  beginLine(Line, "ended-by-exception");
  Line << R"(,"detail":")" << describeCurrentException() << R"(")";
  writeWithStack(Line);
  // The handler of SIGABRT would write a second line.
  std::signal(SIGABRT, SIG_DFL);
  std::abort();
}

} // namespace

void reportCrashes(std::string_view Origin, int Descriptor) {
  std::size_t Count = std::min(Origin.size(), Vm.size() - 1);
  std::copy_n(Origin.begin(), Count, Vm.begin());
  Output = Descriptor;
  // The first call of backtrace() loads a library, which allocates memory.
  std::array<void *, 1> Unused;
  backtrace(Unused.data(), 1);
  stack_t Stack{};
  Stack.ss_sp = HandlerStack.data();
  Stack.ss_size = HandlerStack.size();
  sigaltstack(&Stack, nullptr);
  struct sigaction Action {};
  Action.sa_sigaction = onFatalSignal;
  Action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND | SA_NODEFER;
  sigemptyset(&Action.sa_mask);
  for (int Number : FatalSignals)
    sigaction(Number, &Action, nullptr);
  std::set_terminate(onTerminate);
}

} // namespace samphireshunt
