#include "Connection/Spawn.h"

#include "Common/Log.h"

#include <string>

namespace samphireshunt {

namespace {

std::string describe(std::exception_ptr Cause) {
  try {
    std::rethrow_exception(std::move(Cause));
  } catch (const std::exception &Error) {
    return Error.what();
  } catch (...) {
    return "exception of unknown type";
  }
}

} // namespace

void logEscapedException(std::string_view Name, std::exception_ptr Cause) {
  logEvent(LogCategory::Process, spdlog::level::err, "coroutine-failed",
           {{"coroutine", std::string(Name)},
            {"detail", describe(std::move(Cause))}});
}

void runContext(boost::asio::io_context &Context) {
  while (!runLogged("event-loop", [&Context] { Context.run(); })) {
  }
}

} // namespace samphireshunt
