#pragma once
/// \file
/// Values that operators and engines write to the platform's store, for tests.

#include "Version/DocumentStore.h"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace samphireshunt::tests {

inline const ServiceName Service("platform");
inline const PoolName ThePool("s");

inline std::string route(std::size_t Index) {
  return fmt::format(R"({{"name":"r-{0}","hostname":"h{0}.example",
                         "prefix":"/p{0}/","kind":"safe","service":"s"}})",
                     Index);
}

/// A configuration with \p Routes routes.
inline std::string configuration(int Version, std::size_t Routes = 0) {
  std::vector<std::string> All;
  for (std::size_t Index = 0; Index < Routes; ++Index)
    All.push_back(route(Index));
  return fmt::format(R"({{"version":{},"routes":[{}],
                         "services":[{{"name":"s"}}],"limits":{{}}}})",
                     Version, fmt::join(All, ","));
}

/// The directory entry of an engine of the service "s"; \p Port distinguishes
/// several engines.
inline std::string serverEntry(const std::string &State, int Port = 80) {
  return fmt::format(R"({{"service":"s","address":"10.0.0.1:{}","zone":"z",
                         "state":"{}","batch-size":2,"version":"v1",
                         "warmup-left-ms":0,"sequence":1}})",
                     Port, State);
}

inline bool isActive(const DocumentStore &Documents, const std::string &Name) {
  return Documents.snapshot()->activeServer(Service, ThePool,
                                            ServerName(Name)) != nullptr;
}

} // namespace samphireshunt::tests
