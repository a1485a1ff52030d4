#pragma once
/// \file
/// How the configuration's text comes from one daemon to another: in small
/// parts, each asked for when the one before has come. Pure.
///
/// What goes wrong without: a text of a megabyte takes a second on a link of
/// 10 Mbit/s. Told in one message, nothing else gets through meanwhile, the
/// answer is late, the daemon asks another one, and that one begins anew, for
/// ever: the link is full, and the text never comes. One notices by
/// `reader-passed-over` lines after each change and by code 213 at daemons on
/// weak links. With parts no message is long, and only what changed is sent.

#include "Common/Ids.h"
#include "Connection/PeerMessage.h"
#include "Process/Configuration/Platform.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace samphireshunt {

/// Twelve followers of a reader that wait for one part each hold up an answer
/// of it by 0.16 s on a link of 10 Mbit/s, less than the 0.4 s that it may
/// take.
inline constexpr std::size_t TextPartBytes = 16 * 1024;

/// A longer text is not taken, so that a wrong size can't use up the memory of
/// 64 MB that a daemon may need for control.
inline constexpr std::size_t MaxTextBytes = 8 * 1024 * 1024;

/// The texts that this daemon holds: the newest, and some earlier ones, with
/// which it is packed for those that hold these.
class DocumentTexts {
public:
  /// Nothing, unless \p Number is newer than all that are held.
  void keep(DocumentVersion Number, const std::string &Text);
  /// \returns a null pointer when it is not held.
  const std::string *find(DocumentVersion Number) const;
  /// 0 when none is held.
  DocumentVersion newest() const;
  /// The part that is asked for; without bytes when it is not held.
  wire::TextPartT part(const wire::TextAskT &Asked);

private:
  /// The newest one and two more: changes come seconds apart.
  static constexpr std::size_t MostTexts = 3;

  /// The newest text, packed with \p Held; packed once for all that ask.
  const std::string &packed(DocumentVersion Held);

  std::map<DocumentVersion, std::string> Texts_;
  std::uint64_t NewestHash_ = 0;
  std::map<DocumentVersion, std::string> Packed_;
};

/// The text that is under way to this daemon.
class DocumentTransfer {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// What follows from a part.
  struct Step {
    std::optional<wire::TextAskT> Ask_;
    /// The whole text.
    std::optional<std::string> Text_;
    /// It was not what it should be; it begins anew when it is named again.
    bool Broken_ = false;
  };

  /// True when \p Named is newer than \p Held and than what has come.
  bool lacks(DocumentVersion Named, DocumentVersion Held) const;
  /// The reader named a text that this daemon lacks. A newer one takes the
  /// place of the one that is under way.
  /// \returns the question to send, if any.
  /// \p Size is unset where only the version was named.
  std::optional<wire::TextAskT> named(DocumentVersion Wanted,
                                      std::optional<std::size_t> Size,
                                      DocumentVersion Held, TimePoint Now);
  Step received(const wire::TextPartT &Part, const DocumentTexts &Held,
                TimePoint Now);
  /// The reader is another one, or gone.
  void drop();
  DocumentVersion wanted() const { return Wanted_; }
  /// Compressed bytes of it that are here.
  std::size_t received() const { return Packed_.size(); }

private:
  /// A part that did not come by then was lost with its link or its reader's
  /// process; twelve followers' parts take a tenth of it on a weak link.
  static constexpr std::chrono::milliseconds PartTime{1500};

  wire::TextAskT question() const;
  bool fits(const wire::TextPartT &Part) const;
  Step finish(const wire::TextPartT &Last, const DocumentTexts &Held);
  Step broken();

  DocumentVersion Wanted_;
  std::optional<std::size_t> Size_;
  /// The prefix that was asked for.
  DocumentVersion Held_;
  /// Of the first part: those after it must say the same.
  std::size_t PackedSize_ = 0;
  std::uint64_t Hash_ = 0;
  DocumentVersion Prefix_;
  std::string Packed_;
  TimePoint AskedAt_;
  /// The newest that came whole, also when it can't be read.
  DocumentVersion Finished_;
  /// What came broken last is asked for without a prefix.
  DocumentVersion BrokenOnce_;
};

} // namespace samphireshunt
