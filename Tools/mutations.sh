#!/usr/bin/env bash
# Shows that the failure tests can fail: disables one mechanism at a time in a copy
# of the tree, and expects the named test case to fail there.
#   [JOBS=N] Tools/mutations.sh [NAMES], e.g. 'era-*'
#   Tools/mutations.sh --check   only checks that all expressions match
set -uo pipefail
{ # The shell reads this block completely first, so the file may be edited during a run.
cd "$(dirname "$0")/.."
Copy=$(mktemp -d)
trap 'rm -rf "$Copy"' EXIT
git ls-files -co --exclude-standard | tar -cf - -T - | tar -xf - -C "$Copy"
cd "$Copy"
Only=${1:-}
Check=""
[ "$Only" != --check ] || { Check=yes; Only=""; }
Missed=0

build() {
  ninja -j "${JOBS:-$(nproc)}" -C build "$@" >build.log 2>&1 || { tail -20 build.log; return 1; }
}

# edit FILE PERL_EXPRESSION: edits a file; fails if nothing changes.
edit() {
  cp "$1" "saved.$(basename "$1")"
  perl -0pi -e "$2" "$1"
  ! cmp -s "saved.$(basename "$1")" "$1"
}

# mutate NAME FILE PERL_EXPRESSION TEST_PROGRAM CASE_PATTERN [FILE EXPRESSION]:
# applies a mutation, builds what it needs and expects the test case to fail.
mutate() {
  # shellcheck disable=SC2053
  [ -z "$Only" ] || [[ "$1" == $Only ]] || return 0
  if ! edit "$2" "$3" || { [ $# -gt 5 ] && ! edit "$6" "$7"; }; then
    echo "$1: STALE, an expression matches nothing"
    Missed=1
    restore "$2" "${6:-}"
    return
  fi
  if [ -n "$Check" ]; then
    restore "$2" "${6:-}"
    return
  fi
  local Daemons=(samphireshuntd samphireshuntctl)
  [[ "$4" == FailureTests/* ]] || Daemons=()
  if ! build "${Daemons[@]}" "$(basename "$4")"; then
    echo "$1: does not build"
    Missed=1
  elif timeout 120 "build/$4" -tc="$5" >run.log 2>&1; then
    echo "$1: MISSED, '$5' passes without it"
    Missed=1
  else
    echo "$1: caught by '$5'"
  fi
  restore "$2" "${6:-}"
}

restore() {
  cp "saved.$(basename "$1")" "$1"
  [ -z "$2" ] || cp "saved.$(basename "$2")" "$2"
}

[ -n "$Check" ] || cmake -G Ninja -B build -DCMAKE_BUILD_TYPE=Release >/dev/null
# With a name given, each mutation builds what it needs; without one, build all.
[ -n "$Only$Check" ] || build all || exit 1

F=FailureTests/FailureTests_
U=UnitTests/UnitTests_
S=Source
mutate keeper-rebind $S/Process/Keeping/GrantClient.cpp \
  's/(void GrantClient::onLinkDown.*?)  rebind\(\);\n  scheduleRebind[^\n]*\n/$1/s; s/(void GrantClient::rebind\(\) \{\n)/$1  return;\n/' \
  ${F}DispatchOnceTest '*keeper that dies*'
mutate prove-not-run $S/Request/ModelCall.cpp \
  's/bool NeverReceived = [^;]*;/bool NeverReceived = false;/' \
  ${F}DispatchOnceTest '*silent connection*'
mutate close-abandoned $S/Request/ApplicationCall.cpp \
  's/(so that no other request receives it\.\n)\s*Ready_\.Connection_->close\(\);/$1    Context_.Services_.Connections_.returnConnection(Ready_.Server_.Address_, std::move(Ready_.Connection_));/' \
  ${F}OwnAnswerTest '*after the deadline*' $S/Connection/BackendConnections.cpp \
  's/Connection->lastReceived\(\) >= OldestProof && Connection->hasNoUnexpectedInput\(\)/true/; s/bool MayKeep = Connection->reusable\(\) &&/bool MayKeep =/'
mutate whole-body $S/Connection/HttpConnection.cpp \
  's/if \(Error && !BufferFull\)\s*co_return readFailure\(Error\);/if (Error && !BufferFull) co_return std::string();/' \
  ${F}OwnAnswerTest '*cut off is not passed*'
mutate resume $S/Request/ModelCall.cpp \
  's/(Awaitable<std::optional<Verdict>> resume\(\) \{\n)/$1    IdleResumes_ = MaxIdleResumes; co_return std::nullopt;\n/' \
  ${F}OwnAnswerTest '*goes silent is resumed*'
mutate broken-end $S/Request/ModelCall.cpp \
  's/if \(!HeadSent_\)\s*co_return co_await answerVerdict/co_return co_await answerComplete();\n    if (!HeadSent_)\n      co_return co_await answerVerdict/' \
  ${F}OwnAnswerTest '*resumed does not look whole*'
mutate event-owner $S/Request/ModelCall.cpp \
  's/if \(Colon == std::string::npos \|\|\s*Event.Id_.substr\(0, Colon\) != Id.str\(\)\)/(void)Id;\n  if (Colon == std::string::npos)/' \
  ${F}OwnAnswerTest '*of another request*'
mutate claim $S/Request/ApplicationCall.cpp \
  's/(Awaitable<std::optional<Verdict>> claimKey\(\) \{\n)/$1    co_return std::nullopt;\n/' \
  ${F}NonIdempotentTest '*all daemons at once*'
mutate claim-read-back $S/Request/ClaimStore.cpp \
  's/(LastError = Written.error\(\).Detail_;\n)/$1    break;\n/' \
  ${F}NonIdempotentTest '*answer was lost is read back*'
mutate no-claim-no-dispatch $S/Request/ApplicationCall.cpp \
  's/if \(!Existing\) \{/if (!Existing) co_return std::nullopt;\n    if (!Existing) {/; s/if \(!Found\) \{/if (!Found) co_return false;\n    if (!Found) {/' \
  ${F}NonIdempotentTest '*Without the platform*,*without the platform*'
mutate claim-release $S/Request/ApplicationCall.cpp \
  's/(Awaitable<void> releaseInBackground\(\) \{\n)/$1    co_return;\n/' \
  ${F}NonIdempotentTest '*is released*'
mutate claimer-alive $S/Request/ApplicationCall.cpp \
  's/Context_\.Services_\.IsProcessAlive_\(\s*Existing\.Vm_,\s*Existing\.Incarnation_\)/true/' \
  ${F}NonIdempotentTest "*first entry's death*"
mutate key-digest $S/Request/ApplicationCall.cpp \
  's/Existing\.BodyDigest_ != bodyDigest\(\)/false/' \
  ${F}NonIdempotentTest '*another body*'
mutate refusal-declared $S/Request/ModelCall.cpp \
  's/Ready_\.Server_\.RefusesBeforeRunning_ &&/true \&\&/' \
  ${F}NonIdempotentTest '*refusal before running*'
mutate preemption $S/Process/Scheduling/Scheduler.h \
  's/bool Preempt_ = true/bool Preempt_ = false/' \
  ${F}TierTest '*long streams*'
mutate floor $S/Process/Scheduling/Scheduler.cpp \
  's/(void Scheduler::handleShed\([^{]*\{\n)/$1  return;\n/' \
  ${F}TierTest '*nothing lower*'
mutate strict-tiers $S/Process/Scheduling/Scheduler.h \
  's/bool StrictTiers_ = true/bool StrictTiers_ = false/' \
  ${F}TierTest '*burst of the lowest*'
mutate leaving-document $S/Version/DocumentStore.cpp \
  's/return !Server\.Leaving_ && /return /' \
  ${F}LeavingTest '*document lets leave*'
mutate leaving-list $S/Version/DocumentStore.cpp \
  's/!LeavingAddresses_\.contains\(Server\.Address_\)/true/' \
  ${F}LeavingTest "*platform's list lets leave*"
mutate version-gossip $S/Process/Configuration/ConfigurationSync.cpp \
  's/if \(Version > Known\)\s*Hooks_\.RequestDocument_\(From, Service\);/(void)Known; (void)From;/' \
  ${F}LeavingTest '*cut off from the platform*'
mutate drain $S/Programs/DaemonLife.cpp \
  's/return CallerServer_->activeExchanges\(\) == 0 &&\s+\(Over \|\|[^;]*;/(void)Quiet;\n  (void)Over;\n  return true;/' \
  ${F}LeavingTest '*graceful stop*'
mutate stop-answers $S/Programs/DaemonLife.cpp 's/    endRequestsAtStop\(\);\n//' \
  ${F}LeavingTest '*answers what waits*'
mutate stop-own-interface $S/Request/CallerService.cpp \
  's/(checkDeadline\(Context\)\)\s+return Refusal;\n)\s+if \(auto Refusal = checkStop\(Context, StopStage::Arrived\)\)\s+return Refusal;\n/$1/' \
  ${U}Request '*own interface*'
mutate stop-granted $S/Request/RequestContext.cpp \
  's/    Refused = checkStop\(Context, BeforeSend\);\n//' \
  ${U}Request '*own interface*'
mutate stop-length $S/Request/StopPolicy.cpp \
  's/return \*Request\.Expected_ <= Rest;/return true;/' \
  ${U}Request '*takes what can end*'
mutate stop-unknown-length $S/Request/StopPolicy.cpp \
  's/return Early && Request\.Kind_ != StopKind::NonIdempotent;/return Early;/' \
  ${U}Request '*risks early*'
mutate look-before-stop $S/Programs/DaemonLife.cpp \
  's/std::vector<asio::io_context \*> Contexts\(FlushIterations.*?flushNextQueue\(std::move\(Contexts\)\);/onEventQueuesFlushed();/s' \
  ${F}LeavingTest '*comes due while*'
mutate version-order $S/Version/DocumentStore.cpp \
  's/Active->Version_ >= Source\.Version_/Active->Version_ == Source.Version_/' \
  ${F}ConfigurationTest '*only go up*'
mutate join-first $S/Process/Configuration/ConfigurationSync.cpp \
  's/bool Joined =[^;]*;/bool Joined = true;\n  (void)Waited;/' \
  ${F}ConfigurationTest '*stale read*'
mutate change-ids $S/Programs/CtlCommands.cpp \
  's/if \(Accepted\)\s*co_return Next\.Version_;/(void)Accepted;/' \
  ${F}ConfigurationTest '*answer was lost*'
mutate expected-version $S/Programs/CtlCommands.cpp \
  's/ExpectedVersion >= 0 && ExpectedVersion != PresentNumber/false/' \
  ${F}ConfigurationTest '*two operators*'
mutate watch-limit $S/Process/Configuration/ConfigurationSync.h \
  's/WatchTime_\{2500\}/WatchTime_{3600000}/' \
  ${F}ConfigurationTest '*watch that died*'
mutate newer-format $S/Version/DocumentStore.cpp \
  's/Next->Services_\[Service\]\.UnsupportedVersion_ = Source\.Version_;/Next->Services_.erase(Service);/' \
  ${F}ConfigurationTest '*newer format*'
mutate probe-the-dead $S/Process/Membership/MemberTable.cpp \
  's/if \(auto Found = find\(Id\)\)\s*return Found;/if (auto Found = find(Id); Found \&\& Found->Status_ < MemberStatus::Dead) return Found; else if (Members_.empty()) return std::nullopt;/' \
  ${F}PartitionTest '*all cut off*'
mutate orphans $S/Process/Keeping/EngineMonitor.cpp \
  's/(void EngineMonitor::handleOrphan\([^{]*\{\n)/$1  return;\n/' \
  ${F}PartitionTest '*dead daemon*'
mutate live-share $S/Process/Membership/MemberTable.cpp \
  's/return \(Known - static_cast<double>\(Dead\)\) \/ Known;/return Dead > 100 ? Known : 1.0;/' \
  ${F}PartitionTest '*all cut off*'
mutate waiting-of-gone $S/Process/Keeping/KeeperService.cpp \
  's/    for \(const RequestId &Id : Target->Scheduler_\.removeWaiting\(Ingress\)\)\n\s*Allotments_\.refund\(Id\);/    (void)Target;/' \
  UnitTests/UnitTests_Process '*whose link broke gets no place*'
mutate places-of-gone $S/Process/Keeping/KeeperService.cpp \
  's/  Disconnected\.HoldsSlots_ = false;\n/$&  return;\n/' \
  UnitTests/UnitTests_Process '*place of an entry whose link broke*'
T=FailureTests
mutate joined-thread $T/ContextThread.h \
  's/    Thread_\.join\(\);\n//' \
  ${F}ClusterTest "*can't start says why*"
mutate own-end $T/ChildProcess.cpp \
  's/bool Expected = .*?;/bool Expected = true;/s' \
  ${F}ClusterTest '*ends by itself fails*'
mutate report-beside-kill $T/ChildProcess.cpp \
  's/(void ChildProcess::checkReports\(\) const \{\n)/$1  return;\n/' \
  ${F}ClusterTest "*sanitizer's report*"
mutate scheduler-order $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/for \(const DeadlineKey &Key : Queue\.Requests_\)/for (const DeadlineKey \&Key : std::set<DeadlineKey, std::greater<>>(Queue.Requests_.begin(), Queue.Requests_.end()))/' \
  ${U}Process '*plain scan*'
mutate scheduler-fairness $S/Process/Scheduling/Scheduler.cpp \
  's/Queue\.ServedTokens_ \+= Cost [^;]*;/(void)Cost;/' \
  ${U}Process '*plain scan*'
mutate scheduler-floor $S/Process/Scheduling/Scheduler.cpp \
  's/(void Scheduler::shedAllBelow\([^{]*\{\n)/$1  return;\n/' \
  ${U}Process '*plain scan*'
mutate length-shares $S/Process/Scheduling/SchedulerAdmission.cpp \
  's/std::min<LengthClass>\(std::bit_width\(Means\), LengthClassCount - 1\)/std::min<LengthClass>(std::bit_width(Means), 1)/' \
  ${U}Process '*longest requests of the lowest tier*'
mutate claim-read-back-unit $S/Request/ClaimStore.cpp \
  's/if \(Present && \*Present\)\s*co_return std::move\(\*\*Present\);/if (Present \&\& *Present) { co_return Wanted; }/' \
  ${U}Request '*at the most holds a key*'
mutate request-state $S/Request/RequestState.h \
  's/return State_\.compare_exchange_strong\(Expected, Next\);/if (State_.load() != Expected) return false; State_.store(Next); return true;/' \
  ${U}Request '*in one instant*'
mutate posted-decisions $S/Process/Keeping/KeeperService.cpp \
  's/Notifications_\.push\(CellDecision\{Cell, std::move\(Made\)\}\);/deliver(CellDecision{Cell, std::move(Made)});/' \
  ${U}Process '*after the call that makes them*'
mutate taken-back-grant $S/Process/Keeping/KeeperService.cpp \
  's/if \(!isStillValid\(Event\.Cell_, \*Grant\)\)/if (false)/' \
  ${U}Process '*taken back before it is told is not told*'
mutate taken-back-allotment $S/Process/Keeping/KeeperService.cpp \
  's/return Allotments_\.refund\(Grant->Id_\);/return;/' \
  ${U}Process '*uses no allotment*'
mutate told-allotment $S/Process/Keeping/KeeperService.cpp \
  's/    Allotments_\.commit\(Grant->Id_\);\n//' \
  ${U}Process '*use their allotment*'
mutate late-refusal $S/Process/Keeping/GrantClient.cpp \
  's/Found->second\.Keeper_ != From \|\|\n      !mayBeSameAsk/!mayBeSameAsk/' \
  ${U}Process '*asked now can refuse*'
mutate connection-given-back $S/Request/ModelCall.cpp \
  's/(void closeConnection\(\) \{\n)    if \(Ready_\.Connection_\)\n/$1/' \
  ${U}Request '*leaves before the last event*'
mutate part-of-frame $S/Connection/FrameChannel.cpp \
  's/LastReceived_ = Error \? LastReceived_ : steady_clock::now\(\);/LastReceived_ = Error || Target.size() > 0 ? LastReceived_ : steady_clock::now();/' \
  ${U}Connection '*long frame that comes slowly*'
mutate sign-behind-frame $S/Connection/FrameChannel.cpp \
  's/  send\(encodeMessage\(heartbeatReply\(\)\)\);\n\}/}/' \
  ${U}Connection '*takes a long frame says so*'
mutate queue-bound $S/Connection/FrameChannel.cpp \
  's/return closeForMemory\("link-overfull", "queued_bytes", Queued\);/;/' \
  ${U}Connection '*too much waits to be sent*'
mutate text-apart $S/Process/Configuration/PeerFollower.cpp \
  's/  Request\.text_apart = true;\n//' \
  ${U}platform '*comes in small messages*'
mutate text-lease $S/Process/Configuration/PeerFollower.cpp \
  's/if \(!lacksTextOf\(State\)\)\n//' \
  ${U}platform '*text does not come*'
mutate text-hash $S/Process/Configuration/DocumentTransfer.cpp \
  's/ \|\| stableHash\(\*Text\) != Hash_//' \
  ${U}Process '*not what it was named as*'
mutate text-goes-on $S/Process/Configuration/DocumentTransfer.cpp \
  's/Wanted == Wanted_ \|\| !Packed_\.empty\(\)/Wanted == Wanted_/' \
  ${U}TextSeries '*come in force one after the other*'
mutate text-older-served $S/Process/Configuration/DocumentTransfer.cpp \
  's/  if \(Text == Texts_\.end\(\)\)/  if (Text == Texts_.end() || Wanted != newest())/' \
  ${U}TextSeries '*come in force one after the other*'
mutate text-newest-sooner $S/Process/Configuration/DocumentTransfer.cpp \
  's/return Wanted != newest\(\) &&/return false \&\&/' \
  ${U}TextSeries '*small change that takes it back*'
mutate text-asked-stays $S/Process/Configuration/DocumentTransfer.cpp \
  's/Text->second\.Asked_ = \+\+Requests_;/++Requests_;/' \
  ${U}TextSeries '*stays stored while*'
mutate text-behind $S/Process/Configuration/PeerFollower.cpp \
  's/  noteActive\(\);\n/  Freshness_.newestActive();\n/' \
  ${U}platform '*in force before a newer one*'
mutate text-refused $S/Process/Configuration/PeerFollower.cpp \
  's/    RefusedVersion_ = Version;\n/    ;\n/' \
  ${U}platform "*announces a text and doesn't have it*"
mutate text-held-off $S/Process/Configuration/AnnouncedVersions.cpp \
  's/  if \(Limited && Now - Newest_->Since_ >= MaxWait\)\n    return false;\n//' \
  ${U}platform '*older text that arrives slowly*'
mutate text-late-chunk $S/Process/Configuration/PeerFollower.cpp \
  's/  if \(Version <= View_\.version\(\)\)\n    return;\n  constexpr/  constexpr/' \
  ${U}platform "*late chunk of the version in force*"
mutate closed-at-end $S/Connection/HttpServer.cpp \
  's/~ConnectionCloser\(\) \{ Stream_\.close\(\); \}/~ConnectionCloser() {}/' \
  ${U}Connection "*looks out for its caller's end closes*"
mutate levels-of-body $S/Request/CallerService.cpp \
  's/readJsonOrNull\(Request\.Body_\)/Json::parse(Request.Body_, nullptr, false)/' \
  ${U}Request '*nests deeply is refused*'
mutate small-confirmation $S/Process/Configuration/StoreFollower.cpp \
  's/std::string Prefix = ownKey\(\);/std::string Prefix = View_.layout().ConfigurationKey_;/' \
  ${U}platform '*large configuration is read once*'
mutate untold-changes $S/Process/Configuration/StoreFollower.cpp \
  's/if \(Empty && After_ < Changes->Position_\)/if (false)/' \
  ${U}platform '*ends past changes*'
mutate answer-comes $S/Process/Configuration/StoreFollower.cpp \
  's/ && !answerArriving\(\)\)/)/' \
  ${U}platform '*whose answer is coming*'
mutate answer-silence platform/Store.cpp \
  's/Limits\{Timeout, Timeout_, MaxBodyTime_,/Limits{Timeout, Timeout_, Timeout_,/' \
  ${U}platform '*over a slow link*'
mutate soonest-lapse $S/Process/Configuration/StoreFollower.cpp \
  's/ &&\s+Freshness_\.age\(SentAt\) >= Options_\.EarliestExpiry_\)/)/' \
  ${U}platform '*gone with the first list*'
mutate followed-outage $S/Process/Configuration/StoreFollower.cpp \
  's/(minutes later, it would retain servers then that\n.*\n)  endOutage\(\);/$1/' \
  ${U}platform '*follows one that reads again*'
mutate outage-own $S/Process/Configuration/OutageCause.cpp \
  's/return BeganTogether && EndedTogether \? OutageCause::Own/return false ? OutageCause::Own/' \
  ${U}Process '*heard nobody while it had lost the service*'
mutate outage-own-retained $S/Process/Configuration/DirectoryView.cpp \
  's/if \(Outage_ && Cause == OutageCause::Service\)/if (Outage_)/' \
  ${U}platform '*left while this daemon was cut off*'
mutate outage-others-asked $S/Process/Configuration/PeerFollower.cpp \
  's/ \|\| View_\.retainsMissing\(\);/;/' \
  ${U}platform '*a part of a small fleet*'
mutate outage-same-doubt $S/Process/Configuration/StoreView.cpp \
  's/if \(IsUnsure && Directory_\.isMissing\(Name\)\)/if (false)/' \
  ${U}platform '*a part of a small fleet*'
mutate cells-by-size $S/Process/Keeping/Cell.cpp \
  's/(  std::uint32_t Count = cellCount\(Whole\);\n  if \(Count == 1\)\n    return 0;)/$1\n  return static_cast<std::uint32_t>(Key % Count);/' \
  ${U}Process '*get requests as they have servers*'
mutate strong-readers $S/Process/Configuration/StoreReaders.cpp \
  's/std::size_t Strength = [^;]*;/std::size_t Strength = 1;/' \
  ${U}Process '*fleet of hundreds few read*'
mutate news-first $S/Process/Membership/MemberTable.cpp \
  's/return std::pair\(!isRecentChange\(\*Known, Now\), Known->Sent_\);/return std::pair(false, Known->Sent_);/' \
  ${U}MembershipFleet '*death is known to all*'
mutate suspect-probers $S/Process/Membership/MemberTable.cpp \
  's/double Chance = [^;]*;/double Chance = 1;/' \
  ${U}MembershipFleet '*probed by a few*'
mutate suspect-time $S/Process/Membership/MemberTable.cpp \
  's/Options_\.SuspectTimePerDoubling_ \* Doublings/Options_.SuspectTimePerDoubling_ * 0 * Doublings/' \
  ${U}MembershipFleet '*lost datagrams kill nobody*'
mutate dead-probes $S/Process/Membership/MemberTable.cpp \
  's/if \(!LastReturn_ \|\|/if (true ||/' \
  ${U}MembershipFleet '*after a partition*'
mutate reader-stays $S/Process/Configuration/PeerFollower.cpp \
  's/bool Stays = Reader_ &&/bool Stays = false \&\& Reader_ \&\&/' \
  ${U}platform '*is followed for a while*'
mutate reader-confirms $S/Process/Configuration/StoreFollower.cpp \
  's/if \(Becomes\)/if (false)/' \
  ${U}platform '*becomes a reader*'
mutate patient-followers $S/Process/Configuration/PeerFollower.cpp \
  's/return Role_ == StoreRole::Spare && Service_\.paused\(\) &&/return false \&\&/' \
  ${U}ReaderOutage '*short outage of the service*'
mutate overdue-refused $S/Request/CallerService.cpp \
  's/if \(Services_\.Freshness_\.overdue\(BootClock::now\(\)\)\)/if (false)/' \
  ${U}OverdueConfiguration '*without a key*'
mutate denied-while-behind $S/Request/CallerService.cpp \
  's/ &&\s+Services_\.Freshness_\.behind\(Now\)\.count\(\) == 0//' \
  ${U}OverdueConfiguration '*nothing is denied*'
mutate lag-noted $S/Process/Configuration/PeerFollower.cpp \
  's/  noteLag\(State\);\n//' \
  ${U}OverdueConfiguration '*does not come*'
mutate slow-answer-noted $S/Process/Configuration/StoreFollower.cpp \
  's/if \(answerArriving\(\) &&/if (false \&\&/' \
  ${U}platform '*answer comes slowly*'
mutate peer-lag-noted $S/Process/Configuration/ConfigurationSync.cpp \
  's/  noteLag\(\);\n\}\n\nbool/}\n\nbool/' \
  ${U}Process '*heard of and does not come*'
mutate era-order $S/Process/Configuration/StoreView.cpp \
  's/if \(EraRead_ && Answered\.Era_ < Position_\.Era_\)/if (false)/' \
  ${U}platform '*answer of an older era*'
mutate era-departed $S/Process/Configuration/DepartedServers.cpp \
  's/Later \? Admission::Admitted : Admission::Unconfirmed/Later ? Admission::Admitted : Admission::Admitted/' \
  ${U}StoreEraModel '*in all orders*'
mutate era-known-older $S/Process/Configuration/StoreView.cpp \
  's/  bool Older =\s+Written < Before \|\| \(FromBackup && [^;]*;/  bool Older = false;/' \
  ${U}StoreEraModel '*in all orders*'
mutate era-heard-at $S/Process/Configuration/StoreView.cpp \
  's/Unconfirmed_\.empty\(\) \|\| Asked < EraStart_->SeenAt_ \+ Times_\.EntryExpiry_/Unconfirmed_.empty() || Asked < EraStart_->SeenAt_/' \
  ${U}StoreEraModel '*in all orders*'
mutate era-unsure $S/Process/Configuration/StoreView.cpp \
  's/IsUnsure \? Source::UnverifiedDaemon : Source::Daemon/IsUnsure ? Source::Daemon : Source::Daemon/' \
  ${U}StoreEraModel '*in all orders*'
mutate era-confirms $S/Process/Configuration/StoreView.cpp \
  's/if \(ReadVersion_ < version\(\)\)\n    return false;//' \
  ${U}platform '*is confirmed only*'
mutate era-outage $S/Process/Configuration/StoreView.cpp \
  's/  Directory_\.outageBegan\(\);\n  Directory_\.outageEnded\(Now\);\n//; s/  BootTime Now = Hooks_\.Now_\(\);\n  logEvent/  BootTime Now = Hooks_.Now_();\n  (void)Now;\n  logEvent/' \
  ${U}platform '*the copy lacks gets work*'
mutate era-own-entry $S/Process/Configuration/StoreFollower.cpp \
  's/  RegisteredAddress_\.clear\(\);\n//' \
  ${U}platform '*their own entries again*'
mutate era-follower-entry $S/Process/Configuration/PeerFollower.cpp \
  's/  Service_\.entryMissing\(State\.lacks_entry\);\n//' \
  ${U}platform '*their own entries again*'
mutate era-pages platform/Store.cpp \
  's/if \(All\.Position_\.Era_ != Listed\.Position_\.Era_\)/if (false)/' \
  ${U}platform '*pages of two eras*'
mutate era-write platform/Store.cpp \
  's/if \(spansEras\(Expected, Body->Era_\)\)/if (false)/' \
  ${U}platform '*conditional write that meets*'
mutate era-heard-version $S/Process/Configuration/PeerFollower.cpp \
  's/(void PeerFollower::onTimer\(\) \{\n  forgetFollowers\(\);\n)  requestAnnouncedVersion\(\);\n/$1/' \
  ${U}platform '*gossip names comes*'
mutate era-yields $S/Process/Configuration/StoreView.cpp \
  's/    EraRead_ = false;\n//' \
  ${U}platform '*yields to the service*'
mutate era-documents $S/Process/Configuration/ConfigurationSync.cpp \
  's/    if \(!SameEra\)\n      After.Revision_ = \{\};\n//' \
  ${U}Process '*is read anew*'
mutate allotment-few-keepers $S/Process/Keeping/Cell.cpp \
  's/Cell\.Index_ % MaxKeepers/Cell.Index_/' \
  ${U}AllotmentOfManyCells '*'
mutate allotment-both-buckets $S/Process/Scheduling/AllotmentLedger.cpp \
  's/if \(!FitsBoth\)/if (true)/' \
  ${U}AllotmentOfManyCells '*'
mutate allotment-overflow $S/Process/Scheduling/AllotmentLedger.cpp \
  's/ \* Seconds \+ Overflow;/ * Seconds;/' \
  ${U}AllotmentOfManyCells '*'
mutate keeper-reset $S/Process/Keeping/GrantClient.cpp \
  's/Loss == LinkLoss::Reset && mayReopen\(Keeper\)/false/' \
  ${U}Process '*link was reset*'
mutate keeper-started-again $S/Process/Keeping/GrantClient.cpp \
  's/    Unreachable_\.erase\(Id\);/    return;/' \
  ${U}Process '*until it starts again*'

mutate crash-refused $S/Process/Scheduling/CrashHistory.cpp \
  's/\.ToRefuse_ = 3/.ToRefuse_ = 1000/' \
  ${U}CrashingRequest '*stops reaching them*'
mutate crash-evidence $S/Request/CrashEvidence.cpp \
  's/Found != ServerCheck::Refused/false/' \
  ${U}CrashingRequest '*lost connection alone*'
mutate crash-leaving $S/Request/CrashEvidence.cpp \
  's/!Lost \|\| !Active/!Lost/' \
  ${U}CrashingRequest '*leaving server that ends*'
mutate crash-final $S/Request/FinalAnswer.cpp \
  's/Number >= 200 && Number < 300/Number >= 113 && Number < 300/' \
  ${U}CrashingRequest '*refusal is final*'
mutate crash-together $S/Process/Scheduling/CrashHistory.cpp \
  's/Crash\.Dispatched_ >= Last/Crash.Dispatched_ != TimePoint()/' \
  ${U}Process '*crash together*'
mutate crash-longer $S/Process/Scheduling/CrashHistory.cpp \
  's/\.RefusalFactor_ = 4/.RefusalFactor_ = 1/' \
  ${U}Process '*each further crash makes it longer*'
mutate crash-completed $S/Process/Scheduling/CrashHistory.cpp \
  's/\.ToRefuseCompleted_ = 6/.ToRefuseCompleted_ = 3/' \
  ${U}Process '*has completed needs more*'
mutate crash-gone-before $S/Process/Scheduling/CrashHistory.cpp \
  's/  if \(crashedBefore\(Hash, Dispatched\)\)\n    return false;\n//' \
  ${U}Process '*crashed before a request was sent*'
mutate crash-counted $S/Process/Scheduling/CrashHistory.cpp \
  's/  bool Changed = Known\.Clearings_ > Record\.Clearings_;/  bool Changed = Known.Cleared_ \&\& (!Record.Cleared_ || *Known.Cleared_ > *Record.Cleared_);/' \
  ${U}MembershipFleet '*news for ever*'
mutate crash-forgotten $S/Process/Keeping/CrashTracker.cpp \
  's/    History_\.forgetOld\(Now\);\n//' \
  ${U}MembershipFleet '*too old to matter*'
mutate crash-cleared $S/Process/Scheduling/CrashHistory.cpp \
  's/(CrashHistory::recordCompleted[^{]*\{\n)/$1  return false;\n/' \
  ${U}Process '*popular request is served on*'
mutate crash-copies $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/(bool Scheduler::isCopyRunning[^{]*\{\n)/$1  return false;\n/; s/    if \(Other\.Fingerprint_ == Request\.Fingerprint_\)\n      return true;\n//' \
  ${U}Process '*one runs at a time*'
mutate crash-suspects-apart $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/return Other\.Server_ == Server\.capacity\(\)\.Name_ &&\s+suspicionOf\([^;]*;/return false;/' \
  ${U}Process '*share servers with one*'
mutate crash-own-turn $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/    if \(isCopyRunning\(Details\)\)\n      continue;\n//' \
  ${U}Process "*hold up their caller's other*"
mutate crash-digest $S/Process/Membership/MembershipProtocol.cpp \
  's/Probe\.crash_digest != Hooks_\.CrashDigest_\(\)/false/' \
  ${U}MembershipFleet '*starts later learns*'
mutate crash-news $S/Process/Keeping/CrashTracker.cpp \
  's/  Hooks_\.Spread_\(\);\n//; s/Differs \? /true ? std::vector<CrashRecord>() : Differs ? /' \
  ${U}MembershipFleet '*refused by all daemons in*'
mutate crash-known-parts $S/Common/RequestFingerprint.cpp \
  "s/std::to_string\\(Part\\.size\\(\\)\\) \\+ ':'/std::string()/" \
  ${U}Common '*share a fingerprint*'

mutate limit-read platform/Headers.cpp \
  's/Dialect\.ReadServerLimit_ = readLimit;/Dialect.ReadServerLimit_ = [](const HttpFields \&) { return Result<std::optional<RequestRate>>(std::optional<RequestRate>()); };/' \
  ${U}platform '*under both of its names*'
mutate limit-kept $S/Process/Scheduling/ServerModel.cpp \
  's/ && Rate_\.allowsOne\(\)//' \
  ${U}ServerLimit '*'
mutate limit-begins-empty $S/Process/Scheduling/ServerRate.cpp \
  's/    Allowed_ = 0;\n    Refilled_/    Allowed_ = 3;\n    Refilled_/' \
  ${U}Process "*follow each other don't add up*"
mutate limit-stand-in $S/Process/Scheduling/ServerRate.cpp \
  's/MinPerSecond\) \* Share/MinPerSecond) * std::max(1.0, Share)/' \
  ${U}Process '*two keepers of one cell*'
mutate limit-ends $S/Process/Scheduling/Scheduler.cpp \
  's/  if \(grantedAfter\(\*Model, Id, Model->rate\(\)\.namedAt\(\)\)\)\n    Model->rate\(\)\.clear\(\);\n//' \
  ${U}Process '*limit ends with an answer*'
mutate limit-late-answer $S/Process/Scheduling/Scheduler.cpp \
  's/grantedAfter\(\*Model, Id, Model->rate\(\)\.namedAt\(\)\)/grantedAfter(*Model, Id, TimePoint())/' \
  ${U}Process '*limit ends with an answer*'
mutate limit-restart $S/Process/Scheduling/ServerModel.cpp \
  's/  Rate_ = ServerRate\(\);\n//' \
  ${U}Process '*starts again has no limit*'
mutate limit-returned $S/Process/Scheduling/Scheduler.cpp \
  's/      Server->rate\(\)\.giveBack\(\);/      (void)Server;/' \
  ${U}Process '*not used counts for nothing*'
mutate limit-least $S/Process/Scheduling/ServerRate.cpp \
  's/MinPerSecond = 0\.25/MinPerSecond = 0/' \
  ${U}Process '*names nearly nothing*'
mutate limit-bad-value $S/Process/Scheduling/ServerRate.cpp \
  's/ && !std::signbit\(PerSecond\)//' \
  ${U}Process '*only a decimal number*'
mutate limit-new-keeper $S/Process/Keeping/GrantClient.cpp \
  's/(void GrantClient::informKeeper[^{]*\{\n)/$1  return;\n/' \
  ${U}Process '*limits before it is asked*'
L=$S/Process/Relay
mutate relay-asked $L/ServerConnector.cpp \
  's/Asked\.size\(\) < Options_\.MaxRelays_/false/' \
  ${U}RelayedCall '*served through another daemon*'
mutate relay-real-cut $L/ServerConnector.cpp \
  's/Asked\.size\(\) < Options_\.MaxRelays_/false/' \
  ${F}platform_CutFromServersTest '*cut off from all servers serves*'
mutate relay-normal-end $L/RelayServer.cpp \
  's/(copyBytes\(Pair->Server_, Pair->Daemon_, Pair->Framed_\);\n)  if \(Error != asio::error::eof \|\| wasReset\(Pair->Server_\)\)\n    co_return Pair->reset\(\);\n/$1/' \
  ${U}RelayedCall '*complete only if it ends normally*'
mutate relay-caller-left $L/RelayServer.cpp \
  's/  Pair->Server_\.close\(Ignored\);\n  Pair->Daemon_\.close\(Ignored\);\n//' \
  ${U}RelayedCall '*caller that leaves ends*'
mutate relay-blame $S/Request/CrashEvidence.cpp \
  's/co_await Servers\.check\(std::move\(Target\)\);/ServerCheck::Refused;/' \
  ${U}RelayedCall '*blames neither servers*'
mutate relay-lost-together $L/ServerConnector.cpp \
  's/bool Together = [^;]*;/bool Together = false;/' \
  ${U}RelayedCall '*blame no request*'
mutate relay-stopping $L/RelayServer.cpp \
  's/  if \(Stopping_\)\n    co_return Refused;\n//' \
  ${U}RelayedCall '*about to stop relays*'
mutate relay-probes $L/ServerConnector.cpp \
  's/  startProbes\(\);\n//' \
  ${U}RelayedCall '*links that are back*'
mutate paths-doubt $L/ServerPaths.cpp \
  's/  doubtAll\(Seen, Now\);\n//' \
  ${U}Process '*others be probed at once*'
mutate paths-idle $L/ServerPaths.cpp \
  's/Found->second\.Seen_ != PortState::Silent;/true;/' \
  ${U}Process '*may hang are not used*'
mutate relay-far $L/RelayChoice.cpp \
  's/bool PrefersFar = [^;]*;/bool PrefersFar = false;/' \
  ${U}Process '*whole data centre has none*'
mutate relay-near $L/RelayChoice.cpp \
  's/bool PrefersFar = [^;]*;/bool PrefersFar = true;/' \
  ${U}Process '*own data centre go first*'
mutate relay-last-frame $S/Connection/ByteFrames.h \
  's/Error = boost::asio::error::connection_reset;/;/' \
  ${U}RelayedCall '*relay that is killed*'
mutate relay-check-once $L/ServerConnector.cpp \
  's/  if \(!Target\.Names_\.IsCheck_\)\n    checkLater/  checkLater/' \
  ${U}RelayedCall '*starts no further checks*'
mutate stream-rest $S/Request/ForwardedCall.cpp \
  's/Rest = Splitter_\.finish\(\);/Rest = Splitter_.partialEvent();/' \
  ${U}BrokenAnswer '*within an event never looks complete*'
mutate stream-no-event $S/Request/ForwardedCall.cpp \
  's/if \(FirstEvent_ == TimePoint\(\) &&/if (false \&\&/' \
  ${U}BrokenAnswer '*without any event is complete only*'
mutate stream-evidence $S/Request/ForwardedCall.cpp \
  's/co_return failed\(\{ResultCode::StreamBroken, "ended within an event"\}\);/{ Ready_.Connection_->close(); co_return AttemptEnd::Broken; }/' \
  ${U}BrokenAnswer '*is gone has crashed*'
mutate stream-size $S/Connection/EventSplitter.cpp \
  's/Held_\.size\(\) > MaxEventBytes/false/' \
  ${U}Connection '*never ends is given up*'
mutate stream-old-caller $S/Connection/HttpServer.cpp \
  's/resetOnClose\(true\)/resetOnClose(false)/' \
  ${U}Connection '*read chunks*'
mutate json-end $S/Request/ApplicationCall.cpp \
  's/!isEndKnown\(Connection, Head->Body_\)/false/' \
  ${F}OwnAnswerTest '*without a length is passed on*'
mutate silence $S/Connection/SocketOptions.h \
  's/milliseconds\(3000\)/milliseconds(2000)/' \
  ${U}Connection '*silent for a second or so*'
mutate brittle-kept $S/Process/Scheduling/ServerModel.cpp \
  's/ && Rejections_\.allowsOne\(\)//' \
  ${U}BrittleServer '*'
mutate brittle-rejected $S/Process/Scheduling/RejectionLimit.cpp \
  's/PausedUntil_ = Now \+ PauseTime;/(void)Now;/' \
  ${U}BrittleServer '*'
mutate held-leaving $S/Process/Scheduling/ServerHolds.cpp \
  's/return !isLeaving\(Server, Process\) && /return /' \
  ${U}Process '*process that leaves*'
mutate held-longer $S/Process/Scheduling/ServerHolds.cpp \
  's/std::max\(Known\.RestUntil_, Until\)/Until/' \
  ${U}Process '*longer rest beats*'
mutate leaving-kept $S/Process/Scheduling/ServerModel.h \
  's/ && !SaysLeaving_;/;/' \
  ${U}LeavingServer '*' $S/Request/RequestContext.cpp \
  's/return !Grants\.holds\(\)->maySend[^;]*;/return false;/s'
mutate hurried $S/Request/ForwardedCall.cpp \
  's/!StopEnded_ && !Hurried;/!StopEnded_;/' \
  ${U}ImpatientCaller '*little time take no server*'
mutate replaced-by-caller $S/Request/ForwardingDialect.cpp \
  's/Named \|\| !Call\.ExpectsVersion_/true/' \
  ${U}ReplacedServer '*takes no server from others*'
mutate replaced-named $S/Request/ForwardingDialect.cpp \
  's/\(Named && Answer\.AnsweredBy_ == Intended\)/false/' \
  ${U}ReplacedServer '*takes no server from others*'
mutate replaced-for-good $S/Process/Scheduling/ServerModel.cpp \
  's/ReplacedUntil_ = Now \+ ReplacedTime;/ReplacedUntil_ = TimePoint::max();/' \
  ${U}Process '*tried again after 2 s*'
mutate rest-kept $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/ && !Rests && hasRoom/ \&\& hasRoom/' \
  ${U}RestingServer '*gets it*' $S/Request/RequestContext.cpp \
  's/return !Grants\.holds\(\)->maySend[^;]*;/return false;/s'
mutate rest-told-at-once $S/Process/Scheduling/Scheduler.cpp \
  's/           Item\.second\.restUntil\(Request\.Ingress_\) < Latest &&\n//' \
  ${U}RestingServer '*told at once*'
mutate held-at-dispatch $S/Request/RequestContext.cpp \
  's/return !Grants\.holds\(\)->maySend[^;]*;/return false;/s' \
  ${U}LeavingServer '*granted before*'
mutate gone-at-dispatch $S/Request/RequestContext.cpp \
  's/bool Fits = findServer\(Context, Chosen\.Name_\)\.has_value\(\);/bool Fits = true;/' \
  ${U}LeavingServer '*while its connection opens*'
R=$S/Process/Rollout
mutate rollout-selection $R/VersionSelection.cpp \
  's/Use Allowed = useOf\(Server\);/Use Allowed = Use::Full;/' \
  ${U}Rollout '*is not used before its trial*'
mutate rollout-hold $R/VersionSelection.cpp \
  's/!AnyServes \|\| Now >= At/true/' \
  ${U}Rollout '*held back for a while*'
mutate rollout-retired $R/VersionSelection.cpp \
  's/ &&\n *!isRetired\(Version\)//' \
  ${U}Rollout '*each stage of a roll-out*'
mutate rollout-no-return $R/RolloutRecord.cpp \
  's/Known\.ended\(\) \|\| Stage_ < Known\.Stage_/false/' \
  ${U}Rollout '*stages never go back*'
mutate rollout-lease $R/CanaryLedger.cpp \
  's/Now >= LeaseEnd_ \|\| //' \
  ${U}Rollout '*only within its lease*'
mutate rollout-budget $R/RolloutOwner.cpp \
  's/auto Share = Left \/ [^;]*;/auto Share = Allowed;/s' \
  ${U}Rollout '*keepers together expose*'
mutate rollout-drained $R/RolloutOwner.cpp \
  's/!Spread \|\| !isDrained\(CellKeepers, Now\)/!Spread/' \
  ${U}Rollout '*until nothing runs there*'
mutate rollout-spread $R/RolloutOwner.cpp \
  's/!Spread \|\| !isDrained/!isDrained/' \
  ${U}Rollout '*may not know the new stage*'
mutate rollout-worst-server $R/VersionEvidence.cpp \
  's/sumWithoutWorst\(Ignored\)/sumWithoutWorst(0)/' \
  ${U}Rollout '*single bad server*'
mutate rollout-present $R/VersionEvidence.cpp \
  's/std::max\(0\.0, Target\.Sum_ \+ Change\)/Target.Sum_ + Change/' \
  ${U}Rollout '*before the 50th bad answer*'
mutate rollout-canary-grants $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/!Server\.capacity\(\)\.Canary_ \|\| CanaryGrants_ > 0/true/' \
  ${U}Process '*only as many requests as are allowed*'
mutate rollout-idle-canary $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/bool IdleCanary = [^;]*;/bool IdleCanary = false;/' \
  ${U}Process '*idle canary goes first*'
mutate rollout-restored $S/Process/Configuration/StoreView.cpp \
  's/bool OfEarlierEra = [^;]*;/bool OfEarlierEra = false;/' \
  ${U}platform '*unless it was lost with a restore*'
mutate origin-not-kept $S/Request/ResumedStream.cpp \
  's/if \(!Context\.Origin_\)\n *Context\.Origin_ = [^;]*;//' \
  ${U}StreamOrigin '*goes on only at the version*'
mutate origin-not-compared $S/Request/RequestContext.cpp \
  's/Context\.Origin_->Version_ != Listed->Version_/false/' \
  ${U}StreamOrigin '*keeper does not know of yet*'
mutate origin-not-bound $S/Process/Scheduling/Scheduler.cpp \
  's/return VersionFits &&/return/' \
  ${U}Process '*fill the servers of their version and no other*'
mutate origin-holds-up $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/    if \(Details\.goesOn\(\)\)\n *continue;//' \
  ${U}Process '*hold up no other request*'
mutate origin-not-told $S/Process/Streams/StreamOriginService.cpp \
  's/recordKeepers\(Key, others\(\), Options_\.Copies_\)/std::vector<VmId>()/' \
  ${U}Streams '*known at all others*'
mutate held-back-streams $R/VersionSelection.cpp \
  's/return Use::Held;/return Use::None;/' \
  ${U}Rollout '*held back here*'
mutate held-back-new $S/Process/Scheduling/Scheduler.cpp \
  's/ && HoldAllows//' \
  ${U}Process '*held back get only its streams*'
mutate held-back-queue $S/Process/Scheduling/Scheduler.cpp \
  's/(!NewFirst|NewFirst) && grantGoingOn\(Tier, Now, Out\)/false/g' \
  ${U}Process '*held back get only its streams*'
mutate going-on-first $S/Process/Scheduling/Scheduler.cpp \
  's/bool NewFirst = .*?;/bool NewFirst = true;/s' \
  ${U}Process '*before new requests of their tier*'
mutate going-on-share $S/Process/Scheduling/Scheduler.cpp \
  's/bool NewFirst = .*?;/bool NewFirst = false;/s' \
  ${U}Process '*leave slots to new requests*'
mutate held-back-alone $S/Process/Scheduling/Scheduler.cpp \
  's/    if \(!Servable\)\n//' \
  ${U}Process '*nothing else is usable*'
mutate held-back-dispatch $S/Request/RequestContext.cpp \
  's/if \(Listed->HeldBack_ && !Context\.Origin_\)\n *return std::nullopt;//' \
  ${U}StreamOrigin '*granted by a keeper that has admitted*'
mutate origin-copies $S/Process/Streams/StreamOriginService.h \
  's/Copies_ = 4/Copies_ = 2/' \
  ${U}Streams '*half of a fleet was*'
mutate origin-out-of-reach $S/Process/Streams/StreamOriginService.cpp \
  's/ &&\n *Reach_\.isLost\(Now\)/ \&\& false/' \
  ${U}Streams '*daemon that is alone refuses*'
mutate origin-reach-heard $S/Process/Streams/PeerReach.cpp \
  's/  Silent_\.erase\(From\);\n//' \
  ${U}Streams '*reach again*'
mutate origin-first-attempt $S/Request/ResumedStream.cpp \
  's/Later \? Call\.Resumes_ : Call\.CallId_/Call.CallId_/' \
  ${U}StreamOrigin '*breaks off again*'
mutate begun-waits $S/Process/Scheduling/Scheduler.cpp \
  's/!Continues && Request\.Version_\.empty\(\) &&/!Continues \&\&/' \
  ${U}Process '*not refused for what others wait for*'
mutate begun-allotment $S/Request/RequestContext.cpp \
  's/return Context\.Origin_ && Refusal/return false \&\& Context.Origin_ \&\& Refusal/' \
  ${U}StreamOrigin '*until its customer may use more*'
mutate origin-guessed $S/Process/Streams/VersionTimeline.cpp \
  's/std::max\(Found->second\.Began_, CurrentSince\)/CurrentSince/' \
  ${U}Streams '*before a daemon knew the pool*'
mutate origin-gap $S/Process/Streams/VersionTimeline.cpp \
  's/std::max\(Found->second\.Began_, CurrentSince\)/Found->second.Began_/' \
  ${U}Streams '*come and gone while the store was unreachable*'
mutate origin-unconfirmed $S/Process/Streams/VersionTimeline.cpp \
  's/List\.AskedAt_ < Stream\.Arrived_/false/' \
  ${U}Streams '*whichever daemon is out of step*'
mutate origin-not-asked $S/Process/Streams/StreamOriginService.cpp \
  's/Known\.Proof_ != StreamVersion::Proof::Unconfirmed/true/' \
  ${U}Streams '*wait together for a newer list*'
mutate confirm-for-followers $S/Process/Configuration/PeerFollower.cpp \
  's/Request\.confirm && !Service_\.paused\(\)/false/' \
  ${U}platform '*by a later call of its reader*'
mutate confirm-for-all $S/Process/Configuration/StoreFollower.cpp \
  's/ConfirmWanted_ = true;\n  ConfirmTimer_\.cancel\(\);/ConfirmWanted_ = true;/' \
  ${U}platform '*is confirmed as soon as that is wanted*'
mutate confirmed-gap $S/Process/Configuration/FreshnessLease.h \
  's/Known == Never \|\| Gap/Known == Never/' \
  ${U}Process '*far apart leave open*'
mutate origin-of-another $S/Process/Streams/StreamOrigins.cpp \
  's/if \(Known\.Origin_ != Origin\)/if (false)/' \
  ${U}Streams '*two streams of different versions*'
mutate part-no-key $S/Request/CrashEvidence.cpp \
  's/if \(!Began\)\n *Sample\.Parts_ = [^;]*;//' \
  ${U}CrashingPart '*stops reaching them*'
mutate part-side-by-side $S/Process/Scheduling/CrashHistory.cpp \
  's/ \|\|\n *\(OfPart && Crash\.At_ >= Last \+ SameMoment\)//' \
  ${U}Process '*side by side convict*'
mutate part-same-moment $S/Process/Scheduling/CrashHistory.cpp \
  's/constexpr milliseconds SameMoment\{250\}/constexpr milliseconds SameMoment{1}/' \
  ${U}Process '*at one moment convicts no part*'
mutate part-explained $S/Process/Scheduling/CrashHistory.cpp \
  's/return unexplained\(Found->second, Now\)\.standing\(Now\);/return Alone;/' \
  ${U}Process '*explains convicts no other part*'
mutate part-one-at-a-time $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/return std::ranges::count\(Request\.Parts_, Cause\.Low_\) > 0;/return false;/' \
  ${U}Process '*suspected part run one at a time*'
mutate part-popular $S/Process/Scheduling/CrashHistory.cpp \
  's/  if \(Known\.Clearings_ == 0 && CompletedLately\)/  if (false)/' \
  ${U}Process '*not refused while nothing can complete*'
mutate part-storm $S/Process/Keeping/CrashTracker.cpp \
  's/  if \(After != RequestStanding::Refused\)\n    return;//' \
  ${U}MembershipFleet '*no storm of news*'
mutate part-waiting $S/Process/Scheduling/Scheduler.cpp \
  's/if \(HasPart \|\| Details/if (Details/' \
  ${U}Process '*suspected part run one at a time*'
mutate part-collected $S/Process/Keeping/CrashTracker.cpp \
  's/for \(std::uint64_t Part : Sample\.Parts_\) \{/for (std::uint64_t Part : {0ULL}) {/' \
  ${U}MembershipFleet '*a part that crashes servers is refused by all*'
mutate suspension-counted $S/Process/Scheduling/Scheduler.cpp \
  's/  if \(!Details\.OnlyServer_\.empty\(\)\)\n    Suspension_\.goesOn\(Id\);//' \
  ${U}Process '*make room for a burst*'
mutate suspension-goes-on $S/Request/ForwardedCall.cpp \
  's/Memory_ = MemoryLocation/[[maybe_unused]] auto Unused = MemoryLocation/' \
  ${U}SuspendedStream '*goes on at its server*'
mutate backup-danger $S/Process/Scheduling/BackupChoice.cpp \
  's/crashesPerSecond\(Target\.Engine_, Engines, Now\) > Danger/false/' \
  ${U}Process '*of the same version and in less danger*'
mutate run-continued $S/Request/ForwardedCall.cpp \
  's/Memory_ = MemoryLocation\{Backup\.Name_/MemoryLocation{Backup.Name_/' \
  ${U}RunBackup '*goes on at the server that has the backup*'
mutate work-time-placement $S/Process/Scheduling/SchedulerPlacement.cpp \
  's/return Server\.workTime\(\)\.expectedOver\(Now, Usual, WorkTimes_\)\.applyTo\(Usual\);/return Usual;/' \
  ${U}Process '*short calls avoid servers*'
mutate slow-caller-slot $S/Request/AnswerWriter.cpp \
  's/while \(!Failed_ && isFarBehind\(\)\)/while (!Failed_ \&\& Pending_ > 0)/' \
  ${U}SlowCaller '*read its stream holds no slot*'
mutate slow-caller-memory $S/Request/AnswerWriter.cpp \
  's/while \(!Failed_ && isFarBehind\(\)\)/while (false)/' \
  ${U}SlowCaller '*server waits for its slow caller*'
mutate body-in-chunks $S/Connection/HttpServer.cpp \
  's/bool Admitted = Memory\.admitsBody\(Bytes, Body_\.bytes\(\)\);/bool Admitted = true;/' \
  ${U}Connection '*large body in chunks is refused*'
mutate ending-listener $S/Process/Relay/ServerConnector.cpp \
  's/bool Refuses = co_await refusesNext\(Server, std::move\(\*Direct\)\);/bool Refuses = false;/' \
  ${U}Process '*accepts connections while it ends*'
mutate watched-check-counts $S/Process/Relay/ServerConnector.cpp \
  's/unless it is ending\.\n    endCheck\(Server\);/unless it is ending.\n    beginCheck(Server, Begun);/' \
  ${U}Process '*checks of servers that go on*'
mutate going-on-patience $S/Request/WaitPlan.cpp \
  's/if \(!IsRetry && !Times\.GoesOn_\)/if (!IsRetry)/' \
  ${U}StreamOrigin '*beyond the objective*'
mutate memory-kept $S/Request/WaitPlan.cpp \
  's/if \(KeepTime\.count\(\) > 0\)/if (false)/' \
  ${U}Request '*no longer than its memory is kept*'

mutate framing-of-answers $S/Connection/HttpConnection.cpp \
  's/Buffer_\{MaxFramingBytes\}/Buffer_/' \
  ${U}Connection '*line before a chunk is given up*'
mutate framing-of-bodies $S/Connection/HttpServer.cpp \
  's/Buffer_\.max_size\(\n.*?\);//s' \
  ${U}Connection '*line before a chunk of a body*'
mutate whole-messages $S/Connection/MemoryBudget.cpp \
  's/(bool MemoryBudget::mayHold\(.*?\{\n)/$1  return true;\n/s' \
  ${U}Connection '*message without end leaves room*'
mutate frame-memory $S/Connection/FrameChannel.cpp \
  's/std::min\(Size, std::max\(FirstFrameMemory, 2 \* Read\)\)/Size/' \
  ${U}Connection '*frame that is announced takes no memory*'
mutate frame-tables $S/Connection/PeerMessage.cpp \
  's/Limits\.max_tables = /auto Unused = /' \
  ${U}Connection '*refers to one table many times*'
mutate frame-texts $S/Connection/PeerMessage.cpp \
  's/if \(listedText\(.*?\) > Bytes\.size\(\)\)/if (false)/s' \
  ${U}Connection '*name one text many times*'
mutate link-takes-nothing $S/Connection/FrameChannel.cpp \
  's/if \(Writing_ && Now - LastWritten_ > Timing_\.Progress_\)/if (false)/' \
  ${U}Connection '*peer that takes nothing*'
mutate retry-empty-start $S/Request/RetryBudget.h \
  's/Refilled_\(Started\)/Refilled_()/' \
  UnitTests/UnitTests_Request '*begins with an empty budget*'
mutate retry-reserved $S/Request/RetryBudget.cpp \
  's/Account\.Depth_ - Locked\.Reserved_/Account.Depth_/' \
  UnitTests/UnitTests_Request '*sent all at once*'
mutate retry-share $S/Request/RetryBudget.cpp \
  's/Fleet_\.Smaller_ = std::max<std::size_t>\(1, Daemons\);/Fleet_.Daemons_ = Daemons;/' \
  UnitTests/UnitTests_Request '*loses sight of the others*'
mutate retry-depth $S/Request/RetryBudget.cpp \
  's/RequestsAtOnce = 0\.3;/RequestsAtOnce = 1.0;/' \
  UnitTests/UnitTests_Request '*move from one daemon*'
mutate link-part $S/Connection/MemoryBudget.cpp \
  's/Bytes > WholeLimit_ \/ LinkParts/false/' \
  ${U}Connection '*one link leaves room*'
mutate silent-stays $S/Request/ForwardedCall.cpp \
  's/bool KnowsPlace = .*?;/bool KnowsPlace = true;/' \
  ${U}Request '*stays at its silent server*'
mutate silent-leaves $S/Request/ForwardedCall.cpp \
  's/ \|\|\s+!hasRepeat\(\) \|\|\s+!mayRepeat\(\)//' \
  ${U}Request '*without a repeat stay*'
mutate frame-progress $S/Connection/FrameChannel.cpp \
  's/return Incoming_->Bytes_ - Before >= MinFrameProgress;/return true;/' \
  ${U}Connection '*frame of which single bytes come*'
mutate frame-begun $S/Connection/FrameChannel.cpp \
  's/if \(Count > 0 && !Incoming_\)/if (Begun \&\& !Incoming_)/' \
  ${U}Connection '*half announced*'
mutate body-reserved $S/Connection/GrowingBody.h \
  's/(boost::optional<std::uint64_t> &) \/\*Length\*\/,(.*?)Error = \{\};/$1Length,$2Error = {};\n      Body_.reserve(Length.value_or(0));/s' \
  ${U}Connection '*announced reserves no memory*'
mutate links-together $S/Connection/FrameChannel.cpp \
  's/!QueueMemory_\.grow\(Queued\)/false/' \
  ${U}Connection '*waits on all links is bounded together*'
mutate link-name $S/Process/Membership/PeerNetwork.cpp \
  's/bool Closed = \+\+Known\.Checks_ >= MaxHelloChecks;/bool Closed = false;/' \
  ${U}PeerNetwork '*connection that sends no name*'
mutate stranger-frames $S/Process/Membership/PeerNetwork.cpp \
  's/limits\(MaxHelloBytes\)/limits(MaxFrameBytes)/' \
  ${U}PeerNetwork '*before its name*'
mutate opening-queue $S/Process/Membership/PeerNetwork.cpp \
  's/!Target\.Memory_->grow\(Bytes\)/false/' \
  ${U}PeerNetwork '*waits for a link to open*'
mutate body-by-head $S/Connection/HttpServer.cpp \
  's/auto Refusal = Check \? Check\(Request_\) : std::nullopt;/std::optional<Failure> Refusal;/' \
  ${U}Connection '*refused by its head before it is read*'
mutate body-stalls $S/Connection/HttpServer.cpp \
  's/return Stalls_ >= MaxStalls;/return false;/' \
  ${U}Connection '*body that stalls gives its room*'
mutate body-announced $S/Connection/HttpServer.cpp \
  's/bool Large = Come > KernelBufferBytes;/bool Large = Into.content_length().value_or(0) > KernelBufferBytes;/' \
  ${U}Connection '*bodies that are only announced*'
mutate short-bodies $S/Connection/MemoryBudget.cpp \
  's/return Owner != MemoryOwner::RequestBodies \|\|/return true ||/' \
  ${U}Connection '*short bodies are bounded together*'
mutate answer-turn $S/Connection/MemoryBudget.cpp \
  's/!Budget_\.mayHoldInTurn\(Bytes, Held\.bytes\(\)\) \|\|/true ||/' \
  ${U}Connection '*answer whose turn it is ends*'
mutate stream-without-end $S/Request/ForwardedCall.cpp \
  's/if \(Context_\.expired\(ReadyEventsTime\)\)/if (false)/' \
  ${U}Request '*stream without end ends*'
mutate fault-answered $S/Request/ForwardedCall.cpp \
  's/if \(Context_\.Exchange_\.begun\(\)\)\n/if (true)\n/' \
  ${U}Request '*fails by an exception gets an answer*'
mutate follower-again $S/Process/Configuration/StoreFollower.cpp \
  's/spawnRepeated\(Control_, "follow-store"/spawnLogged(Control_, "follow-store"/' \
  ${U}platform '*whose follower fails follows again*'
mutate target-begun platform/RouteReader.cpp \
  's/InTarget_ && Depth_ == TargetDepth/InTargets_ \&\& Depth_ == TargetDepth/' \
  ${U}platform '*list among the backends*'
mutate nested-route platform/RouteReader.cpp \
  's/return \+\+Depth_ <= MaxDepth;/++Depth_; return true;/' \
  ${U}platform '*deeply nested configuration*'
mutate nested-configuration $S/Common/JsonReader.cpp \
  's/nestsDeeperThan\(Text, MaxJsonNesting\)/false/' \
  ${U}platform '*deeply nested configuration*'
mutate shared-rules $S/Version/SharedValues.h \
  's/return \*Known;/return std::make_shared<const Value>(Wanted);/' \
  ${U}platform '*say the same share it*'
mutate released-values platform/Configuration.cpp \
  's/  Values_\.dropUnused\(\);\n//' \
  ${U}platform '*say the same share it*'
mutate first-route $S/Version/IndexTable.h \
  's/if \(Found\.Position_ == 0\)\n\s*Found = /Found = /' \
  ${U}platform '*all that successive versions say*'
mutate tier-of-reused platform/Configuration.cpp \
  's/if \(Target->Forwarding_->Tier_ == Tier\)/if (true)/' \
  ${U}platform '*all that successive versions say*'
mutate taken-entries $S/Common/ListEvents.h \
  's/InList_ && Depth_ >= EntryDepth \? Item_ : Kept_/Kept_/' \
  ${U}Common '*taken one by one and not kept*'
mutate scanned-list $S/Common/ListEvents.h \
  's/(void close\(\) \{ Open_\.pop_back\(\);)/$1 if (!Open_.empty()) for (Json \&Each : *Open_.back()) if (Each.is_discarded()) break;/' \
  ${U}Common '*is not scanned per object*'
mutate large-blocks $S/Common/ProcessMemory.cpp \
  's/  mallopt\(M_MMAP_THRESHOLD, LargeBytes\);\n//; s/  mallopt\(M_TRIM_THRESHOLD, 2 \* LargeBytes\);\n/  (void)LargeBytes;\n/' \
  ${U}Common '*what a large text took is given back*'
mutate refused-alone $S/Process/Configuration/ItemReader.cpp \
  's/(    Refused\.Detail_ = Entry\.error\(\)\.Detail_;)/$1\n    Fault_ = Entry.error();/' \
  ${U}platform "*item that can't be read is refused alone*"
mutate large-left-out $S/Process/Configuration/AnswerSplitter.cpp \
  's/    leaveOutValue\(\);/    refuse(ResultCode::AnswerTooLarge, "");/' \
  ${U}platform '*too large is refused alone*'
mutate large-hides-servers $S/Process/Configuration/AnswerSplitter.cpp \
  's/    leaveOutValue\(\);/    refuse(ResultCode::AnswerTooLarge, "");/' \
  ${U}platform '*too large to be held hides no server*'
mutate large-real-daemon $S/Process/Configuration/AnswerSplitter.cpp \
  's/    leaveOutValue\(\);/    refuse(ResultCode::AnswerTooLarge, "");/' \
  FailureTests/FailureTests_platform_LargeValueTest '*leaving servers are obeyed*'
mutate large-after-end $S/Process/Configuration/AnswerSplitter.cpp \
  's/LeavingOut_ && ValueEnded_ && !Closes/false/' \
  ${U}Process '*left out still has to be JSON*'
mutate large-overdue $S/Process/Configuration/StoreFollower.cpp \
  's/if \(View_\.tooLargeSince\(\)\)/if (false)/' \
  ${U}platform '*too large makes the active one overdue*'
mutate large-confirms $S/Process/Configuration/StoreView.cpp \
  's/  if \(TooLargeSince_\)\n    return false;\n//' \
  ${U}platform '*too large makes the active one overdue*'
mutate large-told $S/Process/Configuration/PeerFollower.cpp \
  's/State\.newer_known_ms > 0/false/' \
  ${U}platform '*followers of a reader that cannot hold*'
mutate large-invalid platform/LargeConfiguration.cpp \
  's/    Invalid_ = Read\.error\(\);/    {}/' \
  ${U}platform '*invalid configuration that is too large*'
mutate large-sum $S/Process/Configuration/AnswerSplitter.cpp \
  's/std::max\(Room, ShortValueBytes\)/Limits_.MaxValue_/' \
  ${U}platform '*bounded in sum*'
mutate large-by-tool $S/Programs/CtlCommands.cpp \
  's/Told && Size > /Told \&\& false \&\& Size > /' \
  FailureTests/FailureTests_ConfigurationTest "*daemon can't hold*"
mutate refused-present $S/Process/Configuration/StoreView.cpp \
  's/if \(All\.hasAllKeys\(\)\)/if (true)/' \
  ${U}platform '*item without a key removes no server*'
mutate refused-no-work $S/Process/Configuration/StoreFollower.cpp \
  's/    View_\.refuse\(Key, Item\);/    (void)Item;/' \
  ${U}platform '*odd entry among good ones*'
mutate nested-text $S/Common/JsonReader.cpp \
  's/nestsDeeperThan\(Text, MaxJsonNesting\)/false/' \
  ${U}platform '*deeply nested text is refused*'
mutate endless-alias $S/Version/DocumentReader.cpp \
  's/Depth_ > MaxJsonNesting/Depth_ > 10 * MaxJsonNesting/' \
  ${U}platform '*alias inside its own anchor*'
mutate evidence-now $S/Process/Rollout/VersionEvidence.cpp \
  's/std::max\(Target\.Usual_\.rate\(\), Target\.Now_\.rate\(\)\)/Target.Usual_.rate()/' \
  ${U}Rollout '*moment in which all versions are bad*'
mutate events-at-once $S/Process/Keeping/EngineMonitor.cpp \
  's/if \(HasEvents && !State\.ReadsEvents_\)/if (HasEvents)/' \
  ${U}Process '*longer than a period are read once*'
mutate events-invalid $S/Process/Keeping/EngineMonitor.cpp \
  's/State\.NextEvent_ = Read->Next_;/if (!Read->Gap_) State.NextEvent_ = Read->Next_;/' \
  ${U}Process '*cache events that is invalid*'
mutate close-at-stop $S/Programs/DaemonLife.cpp \
  's/CallerServer_->closeAfterAnswers\(\);//' \
  ${F}platform_PlannedWorkTest '*keeps no connection*'
mutate stop-admits-streams $S/Request/StopPolicy.cpp \
  's/bool Early = [^;]*;/bool Early = true;/' \
  ${F}platform_PlannedWorkTest '*refuses streams without enough time*'
mutate flags-read-again $S/Programs/DaemonLife.cpp \
  's/if \(Error \|\| Written == std::exchange\(FlagFileTime_, Written\)\)/if (true)/' \
  ${F}platform_PlannedWorkTest '*reloads*'
mutate crash-line-waits $S/Common/CrashReport.cpp \
  's/return ::poll\(&Full, 1, MaxWriteWaitMs\) > 0;/return false;/' \
  ${U}Common '*log is not read in time*'
mutate end-of-link $S/Process/Membership/ProcessEnd.cpp \
  's/LinkEnded_\.value_or\(Now\)/Now/' \
  ${U}Process '*silence of a process ends with its links*'
mutate previous-told $S/Process/Membership/MembershipProtocol.cpp \
  's/Ack\.previous = endToWire\(\*Previous\);/(void)*Previous;/' \
  ${U}MembershipFleet '*how the one before it ended*'
mutate stalled-process $S/Process/Membership/PeerNetwork.cpp \
  's/Hooks_\.LinkEnded_\(From\);//' \
  ${F}ProcessEndTest '*is found afterwards*'
mutate interim-answers $S/Connection/HttpConnection.cpp \
  's/!Failed && isInterim\(\)/false/' \
  ${U}CutAnswer '*interim answers are passed over*'
mutate interim-bound $S/Connection/HttpConnection.cpp \
  's/Interim == MaxInterimAnswers/false/' \
  ${U}CutAnswer '*interim answers without an answer*'
mutate unframed-cut $S/Request/ForwardedCall.cpp \
  's/BodyEnd::Close && isShownCut\(Answer\)/BodyEnd::Close \&\& false/' \
  ${U}CutAnswer '*cut after any of its bytes*'
mutate version-range $S/Version/VersionedDocument.cpp \
  's/auto Read = readWholeOf\(Holder, Field, Range\);/Result<std::int64_t> Read = Holder.at(Field).get<std::int64_t>();/' \
  ${U}Version '*version can*t be counted on*'
mutate version-over-active $S/Version/VersionedDocument.cpp \
  's/std::max\(Version_, InForce\)/Version_/' \
  ${F}ConfigurationTest '*not called active where another one is*'
mutate change-compared $S/Programs/CtlCommands.cpp \
  's/ && !IsOther//' \
  ${F}ConfigurationTest '*where another has its number*'
mutate announced-range $S/Process/Configuration/ConfigurationSync.cpp \
  's/if \(Version > MaxDocumentVersion\)\s*return;//' \
  ${U}Process '*version out of range leaves the document active*'
mutate time-range $S/Common/BoundedNumber.cpp \
  's/Millis >= 0 && Millis <= static_cast<double>\(MaxReadTime\.count\(\)\)/true/' \
  ${U}platform '*entry of the directory with a number out of range*'
mutate server-address $S/Connection/ServerAddress.cpp \
  's/bool Usable = [^;]*;/bool Usable = true;/' \
  ${U}Connection '*address that no server can have*'
mutate own-address $S/Process/Relay/ServerConnector.cpp \
  's/if \(Hooks_\.IsOwnAddress_\(Target\.Address_\)\) \{.*?\n  \}\n//s' \
  ${U}Process '*opens no connection to itself*'
mutate framing-lengths $S/Connection/MessageFraming.cpp \
  's/bool Plain = [^;]*;/bool Plain = true;/' \
  ${U}Connection '*one possible end*'
mutate framing-codings $S/Connection/MessageFraming.cpp \
  's/Name != "chunked"/!Name.ends_with("chunked")/' \
  ${U}Connection '*one possible end*'
mutate framing-trailers $S/Connection/MessageFraming.cpp \
  's/if \(InTrailers_\)\n    checkLateName\(\);//' \
  ${U}Connection '*one possible end*'
mutate framing-of-requests $S/Connection/HttpServer.cpp \
  's/if \(Framing\.feed\(\{[^}]*\}\)\)/if (true)/; s/if \(!Framing\.fault\(\)\.empty\(\)\)\n/if (false)\n/; s/&& !Framing\.whole\(\)/\&\& false/' \
  ${F}platform_FramingTest '*hidden in another one*'
mutate hunted-framing $S/Connection/HttpServer.cpp \
  's/if \(Framing\.feed\(\{[^}]*\}\)\)/if (true)/; s/if \(!Framing\.fault\(\)\.empty\(\)\)\n/if (false)\n/; s/&& !Framing\.whole\(\)/\&\& false/' \
  ${F}platform_MessageHuntTest '*run as it was sent*'
mutate hunted-fields $S/Connection/HttpServer.cpp \
  's/if \(auto Fault = State_->Options_\.Fields_\.requestFault\([^)]*\)\)/if (std::optional<std::string> Fault; Fault)/' \
  ${F}platform_MessageHuntTest '*run as it was sent*'
mutate repeated-fields $S/Connection/FieldRules.cpp \
  's/return Line\.first == After\.first && IsSingle\(Line\.first\);/return false;/' \
  ${U}Connection '*fields can be read in two ways*'
mutate listed-fields $S/Connection/FieldRules.cpp \
  's/if \(isEndToEnd\(Name\)\)\n      return quoted/if (false)\n      return quoted/' \
  ${U}Connection '*fields can be read in two ways*'
mutate underscored-fields $S/Connection/FieldRules.cpp \
  's/if \(isSingle\(Meant\) \|\| isAmong\(HopFields, Meant\)\)/if (false)/' \
  ${U}Connection '*fields can be read in two ways*'
mutate listed-in-answers $S/Connection/FieldRules.cpp \
  's/if \(!isEndToEnd\(Name\)\)\n      Fields\.erase/if (true)\n      Fields.erase/' \
  ${U}Connection '*fields of the connection are removed*'
mutate fields-of-requests $S/Connection/HttpServer.cpp \
  's/if \(auto Fault = State_->Options_\.Fields_\.requestFault\([^)]*\)\)/if (std::optional<std::string> Fault; Fault)/' \
  ${F}platform_FieldsTest '*run whose fields can be read in two ways*'
mutate fields-of-answers $S/Request/RequestContext.cpp \
  's/if \(Fault\)\n    co_return Failure\{ResultCode::MalformedAnswer/if (false)\n    co_return Failure{ResultCode::MalformedAnswer/' \
  ${F}platform_FieldsTest '*tell two origins*'
mutate absolute-target $S/Connection/RequestTarget.cpp \
  's/if \(auto Absolute = [^)]*\)\)/if (std::optional<std::string_view> Absolute; Absolute)/' \
  ${U}Connection '*target becomes a path*'
mutate interim-response $S/Connection/HttpServer.cpp \
  's/Ended\.Error_ = co_await sendContinue\(\);/(void)0;/' \
  ${F}platform_HttpTest '*waits before its body*'
mutate stated-length $S/Connection/HttpConnection.cpp \
  's/Head\.StatedLength_ = statedLength\(Head\);/(void)0;/' \
  ${F}platform_HttpTest '*length that its server states*'
mutate carried-ids $S/Connection/BackendConnections.cpp \
  's/return !Pooled->carried\(\)\.contains\(Call\);/return true;/' \
  ${U}CopiedRefusal '*copy of a refusal*'
mutate carried-unnamed $S/Connection/CarriedCalls.cpp \
  's/HasUnnamed_ = true;/HasUnnamed_ = false;/' \
  ${U}CopiedRefusal '*without an id*'
mutate second-answers $S/Request/ForwardedCall.cpp \
  's/if \(!MayPass \|\|/if (true ||/' ${U}CopiedRefusal '*passed over*'
mutate second-answers-after-head $S/Connection/HttpConnection.cpp \
  's/carried\(\)\.addHead\(\);/(void)0;/' \
  ${U}CopiedRefusal '*after HEAD*'
mutate ask-not-compared $S/Process/Keeping/GrantClient.cpp \
  's/mayBeSameAsk\(Target\.Request_\.Ask_, Grant\.Ask_\)/true/' \
  ${U}Process '*out of order no request*'
mutate false-promise $S/Request/FinalAnswer.cpp \
  's/return IsFalse \? StatusBadGateway : Status;/return Status;/' \
  ${U}FalsePromise '*server had is answered*'
mutate reset-not-seen $S/Connection/HttpConnection.cpp \
  's/wasReset\(Stream_->socket\(\)\)/false/' \
  ${U}Connection '*whoever has seen the reset*'
mutate share-not-applied $S/Process/Scheduling/AllotmentLedger.cpp \
  's/(void AllotmentLedger::changeShare.*?\{\n)/$1  return;\n/s' \
  ${U}Process '*returns from a cut*'
mutate late-asks $S/Process/Keeping/KeeperService.cpp \
  's/if \(Numbered && \(Known \|\|[^;]*;/if (false)\n    return;/' \
  ${U}Process '*ask that comes twice is granted once*'
mutate late-ends $S/Process/Keeping/KeeperService.cpp \
  's/return Ask != AskNumber\(\) &&/return false \&\&/' \
  ${U}Process '*late of an earlier ask does not act*'
mutate later-ask-waits $S/Process/Keeping/KeeperService.cpp \
  's/Target\.Scheduler_\.withdrawWaiting\(Request\.Id_\);/(void)0;/' \
  ${U}Process '*takes the place of one that waits*'
mutate later-ask-charge $S/Process/Keeping/KeeperService.cpp \
  's/  if \(Numbered\) \{\n    Allotments_\.refund\(Request\.Id_\);/  if (Numbered) {/' \
  ${U}Process '*is charged once*'
mutate replaced-grant $S/Process/Keeping/KeeperService.cpp \
  's/ && Running->Ask_ == Grant\.Ask_;/;/' \
  ${U}Process '*not delivered for an ask that was replaced*'
mutate relay-reset-not-seen $S/Process/Relay/RelayServer.cpp \
  's/ \|\| wasReset\(Pair->Server_\)//' \
  ${U}Process '*answer ended which was reset*'
mutate second-answer-without-end $S/Request/ForwardedCall.cpp \
  's/while \(Bytes <= MaxSecondAnswerBytes && steady_clock::now\(\) < End\)/while (Bytes <= MaxSecondAnswerBytes)/' \
  ${U}CopiedRefusal '*second answer without end*'
Passed="every mutation was caught"
[ -z "$Check" ] || Passed="mutations: all expressions match"
[ "$Missed" -eq 0 ] && echo "$Passed"
exit "$Missed"
}
