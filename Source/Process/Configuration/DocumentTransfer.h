#pragma once
/// \file
/// Transfers the configuration's text from one daemon to another in small
/// chunks, each requested after the previous one has arrived. Pure.
///
/// A text of a megabyte takes a second on a link of 10 Mbit/s. Sent in one
/// message, it blocks everything else, the reader's answer misses its deadline,
/// the follower asks another reader, and that one starts again from the
/// beginning: the link stays full and the text never arrives. Operators notice
/// this by `reader-passed-over` lines after each change and by code 213 at
/// daemons on weak links. Chunks keep every message short, and only what
/// changed is sent.

#include "Common/Ids.h"
#include "Connection/PeerMessage.h"
#include "Process/Configuration/Platform.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace samphireshunt {

/// Twelve followers of a reader that wait for one chunk each delay its answer
/// by 0.16 s on a link of 10 Mbit/s, less than the 0.4 s that an answer may
/// take.
inline constexpr std::size_t TextChunkBytes = 16 * 1024;

/// The longest text that is held or requested unless another bound is set, so
/// that a wrong size can't exhaust the memory.
inline constexpr std::size_t MaxTextBytes = 8 * 1024 * 1024;

/// \returns the longest text of a configuration that a process with
/// \p ProcessMemory bytes takes in, in bytes; 0 is unknown memory. While a text
/// is read, it takes less than five times its size as routes, and the text
/// itself and the version that it replaces are held beside it.
constexpr std::size_t maxTextBytesFor(std::size_t ProcessMemory) {
  constexpr std::size_t MemoryPerByte = 8;
  constexpr std::size_t OwnBytes = 24 * 1024 * 1024;
  // A text and its prefix fit into the largest window of the compression.
  constexpr std::size_t Largest = 64 * 1024 * 1024;
  if (ProcessMemory == 0)
    return Largest;
  std::size_t Free = ProcessMemory - std::min(ProcessMemory, OwnBytes);
  return std::clamp(Free / MemoryPerByte, MaxTextBytes, Largest);
}

/// The texts that this daemon has, compressed: the newest, some earlier ones,
/// and those that other daemons are receiving or have.
class DocumentTexts {
public:
  /// \p MaxBytes is the size of the longest text that is stored.
  explicit DocumentTexts(std::size_t MaxBytes = MaxTextBytes)
      : MaxBytes_(MaxBytes) {}
  /// Stores a text. Does nothing unless \p Number is newer than all stored
  /// texts.
  void store(DocumentVersion Number, const std::string &Text);
  /// \returns nothing if the text is not stored.
  std::optional<std::string> find(DocumentVersion Number) const;
  /// The newest stored version; 0 if there is none.
  DocumentVersion newest() const;
  /// The requested chunk; without bytes if the text is not available, or if the
  /// newest one would arrive sooner than the rest of it.
  wire::TextPartT chunk(const wire::TextAskT &Request);

private:
  /// The newest text and two earlier ones, since changes may come seconds
  /// apart.
  static constexpr std::size_t MaxTexts = 3;
  /// Of the texts that were asked for, or that are prefixes of these: where
  /// texts change faster than they are transferred, followers are at different
  /// ones.
  static constexpr std::size_t MaxAskedTexts = 8;
  /// The text in transfer and the newest one are compared for each chunk.
  static constexpr std::size_t MinPackings = 2;

  struct StoredText {
    std::string Packed_; ///< Compressed without a prefix.
    std::size_t Size_ = 0;
    std::uint64_t Hash_ = 0;
    std::uint64_t Asked_ = 0; ///< Number of the last request; 0: none.
  };
  struct Packing {
    std::string Bytes_;
    std::uint64_t Used_ = 0;
  };

  /// The text \p Number, compressed with the text \p PrefixVersion as prefix.
  /// Compressed once for all daemons that ask. Both must be stored.
  const std::string &packed(DocumentVersion Number,
                            DocumentVersion PrefixVersion);
  /// The version of the prefix with which \p Number is sent to a daemon that
  /// has \p Known; 0 is none.
  DocumentVersion prefixFor(DocumentVersion Number,
                            DocumentVersion Known) const;
  /// True if the newest text is smaller than the \p Left bytes of \p Wanted,
  /// for a daemon that has \p Known.
  bool newestIsSooner(DocumentVersion Wanted, DocumentVersion Known,
                      std::size_t Left);
  void forgetTexts();
  void forgetPackings();
  /// How many bytes the earlier texts may take together: as many as one that is
  /// not compressed.
  std::size_t maxEarlierBytes() const { return MaxBytes_; }
  /// The same for texts that are compressed with a prefix.
  std::size_t maxPackingBytes() const { return MaxBytes_ / 2; }

  std::size_t MaxBytes_;
  std::map<DocumentVersion, StoredText> Texts_;
  /// By the version and that of its prefix.
  std::map<std::pair<DocumentVersion, DocumentVersion>, Packing> Packed_;
  std::uint64_t Requests_ = 0;
};

/// The text that this daemon is receiving.
class DocumentTransfer {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// A chunk that has not arrived by then was lost with its link or its
  /// reader's process. The chunks of twelve followers take a tenth of this time
  /// on a weak link.
  static constexpr std::chrono::milliseconds ChunkTimeout{1500};

  /// \p MaxBytes is the size of the longest text that is requested.
  explicit DocumentTransfer(
      std::size_t MaxBytes = MaxTextBytes,
      std::chrono::milliseconds MaxChunkTime = ChunkTimeout)
      : MaxBytes_(MaxBytes), MaxChunkTime_(MaxChunkTime) {}

  /// The action that follows from a chunk.
  struct Step {
    std::optional<wire::TextAskT> Request_;
    /// The whole text, once complete.
    std::optional<std::string> Text_;
    /// The chunk or the text was invalid. The transfer starts again when the
    /// version is announced again.
    bool Invalid_ = false;
  };

  /// True if \p Announced is newer than \p Known and than every text that was
  /// received.
  bool lacks(DocumentVersion Announced, DocumentVersion Known) const;
  /// Called when the reader announced a text that this daemon lacks. A text of
  /// which a part has arrived goes on while its chunks arrive, and the reader
  /// ends it if the newer one would arrive sooner. Otherwise texts that change
  /// faster than they are transferred would never arrive. \p Size is unset if
  /// only the version was announced.
  /// \returns the request to send, if any.
  std::optional<wire::TextAskT> onAnnounced(DocumentVersion Wanted,
                                            std::optional<std::size_t> Size,
                                            DocumentVersion Known,
                                            TimePoint Now);
  Step received(const wire::TextPartT &Chunk, const DocumentTexts &Texts,
                TimePoint Now);
  /// Called when the reader has changed or is gone.
  void drop();
  DocumentVersion wanted() const { return Wanted_; }
  /// True while chunks arrive.
  bool arriving(TimePoint Now) const;
  /// Number of compressed bytes received so far.
  std::size_t received() const { return Packed_.size(); }

private:
  wire::TextAskT nextRequest() const;
  /// True if the reader has sent the text with a prefix so far, and no longer
  /// has it.
  bool forgotPrefix(const wire::TextPartT &Chunk) const;
  bool fits(const wire::TextPartT &Chunk) const;
  Step finish(const wire::TextPartT &LastChunk, const DocumentTexts &Texts);
  Step broken();

  std::size_t MaxBytes_;
  std::chrono::milliseconds MaxChunkTime_;
  DocumentVersion Wanted_;
  std::optional<std::size_t> Size_;
  /// Version of the requested prefix.
  DocumentVersion RequestedPrefix_;
  /// From the first chunk; all later chunks must state the same.
  std::size_t PackedSize_ = 0;
  std::uint64_t Hash_ = 0;
  DocumentVersion Prefix_;
  std::string Packed_;
  TimePoint RequestedAt_;
  /// When the last chunk arrived.
  TimePoint ReceivedAt_;
  /// The newest version that arrived whole, even if it could not be parsed.
  DocumentVersion Finished_;
  /// The version whose last transfer was invalid; it is requested without a
  /// prefix.
  DocumentVersion LastInvalid_;
};

} // namespace samphireshunt
