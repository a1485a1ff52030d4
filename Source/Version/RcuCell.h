#pragma once
/// \file
/// Read-copy-update of one immutable value: readers take no lock and never wait
/// for a writer.

#include "Common/ThreadSanitizer.h"

#include <urcu-bp.h>

#include <memory>

namespace samphireshunt {

/// Owns the current value; readers share ownership of the value they read.
template <class Value> class RcuCell {
public:
  using Pointer = std::shared_ptr<const Value>;

  explicit RcuCell(Pointer First) : Current_(new Pointer(std::move(First))) {}
  RcuCell(const RcuCell &) = delete;
  RcuCell &operator=(const RcuCell &) = delete;
  ~RcuCell() { delete Current_; }

  /// \returns the newest value. It stays valid as long as the caller holds the
  /// pointer, so that a request uses the same value from start to end.
  Pointer read() const {
    urcu_bp_read_lock();
    const Pointer *Present = rcu_dereference(Current_);
    tsanAcquire(&Published_);
    Pointer Copy = *Present;
    tsanRelease(&Copied_);
    urcu_bp_read_unlock();
    return Copy;
  }

  /// Replaces the value. Only one thread may write at a time. Blocks until no
  /// reader can still be copying the old pointer, since a reader would
  /// otherwise copy from freed memory.
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
  // see. The marks tell it that writes before the publication of a value happen
  // before its use by readers, and that readers' copies happen before the old
  // value is freed. There are two marks so that the sanitizer doesn't treat
  // readers as ordered among themselves.
  [[no_unique_address]] mutable TsanMark Published_;
  [[no_unique_address]] mutable TsanMark Copied_;
};

} // namespace samphireshunt
