#pragma once
/// \file
/// Strong types for ids and quantities. Ids of different kinds don't convert
/// into one another, so that a server's name can't be passed for a customer's.

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace samphireshunt {

/// A text id of one kind. \p Tag is never defined and only distinguishes the
/// kinds.
template <class Tag> class TextId {
public:
  TextId() = default;
  explicit TextId(std::string Text) : Text_(std::move(Text)) {}
  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }
  // NOLINTNEXTLINE: the warning is about compiler-generated code.
  auto operator<=>(const TextId &) const = default;

private:
  std::string Text_;
};

/// A number with a unit or kind of its own.
template <class Tag, class Value = std::uint64_t> class Quantity {
public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(Value Count) : Count_(Count) {}
  constexpr Value count() const { return Count_; }
  // NOLINTNEXTLINE: as above.
  constexpr auto operator<=>(const Quantity &) const = default;
  constexpr Quantity &operator+=(Quantity Other) {
    Count_ += Other.Count_;
    return *this;
  }
  constexpr Quantity &operator-=(Quantity Other) {
    Count_ -= Other.Count_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity Left, Quantity Right) {
    return Quantity(Left.Count_ + Right.Count_);
  }
  friend constexpr Quantity operator-(Quantity Left, Quantity Right) {
    return Quantity(Left.Count_ - Right.Count_);
  }

private:
  Value Count_{};
};

using VmId = TextId<struct VmTag>;
using DataCenterName = TextId<struct DataCenterTag>;
using ServiceName = TextId<struct ServiceTag>;
using CustomerName = TextId<struct CustomerTag>;
using PoolName = TextId<struct PoolTag>;
using ServerName = TextId<struct ServerTag>;
/// The version of a backend server's software.
using SoftwareVersion = TextId<struct SoftwareVersionTag>;

/// Tokens of a prompt or an answer.
using Tokens = Quantity<struct TokensTag, std::int64_t>;
/// The version of a document. It starts at 1 and only increases.
using DocumentVersion = Quantity<struct DocumentVersionTag>;
/// Start time of a process in milliseconds since the epoch. Of two processes
/// with the same VmId or ServerName, the one with the higher value is newer. 0
/// is unknown.
using Incarnation = Quantity<struct IncarnationTag>;
/// The number of an ask for a grant among those of one process. It increases; 0
/// is unknown, as in messages of daemons of earlier versions.
using AskNumber = Quantity<struct AskTag>;
/// \returns whether both may be the number of one ask.
constexpr bool mayBeSameAsk(AskNumber Left, AskNumber Right) {
  return Left == AskNumber() || Right == AskNumber() || Left == Right;
}
/// The index of a tier in the document; 0 is the highest tier.
using TierIndex = Quantity<struct TierTag, std::uint32_t>;

/// Identifies one request in the whole fleet by the process that accepted it
/// and a number that this process never reuses.
struct RequestId {
  std::uint64_t Origin_ = 0;
  std::uint64_t Sequence_ = 0;
  // NOLINTNEXTLINE: as above.
  auto operator<=>(const RequestId &) const = default;

  /// \returns the id as 32 hexadecimal digits with a dash in the middle.
  std::string str() const;
  /// Parses the format written by str().
  /// \returns nothing for any other text.
  static std::optional<RequestId> parse(std::string_view Text);
};

} // namespace samphireshunt

template <class Tag> struct std::hash<samphireshunt::TextId<Tag>> {
  std::size_t operator()(const samphireshunt::TextId<Tag> &Id) const noexcept {
    return std::hash<std::string>()(Id.str());
  }
};

template <> struct std::hash<samphireshunt::RequestId> {
  std::size_t operator()(const samphireshunt::RequestId &Id) const noexcept {
    constexpr std::uint64_t GoldenRatio = 0x9E3779B97F4A7C15ULL;
    return Id.Origin_ ^ (Id.Sequence_ * GoldenRatio);
  }
};
