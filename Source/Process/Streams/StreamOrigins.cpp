#include "Process/Streams/StreamOrigins.h"

#include "Common/Hash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphireshunt {

StreamKey streamKey(const CustomerName &Customer, std::string_view CallId) {
  // The length separates the two, so that no two pairs have the same text.
  std::string Text = std::to_string(Customer.str().size()) + ':' +
                     Customer.str() + std::string(CallId);
  constexpr std::uint64_t SecondSeed = 1;
  return {stableHash(Text), stableHash(Text, SecondSeed)};
}

std::vector<VmId> recordKeepers(const StreamKey &Key,
                                const std::vector<VmId> &Members,
                                std::size_t Count) {
  std::vector<std::pair<std::uint64_t, const VmId *>> Weighted;
  std::ranges::transform(
      Members, std::back_inserter(Weighted), [&](const VmId &Id) {
        return std::pair(stableHash(Id.str(), Key.Low_), &Id);
      });
  auto Last = Weighted.begin() +
              static_cast<std::ptrdiff_t>(std::min(Count, Weighted.size()));
  std::ranges::partial_sort(Weighted, Last, std::greater(),
                            [](const auto &Item) { return Item.first; });
  std::vector<VmId> Keepers;
  std::transform(Weighted.begin(), Last, std::back_inserter(Keepers),
                 [](const auto &Item) { return *Item.second; });
  return Keepers;
}

void StreamOrigins::add(const StreamKey &Key, const StreamOrigin &Origin,
                        TimePoint Until, TimePoint Now) {
  while (!ByEnd_.empty() && ByEnd_.begin()->first <= Now)
    dropFirst();
  auto [Found, New] = Records_.try_emplace(Key, Record{Origin, Until});
  Record &Known = Found->second;
  if (!New) {
    ByEnd_.erase({Known.Until_, Key});
    Known.Until_ = std::max(Known.Until_, Until);
    if (Known.Origin_ != Origin)
      Known.Origin_.reset();
  }
  ByEnd_.emplace(Known.Until_, Key);
  if (Records_.size() > MaxRecords)
    dropFirst();
}

void StreamOrigins::dropFirst() {
  Records_.erase(ByEnd_.begin()->second);
  ByEnd_.erase(ByEnd_.begin());
}

std::optional<StreamOrigin> StreamOrigins::find(const StreamKey &Key,
                                                TimePoint Now) const {
  auto Found = Records_.find(Key);
  if (Found == Records_.end() || Found->second.Until_ <= Now)
    return std::nullopt;
  return Found->second.Origin_;
}

} // namespace samphireshunt
