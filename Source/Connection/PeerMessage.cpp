#include "Connection/PeerMessage.h"

namespace samphireshunt {

namespace {

/// A table takes about 200 bytes once it is decoded. One of a sound message
/// takes 16 bytes or more on the wire, some small ones aside.
constexpr std::size_t MinTableBytes = 16;
constexpr std::size_t SmallTables = 64;

std::size_t sizeOf(const flatbuffers::String *Text) {
  return Text ? Text->size() : 0;
}

std::size_t textOf(const wire::Member &Entry) {
  return sizeOf(Entry.vm()) + sizeOf(Entry.address()) +
         sizeOf(Entry.operators()) + sizeOf(Entry.data_center());
}
std::size_t textOf(const wire::ServiceVersion &Entry) {
  return sizeOf(Entry.service());
}
std::size_t textOf(const wire::Floor &Entry) {
  return sizeOf(Entry.service()) + sizeOf(Entry.pool());
}
std::size_t textOf(const flatbuffers::String &Entry) { return Entry.size(); }

/// \returns the bytes of text of a list once it is decoded.
template <class List> std::size_t textIn(const List *Entries) {
  std::size_t Sum = 0;
  if (Entries)
    for (const auto *Entry : *Entries)
      Sum += textOf(*Entry);
  return Sum;
}

template <class Gossip> std::size_t textIn(const Gossip &Message) {
  return textIn(Message.members()) + textIn(Message.versions()) +
         textIn(Message.floors());
}

/// \returns the bytes of text in the lists of a verified message. Entries may
/// name one text many times, and each is decoded by itself.
std::size_t listedText(const wire::Envelope &Message) {
  if (const auto *Probe = Message.body_as_Probe())
    return textIn(*Probe);
  if (const auto *Ack = Message.body_as_ProbeAck())
    return textIn(*Ack);
  if (const auto *Ask = Message.body_as_Ask())
    return textIn(Ask->excluded());
  if (const auto *State = Message.body_as_State())
    return textIn(State->unsure());
  return 0;
}

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
  if (listedText(*wire::GetEnvelope(Data)) > Bytes.size())
    return Failure{ResultCode::MalformedRequest, "texts named many times"};
  wire::EnvelopeT Envelope;
  wire::GetEnvelope(Data)->UnPackTo(&Envelope);
  return Envelope;
}

} // namespace samphireshunt
