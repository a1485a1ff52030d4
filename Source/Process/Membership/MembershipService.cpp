#include "Process/Membership/MembershipService.h"

#include "Connection/Spawn.h"

namespace samphireshunt {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

Result<MembershipService::Udp::socket>
MembershipService::bind(asio::io_context &Control, const Endpoint &Address) {
  Udp::endpoint Local(Address.address(), Address.port());
  error_code Error;
  Udp::socket Socket(Control);
  Socket.open(Local.protocol(), Error);
  if (!Error)
    Socket.bind(Local, Error);
  if (Error)
    return Failure{ResultCode::BadSetting, "can't bind UDP " +
                                               formatEndpoint(Address) + ": " +
                                               Error.message()};
  return Socket;
}

std::unique_ptr<MembershipService>
MembershipService::create(asio::io_context &Control, Udp::socket Socket,
                          MemberTable &Members, Options Settings,
                          Hooks Callbacks) {
  return std::unique_ptr<MembershipService>(new MembershipService(
      Control, std::move(Socket), Members, Settings, std::move(Callbacks)));
}

MembershipService::MembershipService(asio::io_context &Control,
                                     Udp::socket Socket, MemberTable &Members,
                                     Options Settings, Hooks Callbacks)
    : Socket_(std::move(Socket)), Timer_(Control),
      Protocol_(Members, Settings, std::move(Callbacks),
                [this](const Endpoint &To, const std::string &Datagram) {
                  send(To, Datagram);
                }) {}

void MembershipService::start() {
  receiveNext();
  schedule(steady_clock::now() + Protocol_.options().Period_);
}

void MembershipService::stop() {
  error_code Ignored;
  Socket_.close(Ignored);
  Timer_.cancel();
}

void MembershipService::schedule(TimePoint Next) {
  Timer_.expires_at(Next);
  Timer_.async_wait([this](const error_code &Error) {
    if (Error)
      return;
    auto Now = steady_clock::now();
    Protocol_.onLateTimer(Now - Timer_.expiry(), Now);
    TimePoint Next = Now + Protocol_.options().Period_;
    runLogged("membership-step", [&] { Next = Protocol_.step(Now); });
    schedule(Next);
  });
}

void MembershipService::receiveNext() {
  Socket_.async_receive_from(
      asio::buffer(Buffer_), Sender_,
      [this](const error_code &Error, std::size_t Count) {
        if (Error == asio::error::operation_aborted || !Socket_.is_open())
          return;
        auto Receive = [this, Count] {
          Protocol_.receive(std::string_view(Buffer_.data(), Count),
                            Endpoint(Sender_.address(), Sender_.port()),
                            steady_clock::now());
        };
        if (!Error)
          runLogged("receive-datagram", Receive);
        receiveNext();
      });
}

void MembershipService::send(const Endpoint &To, const std::string &Datagram) {
  error_code Ignored;
  // Never blocks: if the send buffer is full the datagram is lost, as it may be
  // on any network.
  Socket_.non_blocking(true, Ignored);
  Socket_.send_to(asio::buffer(Datagram),
                  Udp::endpoint(To.address(), To.port()), 0, Ignored);
}

} // namespace samphireshunt
