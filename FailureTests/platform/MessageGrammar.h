#pragma once
/// \file
/// Requests and answers from a grammar with mutations, each with what the
/// promises (docs/HTTP.md) say of it. No input or output.

#include <pcg_random.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphireshunt::tests {

/// What the promises say of a message.
enum class Verdict {
  Good,   ///< Is run, or delivered.
  Either, ///< Is run as it was sent, or not at all.
  Bad,    ///< Is refused.
};

/// What an engine answers to one request.
struct PlannedAnswer {
  std::string Bytes_;
  std::string Content_; ///< What the body says.
  Verdict Verdict_ = Verdict::Good;
  bool Closes_ = false;  ///< The engine closes the connection afterwards.
  bool Failing_ = false; ///< The caller need not get it although it is whole.
};

/// A request and what an engine has to see of it.
struct PlannedRequest {
  std::string Id_;
  std::string Method_;
  std::string Path_;
  std::string Content_;
  std::string Bytes_;
  Verdict Verdict_ = Verdict::Good;
  bool Ends_ = false; ///< The connection may end after its answer.
  bool Cut_ = false;  ///< Its last bytes are missing.
  std::string Mutation_;
  PlannedAnswer Answer_;
};

/// What a caller sends on one connection.
struct PlannedConnection {
  std::vector<PlannedRequest> Requests_;
  bool Pipelined_ = false; ///< All are sent before the first answer is read.
};

/// Writes the requests of one caller. Equal seeds give equal messages.
class MessageGrammar {
public:
  /// \p Name begins the ids of all requests.
  MessageGrammar(std::uint64_t Seed, std::uint64_t Stream, std::string Name)
      : Random_(Seed, Stream), Name_(std::move(Name)) {}

  static constexpr std::string_view Host = "hunt.example";

  /// \returns a request that callers' libraries write.
  PlannedRequest plain();
  /// \returns a request that may be mutated, or get a mutated answer.
  PlannedRequest any();
  /// \returns the requests of one connection: those after a refused one are
  /// not run.
  PlannedConnection connection();
  /// \returns \p Bytes in the pieces that are written one by one.
  std::vector<std::string> pieces(const std::string &Bytes);

private:
  struct Parts;
  struct Mutation;
  static std::span<const Mutation> mutations();

  std::uint32_t below(std::uint32_t Bound) { return Random_(Bound); }
  bool oneOf(std::uint32_t Count) { return below(Count) == 0; }
  const std::string &pick(const std::vector<std::string> &Values) {
    return Values[below(static_cast<std::uint32_t>(Values.size()))];
  }
  Parts parts(const std::string &Prefix);
  std::string content();
  /// A whole request that nobody sends as one.
  std::string hidden() const;
  void frame(Parts &To);
  void frameByRow(Parts &To);
  void mutate(Parts &To, bool Adding);
  static PlannedRequest written(Parts From);
  PlannedAnswer answerTo(const Parts &Request, bool Odd);
  void spoil(PlannedAnswer &Answer, const std::string &Id);

  pcg32 Random_;
  std::string Name_;
  int Count_ = 0;
};

} // namespace samphireshunt::tests
