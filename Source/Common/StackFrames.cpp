/// \file
/// Returns stack frames to the address sanitizer in builds by GCC before 13.
///
/// With detect_stack_use_after_return the sanitizer allocates each frame on a
/// heap of the thread and poisons it at return. GCC before 13 marks small
/// frames as retired there but never frees them: once a thread has used all of
/// them, nothing is detected any more, and each call searches the whole heap in
/// vain.
///
/// The linker puts these functions in front of the sanitizer's (--wrap). They
/// keep the latest frames of each thread and free the retired ones, oldest
/// first.

#include <array>
#include <cstddef>
#include <cstdint>

namespace {

/// The sanitizer's size classes that GCC may retire without freeing: class N
/// holds frames of up to 64 << N bytes.
constexpr std::size_t Classes = 5;
/// Half of the frames of class 0 in a heap of 1 MB for each class. A class with
/// frames twice as large has half as many.
constexpr std::size_t KeptFrames = 8192;
/// First word of a frame whose function has returned (kRetiredStackFrameMagic).
constexpr std::uintptr_t RetiredMagic = 0x45E0360E;
/// Frames of running functions to pass over before one is left to the
/// sanitizer.
constexpr std::size_t MaxPassedOver = 4;

using FreeFrame = void (*)(std::uintptr_t Frame, std::size_t Size);

/// The latest frames of one class in one thread. Without a constructor, as it
/// is used before those of any other object have run.
struct LatestFrames {
  std::array<std::uintptr_t, KeptFrames> Frames_;
  std::size_t Next_;
};
thread_local std::array<LatestFrames, Classes> Latest;

__attribute__((no_sanitize_address)) bool isRunning(std::uintptr_t Frame) {
  return Frame != 0 &&
         *reinterpret_cast<const std::uintptr_t *>(Frame) != RetiredMagic;
}

__attribute__((no_sanitize_address)) void keep(std::size_t Class,
                                               std::uintptr_t Frame,
                                               std::size_t Size,
                                               FreeFrame Free) {
  if (Frame == 0)
    return;
  LatestFrames &Kept = Latest[Class];
  for (std::size_t Passed = 0; Passed < MaxPassedOver; ++Passed) {
    std::uintptr_t &Slot = Kept.Frames_[Kept.Next_++ % (KeptFrames >> Class)];
    if (isRunning(Slot))
      continue;
    if (Slot != 0)
      Free(Slot, Size);
    Slot = Frame;
    return;
  }
}

} // namespace

// NOLINTBEGIN(readability-identifier-naming): names that the linker expects.
#define KEEP_FRAMES_OF_CLASS(N)                                                \
  extern "C" std::uintptr_t __real___asan_stack_malloc_##N(std::size_t Size);  \
  extern "C" void __asan_stack_free_##N(std::uintptr_t Frame,                  \
                                        std::size_t Size);                     \
  extern "C" __attribute__((no_sanitize_address))                              \
  std::uintptr_t __wrap___asan_stack_malloc_##N(std::size_t Size) {            \
    const std::uintptr_t Frame = __real___asan_stack_malloc_##N(Size);         \
    keep(N, Frame, Size, __asan_stack_free_##N);                               \
    return Frame;                                                              \
  }

KEEP_FRAMES_OF_CLASS(0)
KEEP_FRAMES_OF_CLASS(1)
KEEP_FRAMES_OF_CLASS(2)
KEEP_FRAMES_OF_CLASS(3)
KEEP_FRAMES_OF_CLASS(4)
// NOLINTEND(readability-identifier-naming)
