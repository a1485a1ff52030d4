#pragma once
/// \file
/// Read-copy-update of one immutable value: readers take no lock and never
/// wait for a writer.

#include "Common/ThreadSanitizer.h"

#include <urcu-bp.h>

#include <memory>

namespace samphireshunt {

template <class Value> class RcuCell {
public:
  using Pointer = std::shared_ptr<const Value>;

  explicit RcuCell(Pointer First) : Current_(new Pointer(std::move(First))) {}
  RcuCell(const RcuCell &) = delete;
  RcuCell &operator=(const RcuCell &) = delete;
  ~RcuCell() { delete Current_; }

  /// The newest value; it stays alive as long as the caller holds it, so a
  /// request keeps the one that it began with.
  Pointer read() const {
    urcu_bp_read_lock();
    const Pointer *Present = rcu_dereference(Current_);
    tsanAcquire(&Published_);
    Pointer Copy = *Present;
    tsanRelease(&Copied_);
    urcu_bp_read_unlock();
    return Copy;
  }

  /// Replaces the value. One writer at a time. Waits until no reader can
  /// still be copying the old pointer; freed earlier, that copy would read
  /// freed memory.
  void write(Pointer Next) {
    auto *Fresh = new Pointer(std::move(Next));
    tsanRelease(&Published_);
    Pointer *Old = rcu_xchg_pointer(&Current_, Fresh);
    urcu_bp_synchronize_rcu();
    tsanAcquire(&Copied_);
    delete Old;
  }

private:
  Pointer *Current_;
  // The library's barriers are in assembly, which the thread sanitizer doesn't
  // see: what is written before a value is published happens before its
  // readers' use, and their copies before the old value is freed. Two marks, so
  // that readers are not taken for ordered among themselves.
  [[no_unique_address]] mutable TsanMark Published_;
  [[no_unique_address]] mutable TsanMark Copied_;
};

} // namespace samphireshunt
