#include <doctest/doctest.h>
#include <sanitizer/asan_interface.h>

#include <cstddef>

namespace {

/// More calls than the sanitizer has frames of any class in one thread.
constexpr int ManyCalls = 100'000;

const volatile void *LastLocal = nullptr;

template <std::size_t Size> __attribute__((noinline)) void escapeLocal() {
  volatile char Local[Size];
  Local[0] = 0;
  LastLocal = &Local;
}

template <std::size_t Size> bool detectedAfterManyCalls() {
  for (int Call = 0; Call < ManyCalls; ++Call)
    escapeLocal<Size>();
  return __asan_address_is_poisoned(LastLocal) != 0;
}

template <std::size_t Size> __attribute__((noinline)) bool localStaysUsable() {
  volatile char Local[Size];
  Local[0] = 1;
  for (int Call = 0; Call < ManyCalls; ++Call)
    escapeLocal<Size>();
  return __asan_address_is_poisoned(&Local) == 0 && Local[0] == 1;
}

} // namespace

// Uses of a local after its function returned went unnoticed in threads that
// had made more calls than the sanitizer has stack frames.
TEST_CASE(
    "a use after return is detected in a thread that has made many calls") {
  CHECK(detectedAfterManyCalls<16>());
  CHECK(detectedAfterManyCalls<60>());
  CHECK(detectedAfterManyCalls<200>());
  CHECK(detectedAfterManyCalls<400>());
  CHECK(detectedAfterManyCalls<900>());
}

// A frame that is freed while its function runs would be given to another call.
TEST_CASE("the frame of a running function is kept through many calls") {
  CHECK(localStaysUsable<16>());
  CHECK(localStaysUsable<60>());
  CHECK(localStaysUsable<200>());
  CHECK(localStaysUsable<400>());
  CHECK(localStaysUsable<900>());
}
