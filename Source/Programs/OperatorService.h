#pragma once
/// \file
/// The HTTP service for operators: health, metrics, status, and the documents
/// in the platform's key-value service for the command-line tool.

#include "Connection/Http.h"
#include "Process/Configuration/Platform.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace samphireshunt {

class OperatorService {
public:
  struct Hooks {
    std::function<bool()> IsReady_;
    std::function<std::string()> Status_;  ///< JSON.
    std::function<std::string()> Metrics_; ///< Prometheus text.
    std::function<std::string()> Vms_;     ///< JSON, in the platform's format.
  };

  OperatorService(PlatformHooks Platform, Hooks Callbacks);
  Awaitable<void> handle(HttpExchange &Exchange);

private:
  Awaitable<HttpResponse> answer(const HttpRequest &Request);
  Awaitable<HttpResponse> keyValue(const HttpRequest &Request);
  Awaitable<HttpResponse> list(const HttpRequest &Request);

  PlatformHooks Platform_;
  Hooks Hooks_;
};

} // namespace samphireshunt
