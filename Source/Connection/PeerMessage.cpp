#include "Connection/PeerMessage.h"

namespace samphireshunt {

Result<wire::EnvelopeT> decodeMessage(std::string_view Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  // A daemon of another version, or a program that is no daemon, may write to
  // this port. In an unverified buffer, offsets could point outside of it.
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  if (!wire::VerifyEnvelopeBuffer(Verifier))
    return Failure{ResultCode::MalformedRequest, "not a peer message"};
  wire::EnvelopeT Envelope;
  wire::GetEnvelope(Data)->UnPackTo(&Envelope);
  return Envelope;
}

} // namespace samphireshunt
