#include "Process/Configuration/DepartedServers.h"

namespace samphireshunt {

void DepartedServers::markDeparted(const std::string &Name, Departure Known) {
  if (Departures_.size() >= MaxDepartures)
    Departures_.clear();
  Departures_[Name] = Known;
}

Admission DepartedServers::admits(const std::string &Name,
                                  const Candidate &Entry,
                                  const std::optional<EraStart> &Era) const {
  auto Found = Departures_.find(Name);
  if (Found == Departures_.end())
    return Admission::Admitted;
  const Departure &Known = Found->second;
  if (Entry.Incarnation_ > Known.Incarnation_)
    return Admission::Admitted;
  bool SameEra = Entry.Written_.Era_ == Known.Written_.Era_;
  if (SameEra && Entry.FromService_)
    return Admission::Admitted;
  // An era that only a daemon reported, and that proved wrong, can't be
  // compared with any other.
  bool WrongEra = Era && Known.Written_.Era_ > Era->First_.Era_;
  if (WrongEra)
    return Admission::Unconfirmed;
  if (Entry.Written_ <= Known.Written_)
    return Admission::Refused;
  bool Later = SameEra || (Era && Era->surelyContains(Entry.Written_));
  return Later ? Admission::Admitted : Admission::Unconfirmed;
}

} // namespace samphireshunt
