#include "Connection/PeerMessage.h"

namespace samphireshunt {

namespace {

/// A table takes about 200 bytes once it is decoded. One of a sound message
/// takes 16 bytes or more on the wire, some small ones aside.
constexpr std::size_t MinTableBytes = 16;
constexpr std::size_t SmallTables = 64;

} // namespace

Result<wire::EnvelopeT> decodeMessage(std::string_view Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  // A daemon of another version, or a program that is no daemon, may write to
  // this port. In an unverified buffer, offsets could point outside of it.
  flatbuffers::Verifier::Options Limits;
  // Many entries of a list may refer to one table, and are decoded as many.
  Limits.max_tables = static_cast<flatbuffers::uoffset_t>(
      SmallTables + Bytes.size() / MinTableBytes);
  flatbuffers::Verifier Verifier(Data, Bytes.size(), Limits);
  if (!wire::VerifyEnvelopeBuffer(Verifier))
    return Failure{ResultCode::MalformedRequest, "not a peer message"};
  wire::EnvelopeT Envelope;
  wire::GetEnvelope(Data)->UnPackTo(&Envelope);
  return Envelope;
}

} // namespace samphireshunt
