#pragma once
/// \file
/// Read-copy-update of one immutable value: readers take no lock and never
/// wait for a writer.

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
    Pointer Copy = *rcu_dereference(Current_);
    urcu_bp_read_unlock();
    return Copy;
  }

  /// Replaces the value. One writer at a time. Waits until no reader can
  /// still be copying the old pointer; freed earlier, that copy would read
  /// freed memory.
  void write(Pointer Next) {
    auto *Fresh = new Pointer(std::move(Next));
    Pointer *Old = rcu_xchg_pointer(&Current_, Fresh);
    urcu_bp_synchronize_rcu();
    delete Old;
  }

private:
  Pointer *Current_;
};

} // namespace samphireshunt
