#pragma once
/// \file
/// Encoding and validated decoding of the messages between daemons.

#include "Common/Ids.h"
#include "Common/ResultCode.h"
#include "Generated/Peer_generated.h"

#include <string>
#include <string_view>

namespace samphireshunt {

/// Maximum size of a frame; longer ones are refused. A document of one megabyte
/// fits.
inline constexpr std::size_t MaxFrameBytes = 4 * 1024 * 1024;

/// Encodes any body table of the schema as one Envelope.
template <class BodyTable> std::string encodeMessage(BodyTable Body) {
  wire::EnvelopeT Envelope;
  Envelope.body.Set(std::move(Body));
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::Envelope::Pack(Builder, &Envelope));
  return std::string(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
                     Builder.GetSize());
}

/// Decodes one message.
/// \returns MalformedRequest when \p Bytes is not a valid Envelope.
Result<wire::EnvelopeT> decodeMessage(std::string_view Bytes);

inline RequestId fromWire(const std::unique_ptr<wire::Id> &Id) {
  return Id ? RequestId{Id->origin(), Id->sequence()} : RequestId{};
}
inline std::unique_ptr<wire::Id> toWire(RequestId Id) {
  return std::make_unique<wire::Id>(Id.Origin_, Id.Sequence_);
}

} // namespace samphireshunt
