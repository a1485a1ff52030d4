#pragma once
/// \file
/// Tells the thread sanitizer of an order that it can't see by itself. Without
/// the sanitizer all of it is nothing.

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace samphireshunt {

#ifdef __SANITIZE_THREAD__

/// A place whose address names one order.
struct TsanMark {
  char Place_ = 0;
};
/// What this thread did so far happens before what follows a tsanAcquire() of
/// the same mark.
inline void tsanRelease(TsanMark *Mark) { __tsan_release(Mark); }
inline void tsanAcquire(TsanMark *Mark) { __tsan_acquire(Mark); }

#else

struct TsanMark {};
inline void tsanRelease(TsanMark *) {}
inline void tsanAcquire(TsanMark *) {}

#endif

} // namespace samphireshunt
