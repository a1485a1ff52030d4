#pragma once
/// \file
/// Metadata of forwarded requests and their answers: typed values, and hooks
/// that read and write them as header fields. The default hooks use the header
/// names of samphireshunt itself; an adapter may use others.

#include "Common/Ids.h"
#include "Connection/FieldRules.h"
#include "Connection/Http.h"
#include "Process/Scheduling/PrefixIndex.h"
#include "Process/Scheduling/ServerNotice.h"
#include "Process/Scheduling/ServerRate.h"
#include "Process/Streams/RunMemory.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace samphireshunt {

/// Metadata that a caller states about its request.
struct CallLabels {
  /// Sent to the backend server, which echoes it in its answer.
  std::string CallId_;
  std::optional<std::chrono::milliseconds> Timeout_;
  std::optional<Tokens> Prompt_;
  std::optional<Tokens> MaxAnswer_;
  /// The caller's estimate of the answer's length; often far off.
  std::optional<Tokens> EstimatedAnswer_;
  std::vector<PromptPart> Parts_;
  /// The caller takes a stream up again after the event with this id.
  std::optional<std::string> AfterEvent_;
  /// The call id of the attempt that brought the first event of that stream;
  /// empty if the caller does not state it.
  std::string Resumes_;
  /// Servers of another version refuse it: the caller asked for that.
  bool ExpectsVersion_ = false;
};

/// Metadata that the daemon sends to a backend server.
struct ForwardLabels {
  std::chrono::milliseconds Timeout_{0};
  /// The intended server. Another server at the same address must refuse.
  ServerName Server_;
  CustomerName Customer_;
  /// The request goes on with the run whose memory is there.
  std::optional<MemoryLocation> MemoryFrom_;
  /// The engine to which the run's memory is backed up as it grows.
  std::optional<Endpoint> BackupTo_;
};

/// Metadata that a backend server states about its answer.
struct AnswerLabels {
  std::string CallId_;
  /// The server has not run the request and won't run it.
  bool NotRun_ = false;
  /// The server refuses because it isn't what the request expects: the intended
  /// server, or what the caller wrote.
  bool Misdirected_ = false;
  /// The server that answers; empty if it doesn't name itself.
  ServerName AnsweredBy_;
  /// The answer carries the server's proof of authenticity.
  bool HasProof_ = false;
  /// Requests queued in the server, if it reports them.
  std::optional<std::uint32_t> Waiting_;
  /// How long work takes on the server's machine at the moment, in percent of
  /// the usual time, if it reports that.
  std::optional<std::uint32_t> WorkTimePercent_;
};

/// Hooks that translate between metadata and header fields.
struct ForwardingDialect {
  std::function<CallLabels(const HttpFields &)> ReadCall_;
  /// Sets or removes the fields of a request that the daemon controls.
  std::function<void(HttpFields &, const ForwardLabels &)> WriteForward_;
  std::function<AnswerLabels(const HttpResponse &)> ReadAnswer_;
  /// Returns the rate of requests that the server of an answer accepts from all
  /// daemons together; nothing if it names none, BadServerLimit if it names
  /// something else.
  std::function<Result<std::optional<RequestRate>>(const HttpFields &)>
      ReadServerLimit_;
  /// Returns how many rejections a second the server of an answer survives;
  /// nothing if it does not say so, BadServerNotice if that can't be read.
  std::function<Result<std::optional<RejectionCount>>(const HttpFields &)>
      ReadBrittle_;
  /// Returns whether the server of an answer leaves; BadServerNotice if that
  /// can't be read.
  std::function<Result<bool>(const HttpFields &)> ReadLeaving_;
  /// Returns for how long the server of an answer wants no requests; 0 if it
  /// does not say so, BadServerNotice if that can't be read.
  std::function<Result<std::chrono::milliseconds>(const HttpResponse &)>
      ReadRest_;
  /// Adds the call id to an answer that the daemon generates itself.
  std::function<void(HttpFields &, const std::string &CallId)> AddCallId_;
  RunMemoryCalls Memory_;
  /// Which of these fields hold one value.
  FieldRules Fields_;
  /// Retry-After may have a fraction of a second.
  bool FractionalRetryAfter_ = false;
};

/// \returns the fields of this program's own interface, which each dialect has.
DialectFields ownInterfaceFields();

/// \returns the default dialect, with the fields x-call-id,
/// x-request-timeout-ms, x-prompt-tokens, x-answer-tokens, x-prompt-parts
/// (HEX:TOKENS,...), x-resumes, last-event-id, x-expect-version,
/// x-expect-server, x-customer, x-server, x-not-run, x-answer-proof,
/// x-server-limit, x-server-brittle,
/// x-server-leaving, x-work-time-percent, x-memory-from, x-memory-backup,
/// retry-after, and the calls POST /v1/runs/ID/move and DELETE
/// /v1/memory/HANDLE.
ForwardingDialect defaultDialect();

/// Whether an answer comes from the server that the request was sent to.
enum class Answerer { Intended, Other, Unknown };

/// \returns who gave \p Answer to a request with the labels \p Call. A server
/// that doesn't name itself is another one if nothing that the caller wrote can
/// be the reason of its refusal.
Answerer answererOf(const AnswerLabels &Answer, const CallLabels &Call,
                    const ServerName &Intended);

/// \returns the id in the field last-event-id; nothing if it is absent or
/// empty.
std::optional<std::string> readAfterEvent(const HttpFields &Fields);
/// Parses "HEX:TOKENS,HEX:TOKENS". The list ends before the first item that
/// is malformed.
std::vector<PromptPart> parsePromptParts(std::string_view Text);
/// \returns the rate in a field of an answer; nothing if the field is absent.
Result<std::optional<RequestRate>> readServerLimit(const HttpFields &Fields,
                                                   const std::string &Name);
/// \returns the number of rejections in a field of an answer; nothing if the
/// field is absent.
Result<std::optional<RejectionCount>> readBrittle(const HttpFields &Fields,
                                                  const std::string &Name);
/// \returns true if a field of an answer is 1; false if it is 0 or absent.
Result<bool> readLeaving(const HttpFields &Fields, const std::string &Name);
/// \returns the seconds in the field retry-after of a rejection, an answer with
/// status 503; 0 for any other answer.
Result<std::chrono::milliseconds> readRest(const HttpResponse &Head);
/// Reads the answer to an order to move the memory of a run: 200 and 503 with a
/// JSON object that has the handle and the number of events, 404, 409.
/// \returns BadMemoryAnswer for another answer.
Result<MoveAnswer> readMoveAnswer(const HttpResponse &Answer,
                                  const std::string &HandleField,
                                  const std::string &EventsField);
/// \returns nothing unless \p Text is a non-negative integer of 64 bits. A
/// larger one than a std::uint32_t holds becomes its largest, which is still
/// recognized as absurd.
std::optional<std::int64_t> parseCount(std::string_view Text);
/// Reads the tokens that a caller states. Any larger number becomes the
/// largest: a caller that states too many is charged for them, not for none.
std::optional<Tokens> parseTokens(std::string_view Text);

} // namespace samphireshunt
