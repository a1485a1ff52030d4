#pragma once
/// \file
/// The header field by which the key-value service tells its era. Pure.

#include "Process/Configuration/Platform.h"

namespace samphireshunt {

/// The field of the product's own platform, in lower case.
inline constexpr const char *StoreEraField = "store-era";

/// The era that the field \p Name tells; 0 where it is missing, as of a service
/// that never comes back older. \returns BadStoreEra when it is no whole number
/// of 64 bits.
Result<StoreEra> storeEraOf(const HttpFields &Fields,
                            const std::string &Name = StoreEraField);

/// A write that expects a revision of another era than the one that answered
/// may have met another entry with that number.
bool spansEras(const StorePosition &Expected, StoreEra Answered);

} // namespace samphireshunt
