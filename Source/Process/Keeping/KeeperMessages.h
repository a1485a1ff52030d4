#pragma once
/// \file
/// Conversions between the messages of ingress daemons and keepers and their
/// typed values.

#include "Connection/PeerMessage.h"
#include "Process/Keeping/Cell.h"
#include "Process/Scheduling/Scheduler.h"

#include <string>

namespace samphireshunt {

// From an ingress daemon to a keeper.
std::string encodeAsk(const CellId &Cell, const GrantRequest &Request);
std::string encodeWithdraw(const CellId &Cell, const RequestId &Id,
                           AskNumber Ask);
std::string encodeNotSuspended(const CellId &Cell, const RequestId &Id);
std::string encodeRunning(const CellId &Cell, const RunningRequest &Request);
std::string encodeFirstToken(const CellId &Cell, const RequestId &Id,
                             const FirstTokenSample &Sample);
std::string encodeDone(const CellId &Cell, const RequestId &Id,
                       const ServedSample &Sample, AskNumber Ask);
/// \p Id is the answered request; unset in a report to a new keeper.
std::string encodeServerLimit(const CellId &Cell, const ServerName &Server,
                              const RequestId &Id,
                              const std::optional<RequestRate> &Named);
/// A notice with the server that it is about.
struct ServerStatement {
  CellId Cell_;
  ServerName Server_;
  Incarnation Process_;
  /// The answered request; unset in a report to a new keeper.
  RequestId Id_;
  ServerNotice Notice_;
  /// The daemon that read it. Not sent: the receiver knows the sender.
  VmId Ingress_;
};
/// \p Relayed: the receiver relayed the answer.
std::string encodeStatement(const ServerStatement &Said, bool Relayed);
GrantRequest askFromWire(const wire::AskT &Ask, const VmId &From);
RunningRequest runningFromWire(const wire::RunningT &Running, const VmId &From);
/// \returns nothing if the server names no rate.
std::optional<RequestRate> rateFromWire(const wire::ServerLimitT &Limit);
/// \returns nothing for a kind of notice that this daemon does not know.
std::optional<ServerStatement>
statementFromWire(const wire::ServerNoticeT &Notice);
ServedSample sampleFromWire(const wire::DoneT &Done);
FirstTokenSample sampleFromWire(const wire::FirstTokenT &First);

// From a keeper to an ingress daemon.
std::string encodeDecision(const Decision &Made);
GrantDecision grantFromWire(const wire::GrantT &Grant);
RefuseDecision refusalFromWire(const wire::RefuseT &Refusal);
CancelDecision cancelFromWire(const wire::CancelT &Cancel);
SuspendDecision suspendFromWire(const wire::SuspendT &Suspend);

} // namespace samphireshunt
