#include "Connection/PeerMessage.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

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

/// \returns a probe whose list refers \p Count times to one member with the
/// name \p Vm.
std::string probeNamingOne(const std::string &Vm, std::size_t Count) {
  flatbuffers::FlatBufferBuilder Copy;
  auto Known = wire::CreateMember(Copy, Copy.CreateString(Vm));
  auto List = Copy.CreateVector(
      std::vector<flatbuffers::Offset<wire::Member>>(Count, Known));
  wire::ProbeBuilder Probe(Copy);
  Probe.add_members(List);
  auto Body = Probe.Finish();
  wire::EnvelopeBuilder Envelope(Copy);
  Envelope.add_body_type(wire::Body::Probe);
  Envelope.add_body(Body.Union());
  Copy.Finish(Envelope.Finish());
  return {reinterpret_cast<const char *>(Copy.GetBufferPointer()),
          Copy.GetSize()};
}

} // namespace

TEST_CASE("a decoded message equals the encoded one") {
  auto Decoded = decodeMessage(sampleProbe());
  REQUIRE(Decoded.has_value());
  const auto *Probe = Decoded->body.AsProbe();
  REQUIRE(Probe != nullptr);
  CHECK(Probe->sequence == 7);
  CHECK(Probe->sender->vm == "vm-1");
  CHECK(Probe->versions.at(0)->version == 3);
}

TEST_CASE("decoding modified bytes never reads outside of their buffer") {
  // A daemon of another version, or a program that is no daemon, writes to the
  // port. If offsets in the bytes were followed unverified, one datagram could
  // crash the daemon.
  bool Holds = rc::check([] {
    std::string Bytes = sampleProbe();
    auto Changes = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Bytes.size())),
                      rc::gen::inRange(0, 256)));
    for (auto [Place, Byte] : Changes)
      Bytes[static_cast<std::size_t>(Place)] = static_cast<char>(Byte);
    Bytes.resize(*rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
    decodeMessage(Bytes); // Must return, also under a sanitizer.
  });
  CHECK(Holds);
  CHECK_FALSE(decodeMessage("").has_value());
  CHECK_FALSE(decodeMessage("not a message at all").has_value());
}

TEST_CASE("a list that refers to one table many times is no message") {
  // Guards against a frame that takes fifty times its size once it is decoded.
  for (std::size_t Count : {std::size_t{10}, std::size_t{500000}}) {
    std::string Bytes = probeNamingOne("vm", Count);
    CHECK(Bytes.size() < MaxFrameBytes);
    CHECK(decodeMessage(Bytes).has_value() == (Count == 10));
  }
}

TEST_CASE("entries that name one text many times are no message") {
  // Guards against a datagram that takes a gigabyte once it is decoded. Of the
  // three, only the last has more entries than tables are allowed.
  const std::string Text(30000, 'x');
  for (std::size_t Count :
       {std::size_t{1}, std::size_t{2000}, std::size_t{4000}}) {
    std::string Bytes = probeNamingOne(Text, Count);
    CHECK(Bytes.size() < 65536);
    CHECK(decodeMessage(Bytes).has_value() == (Count == 1));
  }
}
