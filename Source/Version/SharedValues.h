#pragma once
/// \file
/// Immutable values that many objects have in common, so that each different
/// value is held once.

#include <memory>
#include <set>
#include <utility>

namespace samphireshunt {

/// A reference to an immutable value. Copies refer to the same object.
template <class Value> class Shared {
public:
  /// Refers to the default value.
  Shared() = default;
  // NOLINTNEXTLINE: a value may be assigned where one is expected.
  Shared(Value Given)
      : Value_(std::make_shared<const Value>(std::move(Given))) {}
  // NOLINTNEXTLINE: as above.
  Shared(std::shared_ptr<const Value> Known) : Value_(std::move(Known)) {}

  const Value &operator*() const { return Value_ ? *Value_ : defaultValue(); }
  const Value *operator->() const { return &**this; }
  // NOLINTNEXTLINE: it reads like the value itself.
  operator const Value &() const { return **this; }

private:
  static const Value &defaultValue() {
    static const Value Default;
    return Default;
  }

  std::shared_ptr<const Value> Value_;
};

/// The different values that were asked for. Not for several threads at once;
/// the values themselves may be released by any thread.
template <class Value> class SharedValues {
public:
  /// \returns the object that is equal to \p Wanted.
  std::shared_ptr<const Value> find(const Value &Wanted) {
    auto Known = Known_.find(Wanted);
    if (Known == Known_.end())
      Known = Known_.insert(std::make_shared<const Value>(Wanted)).first;
    return *Known;
  }

  /// Forgets the values that nobody else holds.
  void dropUnused() {
    std::erase_if(Known_,
                  [](const auto &Known) { return Known.use_count() == 1; });
  }

  std::size_t size() const { return Known_.size(); }

private:
  using Pointer = std::shared_ptr<const Value>;

  struct Less {
    using is_transparent = void;
    bool operator()(const Pointer &Left, const Pointer &Right) const {
      return *Left < *Right;
    }
    bool operator()(const Pointer &Left, const Value &Right) const {
      return *Left < Right;
    }
    bool operator()(const Value &Left, const Pointer &Right) const {
      return Left < *Right;
    }
  };

  std::set<Pointer, Less> Known_;
};

} // namespace samphireshunt
