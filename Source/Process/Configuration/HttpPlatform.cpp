#include "Common/BoundedNumber.h"
#include "Process/Configuration/ItemReader.h"
#include "Process/Configuration/Platform.h"
#include "Process/Configuration/StoreEraHeader.h"

#include <fmt/format.h>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

StorePosition positionFromJson(const StoreAnswer &Body, const Json &Holder) {
  return {Body.Era_, Revision(readUnsignedOf(Holder, "revision").value())};
}

KeyValue keyValueFromJson(const StoreAnswer &Body, const Json &Entry) {
  return {Entry.at("key").get<std::string>(),
          Entry.at("value").get<std::string>(), positionFromJson(Body, Entry)};
}

Result<KeyValueList> listFromJson(const StoreAnswer &Body) {
  KeyValueList List;
  ItemReader Read = [&Body](const Json &Entry) -> Result<KeyValue> {
    return keyValueFromJson(Body, Entry);
  };
  auto Done = readItems(Body, Body.Root_.at("entries"), {"key", "revision"},
                        Read, List);
  if (!Done)
    return Done.error();
  List.Position_ = positionFromJson(Body, Body.Root_);
  return List;
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

/// Makes one call. A status of 200 returns the body; any other becomes a
/// failure.
Awaitable<Result<StoreAnswer>> call(Endpoint Address, HttpRequest Request,
                                    milliseconds Timeout) {
  auto Response = co_await httpCall(Address, std::move(Request), Timeout,
                                    MaxStoreAnswerBytes);
  if (!Response)
    co_return Failure{ResultCode::PlatformUnavailable,
                      Response.error().Detail_};
  if (Response->Status_ == 404)
    co_return Failure{ResultCode::NotFound, ""};
  if (Response->Status_ == 409)
    co_return Failure{ResultCode::VersionConflict, Response->Body_};
  auto Era = storeEraOf(Response->Fields_);
  if (!Era)
    co_return Era.error();
  if (Response->Status_ != 200)
    co_return Failure{ResultCode::PlatformUnavailable,
                      fmt::format("status {}", Response->Status_)};
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

Awaitable<Result<std::optional<KeyValue>>>
get(Endpoint Address, milliseconds Timeout, std::string Key) {
  HttpRequest Request;
  Request.Target_ = "/v1/kv/" + Key;
  auto Body = co_await call(Address, std::move(Request), Timeout);
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

Awaitable<Result<KeyValueList>> list(Endpoint Address, milliseconds Timeout,
                                     std::string Prefix) {
  HttpRequest Request;
  Request.Target_ = "/v1/list?prefix=" + Prefix;
  auto Body = co_await call(Address, std::move(Request), Timeout);
  co_return convert<KeyValueList>(Body, listFromJson);
}

Awaitable<Result<KeyValueList>> watch(Endpoint Address, milliseconds Timeout,
                                      std::string Prefix, StorePosition After,
                                      milliseconds Wait) {
  HttpRequest Request;
  Request.Target_ = fmt::format("/v1/watch?prefix={}&after={}&waitMs={}",
                                Prefix, After.Revision_.count(), Wait.count());
  // A time limit ends a watch that never returns, since it would report no
  // changes.
  auto Body = co_await call(Address, std::move(Request), Timeout + Wait);
  co_return convert<KeyValueList>(Body, listFromJson);
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

PlatformHooks httpPlatform(Endpoint Address, milliseconds Timeout) {
  PlatformHooks Hooks;
  Hooks.Get_ = [=](std::string Key) { return get(Address, Timeout, Key); };
  Hooks.Put_ = [=](KeyValueWrite Write) {
    return put(Address, Timeout, Write);
  };
  Hooks.Delete_ = [=](std::string Key, StorePosition Expected) {
    return remove(Address, Timeout, Key, Expected);
  };
  Hooks.List_ = [=](std::string Prefix) {
    return list(Address, Timeout, Prefix);
  };
  Hooks.Watch_ = [=](std::string Prefix, StorePosition After,
                     milliseconds Wait) {
    return watch(Address, Timeout, Prefix, After, Wait);
  };
  Hooks.Vms_ = [=]() { return vms(Address, Timeout); };
  return Hooks;
}

} // namespace samphireshunt
