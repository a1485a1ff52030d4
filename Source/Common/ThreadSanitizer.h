#pragma once
/// \file
/// Annotates a happens-before relation that the thread sanitizer can't detect.
/// Without the sanitizer, these functions do nothing.

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace samphireshunt {

#ifdef __SANITIZE_THREAD__

/// An object whose address identifies one happens-before relation.
struct TsanMark {
  char Byte_ = 0;
};
/// Everything this thread did before happens before whatever follows a
/// tsanAcquire() of the same mark.
inline void tsanRelease(TsanMark *Mark) { __tsan_release(Mark); }
inline void tsanAcquire(TsanMark *Mark) { __tsan_acquire(Mark); }

#else

struct TsanMark {};
inline void tsanRelease(TsanMark *) {}
inline void tsanAcquire(TsanMark *) {}

#endif

} // namespace samphireshunt
