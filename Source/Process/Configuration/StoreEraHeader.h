#pragma once
/// \file
/// The header field in which the key-value service states its era. Pure.

#include "Process/Configuration/Platform.h"

namespace samphireshunt {

/// The field name of the product's own platform, in lower case.
inline constexpr const char *StoreEraField = "store-era";

/// The era stated in the field \p Name. 0 if the field is missing, as for a
/// service that is never restored from a backup.
/// \returns BadStoreEra if it is not an unsigned 64-bit integer.
Result<StoreEra> storeEraOf(const HttpFields &Fields,
                            const std::string &Name = StoreEraField);

/// True if a write expected a revision of another era than the one that
/// answered: the same number may then belong to another entry.
bool spansEras(const StorePosition &Expected, StoreEra Answered);

} // namespace samphireshunt
