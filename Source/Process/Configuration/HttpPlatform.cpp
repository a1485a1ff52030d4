#include "Common/BoundedNumber.h"
#include "Process/Configuration/ItemReader.h"
#include "Process/Configuration/Platform.h"
#include "Process/Configuration/StoreEraHeader.h"

#include <fmt/format.h>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int StatusOk = 200;

StorePosition positionFromJson(const StoreAnswer &Body, const Json &Holder) {
  return {Body.Era_, Revision(readUnsignedOf(Holder, "revision").value())};
}

KeyValue keyValueFromJson(const StoreAnswer &Body, const Json &Entry) {
  return {Entry.at("key").get<std::string>(),
          Entry.at("value").get<std::string>(), positionFromJson(Body, Entry)};
}

AnswerSplitter::Limits boundsOf(const StoreLimits &Limits) {
  // Escaping at most doubles a text. An answer has other values beside it.
  std::size_t MaxText = 2 * Limits.MaxValueBytes_ + AnswerSplitter::Quotes;
  return {MaxText, std::max(MaxStoreAnswerBytes, 2 * MaxText)};
}

ListFormat listFormat(const StoreLimits &Limits) {
  ListFormat Format;
  Format.MaxValueBytes_ = Limits.MaxValueBytes_;
  Format.Items_ = "entries";
  Format.Key_ = "key";
  Format.Revision_ = "revision";
  Format.Read_ = [](const StoreAnswer &Entry) -> Result<KeyValue> {
    return keyValueFromJson(Entry, Entry.Root_);
  };
  return Format;
}

ListedVm vmFromJson(const Json &Entry) {
  ListedVm Vm;
  Vm.Id_ = VmId(Entry.at("id").get<std::string>());
  Vm.Role_ = Entry.at("role") == "backend" ? VmRole::Backend : VmRole::System;
  Vm.Leaving_ = Entry.at("state") == "leaving";
  Vm.Address_ = Entry.at("address").get<std::string>();
  Vm.OperatorAddress_ = Entry.value("operators", "");
  return Vm;
}

/// \returns what a status other than 200 means.
Failure failureOf(const HttpResponse &Answer) {
  constexpr int StatusNotFound = 404;
  constexpr int StatusConflict = 409;
  if (Answer.Status_ == StatusNotFound)
    return {ResultCode::NotFound, ""};
  if (Answer.Status_ == StatusConflict)
    return {ResultCode::VersionConflict, Answer.Body_};
  if (auto Era = storeEraOf(Answer.Fields_); !Era)
    return Era.error();
  return {ResultCode::PlatformUnavailable,
          fmt::format("status {}", Answer.Status_)};
}

/// Makes one call. A status of 200 returns the body; any other becomes a
/// failure.
Awaitable<Result<StoreAnswer>>
call(Endpoint Address, HttpRequest Request, milliseconds Timeout,
     std::size_t MaxBytes = MaxStoreAnswerBytes) {
  auto Response =
      co_await httpCall(Address, std::move(Request), Timeout, MaxBytes);
  if (!Response)
    co_return Failure{ResultCode::PlatformUnavailable,
                      Response.error().Detail_};
  if (Response->Status_ != StatusOk)
    co_return failureOf(*Response);
  auto Era = storeEraOf(Response->Fields_);
  if (!Era)
    co_return Era.error();
  co_return readStoreAnswer(Response->Body_, *Era);
}

/// Runs \p Convert on the body. A body of an unexpected structure is a failure
/// of the service, not of this program.
template <class Value, class Function>
Result<Value> convert(const Result<StoreAnswer> &Body, Function Convert) {
  if (!Body)
    return Body.error();
  return readGuarded<Value>(ResultCode::PlatformUnavailable,
                            [&]() -> Result<Value> { return Convert(*Body); });
}

Awaitable<Result<std::optional<KeyValue>>> get(Endpoint Address,
                                               milliseconds Timeout,
                                               std::string Key,
                                               StoreLimits Limits) {
  HttpRequest Request;
  Request.Target_ = "/v1/kv/" + Key;
  auto Body = co_await call(Address, std::move(Request), Timeout,
                            boundsOf(Limits).MaxAnswer_);
  if (!Body && Body.error().Code_ == ResultCode::NotFound)
    co_return std::optional<KeyValue>();
  co_return convert<std::optional<KeyValue>>(
      Body, [](const StoreAnswer &Entry) {
        return std::optional(keyValueFromJson(Entry, Entry.Root_));
      });
}

Awaitable<Result<StorePosition>> put(Endpoint Address, milliseconds Timeout,
                                     KeyValueWrite Write) {
  HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Target_ =
      fmt::format("/v1/kv/{}?expect={}&era={}&ttlMs={}", Write.Key_,
                  Write.Expected_.Revision_.count(),
                  Write.Expected_.Era_.count(), Write.TimeToLive_.count());
  Request.Body_ = std::move(Write.Value_);
  auto Body = co_await call(Address, std::move(Request), Timeout);
  if (Body && spansEras(Write.Expected_, Body->Era_))
    co_return Failure{ResultCode::StoreRestored, "a write spans two eras"};
  co_return convert<StorePosition>(Body, [](const StoreAnswer &Done) {
    return positionFromJson(Done, Done.Root_);
  });
}

Awaitable<Result<void>> remove(Endpoint Address, milliseconds Timeout,
                               std::string Key, StorePosition Expected) {
  HttpRequest Request;
  Request.Method_ = "DELETE";
  Request.Target_ =
      fmt::format("/v1/kv/{}?expect={}", Key, Expected.Revision_.count());
  auto Body = co_await call(Address, std::move(Request), Timeout);
  if (!Body)
    co_return Body.error();
  co_return Result<void>();
}

Result<KeyValueList> readList(IncomingList &Incoming) {
  KeyValueList List;
  auto Body = Incoming.finish(List);
  return convert<KeyValueList>(
      Body, [&List](const StoreAnswer &Read) -> Result<KeyValueList> {
        if (!Read.Root_.contains("entries"))
          return Failure{ResultCode::PlatformUnavailable, "no entries"};
        List.Position_ = positionFromJson(Read, Read.Root_);
        return std::move(List);
      });
}

/// Makes one call for a list, which is read while it comes.
Awaitable<Result<KeyValueList>> callForList(Endpoint Address,
                                            HttpRequest Request,
                                            milliseconds Timeout,
                                            StoreLimits Limits) {
  AnswerSplitter::Limits Bounds = boundsOf(Limits);
  auto Incoming = std::make_shared<IncomingList>(
      listFormat(Limits), Bounds,
      [](const HttpFields &Fields) { return storeEraOf(Fields); });
  HttpBodyHooks Hooks = IncomingList::hooks(Incoming, {});
  HttpCallLimits Times{Timeout, Timeout, milliseconds(0)};
  auto Response = co_await httpCallInParts(Address, std::move(Request), Times,
                                           std::move(Hooks));
  if (!Response)
    co_return Failure{ResultCode::PlatformUnavailable,
                      Response.error().Detail_};
  if (Response->Status_ != StatusOk)
    co_return failureOf(*Response);
  co_return readList(*Incoming);
}

Awaitable<Result<KeyValueList>> list(Endpoint Address, milliseconds Timeout,
                                     std::string Prefix, StoreLimits Limits) {
  HttpRequest Request;
  Request.Target_ = "/v1/list?prefix=" + Prefix;
  co_return co_await callForList(std::move(Address), std::move(Request),
                                 Timeout, Limits);
}

Awaitable<Result<KeyValueList>> watch(Endpoint Address, milliseconds Timeout,
                                      std::string Prefix, StorePosition After,
                                      milliseconds Wait, StoreLimits Limits) {
  HttpRequest Request;
  Request.Target_ = fmt::format("/v1/watch?prefix={}&after={}&waitMs={}",
                                Prefix, After.Revision_.count(), Wait.count());
  // A time limit ends a watch that never returns, since it would report no
  // changes.
  co_return co_await callForList(std::move(Address), std::move(Request),
                                 Timeout + Wait, Limits);
}

Awaitable<Result<std::vector<ListedVm>>> vms(Endpoint Address,
                                             milliseconds Timeout) {
  HttpRequest Request;
  Request.Target_ = "/v1/vms";
  auto Body = co_await call(Address, std::move(Request), Timeout);
  co_return convert<std::vector<ListedVm>>(Body, [](const StoreAnswer &Listed) {
    std::vector<ListedVm> List;
    for (const Json &Entry : Listed.Root_.at("vms"))
      List.push_back(vmFromJson(Entry));
    return List;
  });
}

} // namespace

PlatformHooks httpPlatform(Endpoint Address, milliseconds Timeout,
                           StoreLimits Limits) {
  PlatformHooks Hooks;
  Hooks.Get_ = [=](std::string Key) {
    return get(Address, Timeout, Key, Limits);
  };
  Hooks.Put_ = [=](KeyValueWrite Write) {
    return put(Address, Timeout, Write);
  };
  Hooks.Delete_ = [=](std::string Key, StorePosition Expected) {
    return remove(Address, Timeout, Key, Expected);
  };
  Hooks.List_ = [=](std::string Prefix) {
    return list(Address, Timeout, Prefix, Limits);
  };
  Hooks.Watch_ = [=](std::string Prefix, StorePosition After,
                     milliseconds Wait) {
    return watch(Address, Timeout, Prefix, After, Wait, Limits);
  };
  Hooks.Vms_ = [=]() { return vms(Address, Timeout); };
  return Hooks;
}

} // namespace samphireshunt
