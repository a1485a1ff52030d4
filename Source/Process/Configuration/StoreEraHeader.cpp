#include "Process/Configuration/StoreEraHeader.h"

#include <charconv>

namespace samphireshunt {

Result<StoreEra> storeEraOf(const HttpFields &Fields, const std::string &Name) {
  auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return StoreEra();
  if (Fields.count(Name) > 1)
    return Failure{ResultCode::BadStoreEra, "more than one field"};
  const std::string &Text = Found->second;
  const char *End = Text.data() + Text.size();
  std::uint64_t Number = 0;
  auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return Failure{ResultCode::BadStoreEra,
                   "'" + Text + "' is not an unsigned 64-bit integer"};
  return StoreEra(Number);
}

bool spansEras(const StorePosition &Expected, StoreEra Answered) {
  return Expected.Revision_ != Revision() && Expected.Era_ != Answered;
}

} // namespace samphireshunt
