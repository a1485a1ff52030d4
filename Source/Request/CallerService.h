#pragma once
/// \file
/// Handles callers' requests on one worker: validates a request against the
/// configuration and runs it.

#include "Request/RequestContext.h"
#include "Request/WaitPlan.h"

#include <functional>
#include <memory>
#include <set>

namespace samphireshunt {

class CallerService {
public:
  CallerService(RequestServices Services, std::function<bool()> IsReady,
                std::function<RequestId()> NextId);

  /// Validates and runs one request and writes its final answer.
  Awaitable<void> handle(HttpExchange &Exchange);
  /// Ends what the stop of the daemon leaves no time for. Called again and
  /// again during the stop, on the worker.
  void endAtStop();
  /// Decides from the head of a request with a large body whether a customer of
  /// this daemon sends it. May be called on any thread. \returns why not.
  std::optional<Failure> checkHead(const HttpRequest &Head) const;

private:
  std::optional<Verdict> check(RequestContext &Context);
  std::optional<Verdict> checkRoute(RequestContext &Context) const;
  std::optional<Verdict> checkForwarded(RequestContext &Context);
  /// \returns why no request is served now.
  std::optional<Failure> checkServing() const;
  ResultCode codeIfFresh(ResultCode Code) const;
  Verdict refusedIfFresh(ResultCode Code, std::string Detail) const;
  const Pool *choosePool(const RequestContext &Context) const;
  std::optional<Verdict> checkCustomer(RequestContext &Context) const;
  std::optional<Verdict> checkDeadline(RequestContext &Context) const;
  std::optional<Verdict> checkModelBody(RequestContext &Context) const;

  RequestServices Services_;
  RetryDetector RetryDetector_;
  std::function<bool()> IsReady_;
  std::function<RequestId()> NextId_;
  /// Shared by the requests, which may end after this service.
  std::shared_ptr<std::set<const RequestContext *>> Current_ =
      std::make_shared<std::set<const RequestContext *>>();
};

} // namespace samphireshunt
