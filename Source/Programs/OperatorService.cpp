#include "Programs/OperatorService.h"

#include "Process/Configuration/StoreEraHeader.h"
#include "Request/FinalAnswer.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace samphireshunt {

namespace {

using Json = nlohmann::json;

constexpr std::string_view KeyPath = "/v1/kv/";

HttpResponse errorResponse(const Failure &Cause) {
  Verdict Ended;
  Ended.Code_ = Cause.Code_;
  Ended.Detail_ = Cause.Detail_;
  return jsonResponse(httpStatus(Ended), errorBody(Ended));
}

HttpResponse responseWithEra(const Json &Body, StoreEra Era) {
  HttpResponse Response = jsonResponse(200, Body.dump());
  Response.Fields_[StoreEraField] = std::to_string(Era.count());
  return Response;
}

Json entryToJson(const KeyValue &Entry) {
  return {{"key", Entry.Key_},
          {"value", Entry.Value_},
          {"revision", Entry.Position_.Revision_.count()}};
}

/// True for keys of documents and their history, the only ones accessible to
/// operators. Claims are not.
bool isDocumentKey(std::string_view Key) {
  return Key.starts_with("config/") || Key.starts_with("history/");
}

std::uint64_t numberParameter(const HttpRequest &Request,
                              std::string_view Name) {
  std::string Text = Request.queryParameter(Name);
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

OperatorService::OperatorService(PlatformHooks Platform, Hooks Callbacks)
    : Platform_(std::move(Platform)), Hooks_(std::move(Callbacks)) {}

Awaitable<void> OperatorService::handle(HttpExchange &Exchange) {
  HttpResponse Response = co_await answer(Exchange.request());
  co_await Exchange.respond(std::move(Response));
}

Awaitable<HttpResponse> OperatorService::answer(const HttpRequest &Request) {
  std::string_view Path = Request.path();
  if (Path == "/healthz")
    co_return jsonResponse(200, "{\"healthy\":true}");
  if (Path == "/readyz") {
    bool Ready = Hooks_.IsReady_();
    co_return jsonResponse(Ready ? 200 : 503,
                           Ready ? "{\"ready\":true}" : "{\"ready\":false}");
  }
  if (Path == "/status")
    co_return jsonResponse(200, Hooks_.Status_());
  if (Path == "/v1/vms")
    co_return jsonResponse(200, Hooks_.Vms_());
  if (Path == "/metrics") {
    HttpResponse Response;
    Response.Fields_["content-type"] = "text/plain; version=0.0.4";
    Response.Body_ = Hooks_.Metrics_();
    co_return Response;
  }
  if (Path == "/v1/list")
    co_return co_await list(Request);
  if (Path.starts_with(KeyPath))
    co_return co_await keyValue(Request);
  co_return errorResponse({ResultCode::NotFound, std::string(Path)});
}

Awaitable<HttpResponse> OperatorService::list(const HttpRequest &Request) {
  std::string Prefix = Request.queryParameter("prefix");
  if (!isDocumentKey(Prefix))
    co_return errorResponse({ResultCode::NotFound, Prefix});
  auto Listed = co_await Platform_.List_(Prefix);
  if (!Listed)
    co_return errorResponse(Listed.error());
  Json Body;
  Body["entries"] = Json::array();
  for (const KeyValue &Entry : Listed->Entries_)
    Body["entries"].push_back(entryToJson(Entry));
  Body["revision"] = Listed->Position_.Revision_.count();
  co_return responseWithEra(Body, Listed->Position_.Era_);
}

Awaitable<HttpResponse> OperatorService::keyValue(const HttpRequest &Request) {
  std::string Key(Request.path().substr(KeyPath.size()));
  if (!isDocumentKey(Key))
    co_return errorResponse({ResultCode::NotFound, Key});
  if (Request.Method_ == "GET") {
    auto Entry = co_await Platform_.Get_(Key);
    if (!Entry)
      co_return errorResponse(Entry.error());
    if (!*Entry)
      co_return errorResponse({ResultCode::NotFound, Key});
    co_return responseWithEra(entryToJson(**Entry), (*Entry)->Position_.Era_);
  }
  KeyValueWrite Write;
  Write.Key_ = Key;
  Write.Value_ = Request.Body_;
  Write.Expected_ = {StoreEra(numberParameter(Request, "era")),
                     Revision(numberParameter(Request, "expect"))};
  auto Written = co_await Platform_.Put_(Write);
  if (!Written)
    co_return errorResponse(Written.error());
  Json Body;
  Body["revision"] = Written->Revision_.count();
  co_return responseWithEra(Body, Written->Era_);
}

} // namespace samphireshunt
