#pragma once
/// \file
/// The messages between entries and keepers, to and from their typed values.

#include "Connection/PeerMessage.h"
#include "Process/Keeping/Cell.h"
#include "Process/Scheduling/Scheduler.h"

#include <string>

namespace samphireshunt {

// From an entry to a keeper.
std::string encodeAsk(const CellId &Cell, const AskedRequest &Request);
std::string encodeWithdraw(const CellId &Cell, const RequestId &Id);
std::string encodeRunning(const CellId &Cell, const RunningRequest &Request);
std::string encodeFirstToken(const CellId &Cell, const RequestId &Id,
                             std::chrono::microseconds Delay);
std::string encodeDone(const CellId &Cell, const RequestId &Id,
                       const ServedSample &Seen);
AskedRequest askFromWire(const wire::AskT &Ask, const VmId &From);
RunningRequest runningFromWire(const wire::RunningT &Running, const VmId &From);
ServedSample sampleFromWire(const wire::DoneT &Done);

// From a keeper to an entry.
std::string encodeDecision(const Decision &Taken);

} // namespace samphireshunt
