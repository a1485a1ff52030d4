#include "Common/CrashReport.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <exception>
#include <execinfo.h>
#include <string>
#include <unistd.h>

namespace samphireshunt {

namespace {

constexpr std::array FatalSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr std::size_t MostFrames = 48;
/// The handler's own stack: one that overflowed can't be used.
constexpr std::size_t HandlerStackBytes = 64 * 1024;
constexpr std::size_t MostLineBytes = 8 * 1024;
constexpr std::size_t MostNameBytes = 120;

// What the handler reads and writes: it may allocate nothing.
std::array<char, HandlerStackBytes> HandlerStack;
std::array<char, 64> Vm;
int Output = STDERR_FILENO;

/// Builds one line in a buffer of its own.
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
  /// The code at \p Address: its file, its place there, which stays the same
  /// wherever the file is loaded, and its function where that has a name.
  CrashLine &place(void *Address) {
    Dl_info Known{};
    if (!dladdr(Address, &Known) || !Known.dli_fname)
      return (*this << "0x").number(address(Address), 16);
    std::string_view File(Known.dli_fname);
    *this << File.substr(File.rfind('/') + 1) << "+0x";
    number(address(Address) - address(Known.dli_fbase), 16);
    if (Known.dli_sname)
      *this << " "
            << std::string_view(Known.dli_sname).substr(0, MostNameBytes);
    return *this;
  }
  void write() {
    *this << "\n";
    std::size_t Written = 0;
    while (Written < Size_) {
      ssize_t Count = ::write(Output, Bytes_.data() + Written, Size_ - Written);
      if (Count <= 0)
        return;
      Written += static_cast<std::size_t>(Count);
    }
  }

private:
  static std::uintptr_t address(const void *Pointer) {
    return reinterpret_cast<std::uintptr_t>(Pointer);
  }

  std::array<char, MostLineBytes> Bytes_;
  std::size_t Size_ = 0;
};

void beginLine(CrashLine &Line, std::string_view Event) {
  Line << R"({"level":"critical","vm":")" << std::string_view(Vm.data())
       << R"(","category":"process","event":")" << Event << R"(")";
}

/// Ends the line with the stack of who calls.
void writeWithStack(CrashLine &Line) {
  std::array<void *, MostFrames> Frames;
  int Count = backtrace(Frames.data(), static_cast<int>(Frames.size()));
  Line << R"(,"stack":[)";
  for (int Index = 0; Index < Count; ++Index) {
    Line << (Index > 0 ? ",\"" : "\"");
    Line.place(Frames[static_cast<std::size_t>(Index)]) << "\"";
  }
  Line << "]}";
  Line.write();
}

/// Uses only what may be called when the heap or a lock is broken. A second
/// fault, in here, ends the process at once: the signal's action was reset.
void onFatalSignal(int Number, siginfo_t *Cause, void *) {
  CrashLine Line;
  beginLine(Line, "ended-by-signal");
  Line << R"(,"signal":")";
  Line.number(static_cast<std::uintptr_t>(Number), 10) << R"(","address":"0x)";
  Line.number(reinterpret_cast<std::uintptr_t>(Cause->si_addr), 16) << R"(")";
  writeWithStack(Line);
  // The process ends by the signal, as it would have without this.
  std::raise(Number);
}

/// What \p Text says, fit for a line of JSON.
std::string plain(std::string_view Text) {
  std::string Plain(Text);
  std::ranges::replace_if(
      Plain, [](unsigned char C) { return C < ' ' || C == '"' || C == '\\'; },
      ' ');
  return Plain;
}

std::string describeCurrentException() {
  if (!std::current_exception())
    return "no exception";
  try {
    std::rethrow_exception(std::current_exception());
  } catch (const std::exception &Error) {
    return plain(Error.what());
  } catch (...) {
    return "of a type without a text";
  }
}

/// An exception that nobody catches aborts the process. Not all systems let a
/// handler of that signal run; here the stack is still the one that threw.
[[noreturn]] void onTerminate() {
  CrashLine Line;
  beginLine(Line, "ended-by-exception");
  Line << R"(,"detail":")" << describeCurrentException() << R"(")";
  writeWithStack(Line);
  // One line is enough.
  std::signal(SIGABRT, SIG_DFL);
  std::abort();
}

} // namespace

void reportCrashes(std::string_view Origin, int Descriptor) {
  std::size_t Count = std::min(Origin.size(), Vm.size() - 1);
  std::copy_n(Origin.begin(), Count, Vm.begin());
  Output = Descriptor;
  // The first call loads a library, which allocates.
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
