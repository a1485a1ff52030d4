#pragma once
/// \file
/// The memory that a daemon may use for what it holds for others: bodies of
/// requests, answers that their callers have not read yet, and messages from
/// and to other daemons. Thread-safe.
///
/// Load pattern: hundreds of callers that read at a trickle or not at all, with
/// the longest answers, at a VM with little memory; servers whose answers, and
/// callers whose bodies, have no end; hundreds of daemons that send their state
/// at once, or read nothing of it.

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>

namespace samphireshunt {

/// About what the kernel's buffers hold of one connection: to bound less of it
/// in the process gains nothing.
inline constexpr std::size_t KernelBufferBytes = 65536;
/// How often one that waits for memory looks for it.
inline constexpr std::chrono::milliseconds MemoryWaitStep{20};

/// For whom memory is held.
enum class MemoryOwner {
  RequestBodies,
  Answers,
  PeerFrames, ///< Messages from and to other daemons.
};
inline constexpr std::array MemoryOwners = {
    MemoryOwner::RequestBodies, MemoryOwner::Answers, MemoryOwner::PeerFrames};

/// \returns what each message of \p Owner may always have, in bytes. It is
/// little for frames, since a VM has as many links as the fleet has daemons.
constexpr std::size_t alwaysFreeBytes(MemoryOwner Owner) {
  constexpr std::size_t FrameBytes = 4096;
  return Owner == MemoryOwner::PeerFrames ? FrameBytes : KernelBufferBytes;
}

/// How much of the budget is in use.
enum class MemoryLevel {
  Free,
  Tight, ///< Large bodies wait; readers slow their servers down.
  Full,  ///< The slowest reader is ended.
};

/// \returns the name in logs and metrics, e.g. "request-bodies".
std::string_view memoryOwnerName(MemoryOwner Owner);
std::string_view memoryLevelName(MemoryLevel Level);

class AnswerTurn;

class MemoryBudget {
public:
  /// Called when the level changes. May be called on any thread.
  using LevelChanged = std::function<void(MemoryLevel)>;
  /// Ends a reader; called on any thread, so it has to post.
  using EndReader = std::function<void()>;
  static constexpr std::size_t NoLimit =
      std::numeric_limits<std::size_t>::max();

  /// \p Limit in bytes; 0 means that there is no limit. \p WholeLimit in
  /// bytes is for what is held whole, for each owner.
  explicit MemoryBudget(std::size_t Limit, std::size_t WholeLimit = NoLimit)
      : Limit_(Limit), WholeLimit_(WholeLimit) {}
  /// \returns a budget without limits that lives as long as the process, for
  /// what holds only bytes of its own process.
  static MemoryBudget &unlimited();
  /// Called once, before the first use.
  void onLevelChanged(LevelChanged Hook) { LevelChanged_ = std::move(Hook); }

  std::size_t limit() const { return Limit_; }
  std::size_t used(MemoryOwner Owner) const;
  std::size_t used() const;
  MemoryLevel level() const { return levelOf(used()); }
  /// \returns whether a body of \p Bytes may be taken in now, of which \p
  /// Counted are in use already.
  bool hasRoomFor(std::size_t Bytes, std::size_t Counted = 0) const;
  /// The same for any body: short ones need no room of their own, only all of
  /// them together do.
  bool admitsBody(std::size_t Bytes, std::size_t Counted) const;
  /// \returns whether a message that is held whole may grow to \p Bytes, of
  /// which \p Counted are in use already. Without a limit of the budget it may
  /// take as much as it leaves free, so that one without end leaves room for
  /// the others.
  bool mayHold(MemoryOwner Owner, std::size_t Bytes, std::size_t Counted) const;
  /// \returns whether a message of \p Bytes could not be held even if it were
  /// the only one.
  bool tooLargeAlone(std::size_t Bytes) const;
  /// Records that a body was refused for lack of memory.
  void bodyRefused() { ++BodiesRefused_; }
  std::uint64_t bodiesRefused() const { return BodiesRefused_; }
  /// A body that waits for room, for as long as this exists.
  class WaitingBody {
  public:
    explicit WaitingBody(MemoryBudget &Budget) : Budget_(Budget) {
      ++Budget_.BodiesWaiting_;
    }
    ~WaitingBody() { --Budget_.BodiesWaiting_; }
    WaitingBody(const WaitingBody &) = delete;
    WaitingBody &operator=(const WaitingBody &) = delete;

  private:
    MemoryBudget &Budget_;
  };
  std::size_t bodiesWaiting() const { return BodiesWaiting_; }
  /// Records that a link was closed to bound the memory that it takes.
  void linkClosed() { ++LinksClosed_; }
  std::uint64_t linksClosed() const { return LinksClosed_; }

  void add(MemoryOwner Owner, std::size_t Bytes);
  void remove(MemoryOwner Owner, std::size_t Bytes);

private:
  struct KnownReader {
    EndReader End_; ///< Empty once it has been called.
    std::atomic<std::size_t> Pending_ = 0;
  };

public:
  /// A caller that reads an answer; it is removed when this is destroyed.
  class Reader {
  public:
    ~Reader();
    Reader(const Reader &) = delete;
    Reader &operator=(const Reader &) = delete;
    /// Sets how many bytes wait for the caller.
    void setPending(std::size_t Bytes);

  private:
    friend class MemoryBudget;
    Reader(MemoryBudget &Budget, std::uint64_t Number, KnownReader &Known)
        : Budget_(Budget), Number_(Number), Known_(Known) {}

    MemoryBudget &Budget_;
    std::uint64_t Number_;
    KnownReader &Known_;
  };
  std::unique_ptr<Reader> addReader(EndReader Hook);
  /// \returns the number of readers that were ended.
  std::uint64_t readersEnded() const { return ReadersEnded_; }

private:
  friend class AnswerTurn;
  bool takeTurn(const AnswerTurn &Answer);
  bool takeTurnNow(const AnswerTurn &Answer);
  bool holdsShortBody(std::size_t Others, std::size_t Bytes) const;
  bool mayHoldInTurn(std::size_t Bytes, std::size_t Counted) const;
  void endTurn(const AnswerTurn &Answer);
  MemoryLevel levelOf(std::size_t Bytes) const;
  void reportLevel();
  void endSlowest();

  std::size_t Limit_;
  std::size_t WholeLimit_;
  LevelChanged LevelChanged_ = [](MemoryLevel) {};
  std::array<std::atomic<std::size_t>, MemoryOwners.size()> Used_{};
  std::atomic<MemoryLevel> Reported_ = MemoryLevel::Free;
  std::atomic<std::uint64_t> ReadersEnded_ = 0;
  std::atomic<std::uint64_t> BodiesRefused_ = 0;
  std::atomic<std::size_t> BodiesWaiting_ = 0;
  std::atomic<std::uint64_t> LinksClosed_ = 0;
  /// The answer that is read on while the budget is full.
  std::atomic<const AnswerTurn *> Turn_ = nullptr;
  std::mutex Mutex_;
  std::uint64_t NextReader_ = 0;
  std::map<std::uint64_t, KnownReader> Readers_;
};

/// Bytes that are held for an owner until this is destroyed.
class MemoryUse {
public:
  MemoryUse(MemoryBudget &Budget, MemoryOwner Owner)
      : Budget_(Budget), Owner_(Owner) {}
  ~MemoryUse() { set(0); }
  MemoryUse(const MemoryUse &) = delete;
  MemoryUse &operator=(const MemoryUse &) = delete;

  void set(std::size_t Bytes);
  /// Sets the bytes of a message that is held whole. \returns false, and
  /// changes nothing, if it may not grow so large.
  bool grow(std::size_t Bytes);
  std::size_t bytes() const { return Bytes_; }

private:
  MemoryBudget &Budget_;
  MemoryOwner Owner_;
  std::size_t Bytes_ = 0;
};

/// An answer that is read whole before its caller gets it. While the budget is
/// full such answers are read one after the other: none would end if each of
/// them waited for the others.
class AnswerTurn {
public:
  explicit AnswerTurn(MemoryBudget &Budget) : Budget_(Budget) {}
  ~AnswerTurn() { Budget_.endTurn(*this); }
  AnswerTurn(const AnswerTurn &) = delete;
  AnswerTurn &operator=(const AnswerTurn &) = delete;

  /// \returns whether more of the answer may be read now.
  bool mayReadOn() { return Budget_.takeTurn(*this); }
  /// Sets the bytes of the answer, for which \p Held is used. The answer whose
  /// turn it is has room of its own, so that it ends. \returns false, and
  /// changes nothing, if there is no room now.
  bool grow(MemoryUse &Held, std::size_t Bytes);
  /// \returns whether an answer of \p Bytes is never held.
  bool tooLarge(std::size_t Bytes) const {
    return Budget_.tooLargeAlone(Bytes);
  }

private:
  MemoryBudget &Budget_;
};

} // namespace samphireshunt
