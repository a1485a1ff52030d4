#include "StandinMain.h"

#include "Connection/MemoryBudget.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace samphireshunt::standins {

namespace asio = boost::asio;

int serve(asio::io_context &Context, const std::string &Address,
          HttpHandler Handler) {
  auto Parsed = parseEndpoint(Address);
  if (!Parsed) {
    fmt::print(stderr, "{}\n", Parsed.error().Detail_);
    return 2;
  }
  HttpServerOptions Options;
  Options.Address_ = *Parsed;
  Options.MaxBodyBytes_ = 16 * 1024 * 1024;
  Options.ReadTimeout_ = std::chrono::hours(1);
  Options.Handler_ = std::move(Handler);
  auto Server = HttpServer::create(
      Context, {&Context}, MemoryBudget::unlimited(), std::move(Options));
  if (!Server) {
    fmt::print(stderr, "{}\n", Server.error().Detail_);
    return 2;
  }
  Json Line = {{"event", "listening"},
               {"address", formatEndpoint((*Server)->address())}};
  fmt::print("{}\n", Line.dump());
  std::fflush(stdout);
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait(
      [&Context](const boost::system::error_code &, int) { Context.stop(); });
  Context.run();
  return 0;
}

Awaitable<void> sleepFor(std::chrono::milliseconds Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

HttpResponse jsonAnswer(int Status, const Json &Body) {
  // A stored value may be no UTF-8, which a JSON text can't contain.
  constexpr auto Replace = Json::error_handler_t::replace;
  return jsonResponse(Status, Body.dump(-1, ' ', false, Replace));
}

Json jsonBody(const HttpRequest &Request) {
  Json Body = Json::parse(Request.Body_, nullptr, false);
  return Body.is_object() ? Body : Json::object();
}

} // namespace samphireshunt::standins
