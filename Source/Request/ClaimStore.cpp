#include "Request/ClaimStore.h"

#include "Common/BoundedNumber.h"
#include "Common/Hash.h"
#include "Common/JsonReader.h"
#include "Common/Log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <limits>

namespace samphireshunt {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

std::string encodeClaim(const Claim &Value) {
  Json Root;
  Root["attempt"] = Value.Attempt_;
  Root["vm"] = Value.Vm_.str();
  Root["incarnation"] = Value.Incarnation_.count();
  Root["bodyDigest"] = Value.BodyDigest_;
  Root["state"] = static_cast<int>(Value.State_);
  if (Value.State_ == ClaimState::Answered) {
    Root["status"] = Value.Answer_.Status_;
    Json &Fields = Root["fields"] = Json::object();
    for (const auto &[Name, Text] : Value.Answer_.Fields_)
      Fields[Name] = Text;
    // A body may hold arbitrary bytes, which a JSON string can't represent.
    Root["body"] = std::vector<std::uint8_t>(Value.Answer_.Body_.begin(),
                                             Value.Answer_.Body_.end());
  }
  return Root.dump();
}

Result<std::string> bytesOf(const Json &Numbers) {
  std::string Bytes;
  for (const Json &Number : Numbers) {
    auto Byte = readWhole("body", Number,
                          {0, std::numeric_limits<std::uint8_t>::max()});
    if (!Byte)
      return Byte.error();
    Bytes += static_cast<char>(*Byte);
  }
  return Bytes;
}

Result<Claim> decodeClaim(const KeyValue &Entry) {
  try {
    const Json Root = readJson(Entry.Value_).value().Root_;
    Claim Value;
    Value.Attempt_ = Root.at("attempt").get<std::string>();
    Value.Vm_ = VmId(Root.at("vm").get<std::string>());
    auto Process = readWholeOf(Root, "incarnation", {});
    auto State = readWholeOf(
        Root, "state", {0, static_cast<std::int64_t>(ClaimState::Unknown)});
    if (!Process || !State)
      return Failure{ResultCode::PlatformUnavailable,
                     (Process ? State : Process).error().Detail_};
    Value.Incarnation_ = Incarnation(static_cast<std::uint64_t>(*Process));
    Value.BodyDigest_ = Root.at("bodyDigest").get<std::string>();
    Value.State_ = static_cast<ClaimState>(*State);
    Value.Position_ = Entry.Position_;
    if (Value.State_ == ClaimState::Answered) {
      constexpr NumberRange Statuses{200, 599};
      auto Status = readWholeOf(Root, "status", Statuses);
      auto Body = bytesOf(Root.at("body"));
      if (!Status || !Body)
        return Failure{ResultCode::PlatformUnavailable,
                       Status ? Body.error().Detail_ : Status.error().Detail_};
      Value.Answer_.Status_ = static_cast<int>(*Status);
      for (const auto &[Name, Text] : Root.at("fields").items())
        Value.Answer_.Fields_.add(Name, Text.get<std::string>());
      Value.Answer_.Body_ = std::move(*Body);
    }
    return Value;
  } catch (const std::exception &Error) {
    return Failure{ResultCode::PlatformUnavailable, Error.what()};
  }
}

} // namespace

std::string ClaimKey::storeKey() const {
  return "claims/" + Service_.str() + "/" + Customer_.str() + "/" +
         sha256Hex(IdempotencyKey_);
}

Awaitable<void> ClaimStore::pause(std::chrono::milliseconds Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

Awaitable<Result<std::optional<Claim>>> ClaimStore::find(ClaimKey Key) {
  auto Entry = co_await Platform_.Get_(Key.storeKey());
  if (!Entry)
    co_return Entry.error();
  if (!*Entry)
    co_return std::optional<Claim>();
  auto Decoded = decodeClaim(**Entry);
  if (!Decoded)
    co_return Decoded.error();
  co_return std::optional<Claim>(std::move(*Decoded));
}

/// Creates the claim. A create may take effect although its answer is lost, so
/// the claim is read back after a failure. Otherwise the attempt's own claim
/// would be taken for another attempt's, and the request could never run. A
/// retried create carries the same attempt id, so that the stored id identifies
/// the owner, whichever of the creates took effect.
Awaitable<Result<Claim>> ClaimStore::claim(ClaimKey Key, Claim Wanted) {
  KeyValueWrite Write;
  Write.Key_ = Key.storeKey();
  Write.Value_ = encodeClaim(Wanted);
  Write.TimeToLive_ = Options_.Retention_;
  std::string LastError;
  for (int Try = 0; Try < Options_.MaxClaimAttempts_; ++Try) {
    auto Written = co_await Platform_.Put_(Write);
    if (Written) {
      Wanted.Position_ = *Written;
      co_return Wanted;
    }
    LastError = Written.error().Detail_;
    auto Present = co_await find(Key);
    if (Present && *Present)
      co_return std::move(**Present);
    co_await pause(Options_.RetryDelay_);
  }
  co_return Failure{ResultCode::ClaimFailed, LastError};
}

Awaitable<void> ClaimStore::finish(ClaimKey Key, Claim Ended) {
  if (Ended.Answer_.Body_.size() > Options_.MaxAnswerBytes_)
    Ended.State_ = ClaimState::Unknown;
  KeyValueWrite Write;
  Write.Key_ = Key.storeKey();
  Write.Value_ = encodeClaim(Ended);
  Write.Expected_ = Ended.Position_;
  Write.TimeToLive_ = Options_.Retention_;
  for (int Try = 0; Try < Options_.MaxFinishAttempts_; ++Try) {
    auto Written = co_await Platform_.Put_(Write);
    // A conflict can only come from an earlier attempt of this loop, since only
    // the owner writes to a claim.
    if (Written || Written.error().Code_ == ResultCode::VersionConflict)
      co_return;
    co_await pause(Options_.FinishDelay_);
  }
  logEvent(LogCategory::Request, spdlog::level::warn, "claim-not-finished",
           {{"attempt", Ended.Attempt_}});
}

/// Deletes the claim only if it belongs to this attempt: the key may have been
/// released before and claimed by another attempt since.
Awaitable<void> ClaimStore::release(ClaimKey Key, Claim Unused,
                                    bool MayTakeEffectLate) {
  for (int Try = 0; Try < Options_.MaxFinishAttempts_; ++Try) {
    auto Present = co_await find(Key);
    bool Absent = Present && !*Present;
    bool OwnedByOther =
        Present && *Present && (*Present)->Attempt_ != Unused.Attempt_;
    if (OwnedByOther || (Absent && !MayTakeEffectLate))
      co_return;
    if (Present && *Present) {
      auto Deleted =
          co_await Platform_.Delete_(Key.storeKey(), (*Present)->Position_);
      if (Deleted)
        co_return;
    }
    co_await pause(Options_.FinishDelay_);
  }
}

} // namespace samphireshunt
