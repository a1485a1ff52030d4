#include "Connection/PeerMessage.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace samphireshunt;

namespace {

std::string sampleProbe() {
  wire::ProbeT Probe;
  Probe.sequence = 7;
  Probe.sender = std::make_unique<wire::MemberT>();
  Probe.sender->vm = "vm-1";
  Probe.sender->address = "10.0.0.1:7946";
  auto Version = std::make_unique<wire::ServiceVersionT>();
  Version->service = "s";
  Version->version = 3;
  Probe.versions.push_back(std::move(Version));
  return encodeMessage(std::move(Probe));
}

} // namespace

TEST_CASE("a message comes back as it was sent") {
  auto Decoded = decodeMessage(sampleProbe());
  REQUIRE(Decoded.has_value());
  const auto *Probe = Decoded->body.AsProbe();
  REQUIRE(Probe != nullptr);
  CHECK(Probe->sequence == 7);
  CHECK(Probe->sender->vm == "vm-1");
  CHECK(Probe->versions.at(0)->version == 3);
}

TEST_CASE(
    "bytes that were changed on the way never reach out of their buffer") {
  // Symptom: a daemon dies of one datagram.
  // Sequence: a peer of another release, or no peer, writes to the port.
  // Cause: offsets in the bytes were followed unchecked.
  bool Holds = rc::check([] {
    std::string Bytes = sampleProbe();
    auto Changes = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Bytes.size())),
                      rc::gen::inRange(0, 256)));
    for (auto [Place, Byte] : Changes)
      Bytes[static_cast<std::size_t>(Place)] = static_cast<char>(Byte);
    Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
    decodeMessage(Bytes); // Under a sanitizer or not, it must return.
  });
  CHECK(Holds);
  CHECK_FALSE(decodeMessage("").has_value());
  CHECK_FALSE(decodeMessage("not a message at all").has_value());
}
