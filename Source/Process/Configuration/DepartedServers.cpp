#include "Process/Configuration/DepartedServers.h"

namespace samphireshunt {

void DepartedServers::left(const std::string &Name, Departure Known) {
  if (Departures_.size() >= MostDepartures)
    Departures_.clear();
  Departures_[Name] = Known;
}

bool DepartedServers::admits(const std::string &Name, const Candidate &Entry,
                             const std::optional<EraStart> &Era,
                             BootTime Now) const {
  auto Found = Departures_.find(Name);
  if (Found == Departures_.end())
    return true;
  const Departure &Known = Found->second;
  if (Entry.Incarnation_ > Known.Incarnation_)
    return true;
  if (Entry.Written_.Era_ == Known.Written_.Era_)
    return Entry.FromService_ || Entry.Written_ > Known.Written_;
  if (Entry.Written_.Era_ < Known.Written_.Era_ || !Era)
    return false;
  return Era->knownAsWritten(Entry.Written_) || Now >= lapsesAt(*Era);
}

} // namespace samphireshunt
