/// \file
/// Answers that servers cut after each of their bytes, in the head or the body,
/// and answers that come after interim ones.

#include "UnitTests/Request/ForwardingHarness.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

enum class Framing { Length, Chunks, Close };
constexpr std::array Framings = {Framing::Length, Framing::Chunks,
                                 Framing::Close};

/// A kind of request, and what makes its answers whole.
struct Kind {
  std::string Name_;
  ForwardingHarness::Options Options_;
  std::string Type_;
  std::vector<std::string> Parts_; ///< All parts that a whole answer has.
  std::string Request_ = "x";
  bool Repeatable_ = false;

  bool isModel() const { return Options_.OwnInterface_ == PoolKind::Model; }
  bool isStream() const { return Type_ == "text/event-stream"; }

  /// \returns the body that a server answers from the event after \p Last on.
  std::string body(const std::string &RequestId, std::size_t Last = 0) const {
    std::string Sent;
    for (std::size_t Number = Last; Number < Parts_.size(); ++Number)
      if (isModel())
        Sent += fmt::format("id: {}:{}\ndata: {}\n\n", RequestId, Number,
                            Parts_[Number]);
      else if (isStream())
        Sent += fmt::format("id: {}\n{}\n\n", Number + 1, Parts_[Number]);
      else
        Sent += Parts_[Number];
    return Sent;
  }
};

Kind forwarded(std::string Name, RequestKind Forwarding,
               bool Resumable = false) {
  Kind Built;
  Built.Name_ = std::move(Name);
  Built.Options_.Kind_ = Forwarding;
  Built.Options_.Resumable_ = Resumable;
  Built.Repeatable_ = Resumable || Forwarding == RequestKind::Idempotent;
  bool IsStream = Forwarding == RequestKind::Stream;
  Built.Type_ = IsStream ? "text/event-stream" : "application/json";
  Built.Parts_ = {R"({"a":[1,2]})"};
  if (IsStream)
    Built.Parts_ = {"data: a", "data: b"};
  return Built;
}

Kind application(std::string Name, bool NonIdempotent) {
  Kind Own = forwarded(std::move(Name), RequestKind::NonIdempotent);
  Own.Options_.OwnInterface_ = PoolKind::Application;
  Own.Options_.NonIdempotent_ = NonIdempotent;
  return Own;
}

Kind model(std::string Name, bool Streaming) {
  Kind Own = forwarded(std::move(Name), RequestKind::Stream);
  Own.Options_.OwnInterface_ = PoolKind::Model;
  Own.Parts_ = {R"({"choices":[{"delta":{"content":"a"}}]})",
                R"({"choices":[{"delta":{"content":"b"}}]})", "[DONE]"};
  Own.Request_ = fmt::format(
      R"({{"model":"m","stream":{},"messages":[{{"content":"x"}}]}})",
      Streaming);
  return Own;
}

std::vector<Kind> kinds() {
  return {forwarded("idempotent", RequestKind::Idempotent),
          forwarded("non-idempotent", RequestKind::NonIdempotent),
          forwarded("stream", RequestKind::Stream),
          forwarded("resumable stream", RequestKind::Stream, true),
          application("application", false),
          application("claimed application", true),
          model("model", false),
          model("model stream", true)};
}

std::string wholeAnswer(const Kind &Of, Framing Framed,
                        const std::string &Request, std::size_t Last = 0) {
  std::string Body = Of.body(fieldIn(Request, "x-request-id"), Last);
  std::string End;
  if (Framed == Framing::Length)
    End = fmt::format("Content-Length: {}\r\n\r\n{}", Body.size(), Body);
  else if (Framed == Framing::Chunks)
    End = "Transfer-Encoding: chunked\r\n\r\n" + chunk(Body) + LastChunk;
  else
    End = "\r\n" + Body;
  return fmt::format("HTTP/1.1 200 OK\r\nX-Call-Id: {}\r\nX-Answer-Proof: p\r\n"
                     "Content-Type: {}\r\n{}",
                     fieldIn(Request, "x-call-id"), Of.Type_, End);
}

std::size_t numberIn(const std::string &Text) {
  std::size_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/// \returns whether a caller has to take this for a whole successful answer.
bool looksWhole(const CallerReply &Reply) {
  if (Reply.status() / 100 != 2 ||
      Reply.Bytes_.find("\r\n\r\n") == Reply.Bytes_.npos)
    return false;
  std::string Length = fieldIn(Reply.Bytes_, "content-length");
  if (!Length.empty())
    return Reply.body().size() == numberIn(Length);
  return fieldIn(Reply.Bytes_, "transfer-encoding").empty() ||
         Reply.hasLastChunk();
}

/// \returns whether the answer has each part of the whole one, once.
bool hasAll(const Kind &Of, const CallerReply &Reply) {
  if (Of.Name_ == "model")
    return Reply.body().find(R"("content":"ab")") != std::string::npos;
  return std::ranges::all_of(Of.Parts_, [&](const std::string &Part) {
    std::size_t At = Reply.body().find(Part);
    return At != std::string::npos &&
           Reply.body().find(Part, At + 1) == std::string::npos;
  });
}

/// Plays answers that are cut after each of their bytes, all at once.
class CutAnswers {
public:
  /// Cuts after each \p Step th byte.
  CutAnswers(Kind Of, Framing Framed, Script::Then End, std::size_t Step)
      : Of_(std::move(Of)), Framed_(Framed), End_(End), Step_(Step) {}

  void check(bool Relayed) {
    Of_.Options_.Relays_ = Relayed ? 1 : 0;
    Of_.Options_.MaxInFlight_ = MaxCalls;
    Of_.Options_.Retries_.Allowance_ = MaxCalls;
    Of_.Options_.Timeout_ = LongPatience;
    auto Each = [this](const std::string &Request, std::size_t) {
      return answer(Request);
    };
    ForwardingHarness Path(Of_.Options_, {Each, Each});
    Path.setLinks(Relayed ? PortState::Refused : PortState::Open);
    std::size_t Length = wholeAnswer(Of_, Framed_,
                                     "\r\nx-call-id: 000\r\nx-request-id: " +
                                         RequestId{1, 100}.str() + "\r\n\r\n")
                             .size();
    std::vector<std::shared_ptr<CallerReply>> Replies;
    std::vector<std::size_t> Cuts;
    for (std::size_t Cut = Length % Step_; Cut <= Length; Cut += Step_)
      Cuts.push_back(Cut);
    for (std::size_t Cut : Cuts)
      Replies.push_back(Path.begin(
          fmt::format("{:03}", Cut), Of_.Request_,
          fmt::format("X-Request-Timeout-Ms: {}\r\nIdempotency-Key: {}\r\n",
                      patience(Cut, Length).count(), Cut)));
    REQUIRE(Path.runUntil([&] {
      return std::ranges::all_of(
          Replies, [](const auto &Reply) { return Reply->Ended_; });
    }));
    for (std::size_t Index = 0; Index < Cuts.size(); ++Index)
      checkOne(Cuts[Index], Length, *Replies[Index]);
  }

private:
  static constexpr std::size_t MaxCalls = 1000;
  /// How long a call waits whose answer never ends.
  static constexpr std::chrono::milliseconds Patience{400};
  /// All others end by themselves, on a busy machine too.
  static constexpr std::chrono::milliseconds LongPatience{20000};

  std::chrono::milliseconds patience(std::size_t Cut,
                                     std::size_t Length) const {
    bool Ends = Cut == Length && Framed_ != Framing::Close;
    return End_ == Script::Then::Hold && !Ends ? Patience : LongPatience;
  }

  /// Cuts the first answer to a call. A repeat gets a whole one, and a model's
  /// run is unknown to whom asks for its rest.
  Script answer(const std::string &Request) {
    if (!Request.starts_with("POST"))
      return {"HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n"};
    std::string CallId = fieldIn(Request, "x-call-id");
    bool Repeated = ++Sent_[numberIn(CallId)] > 1;
    std::size_t Last = numberIn(fieldIn(Request, "last-event-id"));
    std::string Whole = wholeAnswer(Of_, Framed_, Request, Last);
    bool Ends = Framed_ == Framing::Close;
    if (Repeated)
      return {Whole, Ends ? Script::Then::Close : Script::Then::KeepOpen};
    std::string Cut = Whole.substr(0, numberIn(CallId));
    if (Ends && End_ == Script::Then::Close && Cut.ends_with("\n\n"))
      Regular_.insert(numberIn(CallId));
    return {Cut, End_};
  }

  void checkOne(std::size_t Cut, std::size_t Length, const CallerReply &Reply) {
    CAPTURE(Of_.Name_);
    CAPTURE(Reply.Bytes_);
    CAPTURE(Cut);
    CHECK(Sent_[Cut] >= 1);
    CHECK((Of_.Repeatable_ || Sent_[Cut] == 1));
    bool Whole = looksWhole(Reply);
    if (Whole && !Regular_.contains(Cut))
      CHECK(hasAll(Of_, Reply));
    // A reset may overtake the last bytes.
    if (Cut == Length && Framed_ != Framing::Close &&
        End_ != Script::Then::Reset)
      CHECK(Whole);
  }

  Kind Of_;
  Framing Framed_;
  Script::Then End_;
  std::size_t Step_;
  std::map<std::size_t, int> Sent_;
  /// Cuts that leave a stream of whole events with a regular end.
  std::set<std::size_t> Regular_;
};

void checkAll(Script::Then End, bool Relayed, std::size_t Step) {
  for (const Kind &Of : kinds())
    for (Framing Framed : Framings)
      CutAnswers(Of, Framed, End, Step).check(Relayed);
}

} // namespace

TEST_CASE("an answer that is cut after any of its bytes never looks whole") {
  // Guards against a 200 with an empty or short body, framed as whole, of a
  // server that stopped in its answer's head or body.
  checkAll(Script::Then::Close, /*Relayed=*/false, 1);
  checkAll(Script::Then::Close, /*Relayed=*/true, 5);
  for (bool Relayed : {false, true}) {
    checkAll(Script::Then::Reset, Relayed, 7);
    checkAll(Script::Then::Hold, Relayed, 11);
  }
}

TEST_CASE("an answer that is reset while its request is written never looks "
          "whole") {
  // Guards against a part of an answer that a caller gets as the whole: its
  // server answers a long upload at once, without a length, and resets the
  // connection in its middle.
  const std::string Padding(2000000, 'x');
  for (bool Relayed : {false, true})
    for (const Kind &Of : kinds())
      for (std::size_t Early : {1, 5000, 200000}) {
        auto Each = [&](const std::string &Request, std::size_t Number) {
          std::string Whole = wholeAnswer(Of, Framing::Close, Request);
          if (Number > 0 || !Request.starts_with("POST"))
            return Script{Whole, Script::Then::Close};
          Script Cut{Whole.substr(0, Whole.size() - 4), Script::Then::Reset};
          Cut.AnswerAfterBytes_ = Early;
          return Cut;
        };
        ForwardingHarness::Options Wanted = Of.Options_;
        Wanted.Relays_ = Relayed ? 1 : 0;
        ForwardingHarness Path(Wanted, {Each});
        Path.setLinks(Relayed ? PortState::Refused : PortState::Open);
        std::string Body = Of.Request_;
        Body.replace(Body.rfind('x'), 1, Padding);
        CallerReply Reply = Path.call(
            "1", Body, "Idempotency-Key: 1\r\nX-Request-Timeout-Ms: 2000\r\n");
        CAPTURE(Of.Name_);
        CAPTURE(Relayed);
        CAPTURE(Early);
        CHECK(Path.received() > 0);
        CHECK((!looksWhole(Reply) || hasAll(Of, Reply)));
      }
}

TEST_CASE("a status that is none makes no answer") {
  // Guards against callers that get what a server in trouble sends as an
  // answer.
  for (const Kind &Of : kinds())
    for (const char *Status :
         {"000", "001", "099", "600", "999", "20", "2000"}) {
      auto Each = [&](const std::string &Request, std::size_t) {
        std::string Whole = wholeAnswer(Of, Framing::Length, Request);
        return Script{Whole.replace(Whole.find("200"), 3, Status)};
      };
      ForwardingHarness Path(Of.Options_, {Each, Each});
      CallerReply Reply =
          Path.call("1", Of.Request_,
                    "Idempotency-Key: 1\r\nX-Request-Timeout-Ms: 2000\r\n");
      CAPTURE(Of.Name_);
      CAPTURE(Status);
      CHECK(Path.received() > 0);
      CHECK(Reply.status() == 502);
    }
}

TEST_CASE("interim answers are passed over") {
  // Guards against a 502 for a request that ran, and may not run twice, as its
  // server announced the answer first.
  const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string Hints =
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 3\r\n\r\n";
  for (bool Relayed : {false, true})
    for (const Kind &Of : kinds())
      for (const std::string &Before :
           {Continue, Hints, Continue + Hints + Hints}) {
        auto Each = [&](const std::string &Request, std::size_t) {
          return Script{Before + wholeAnswer(Of, Framing::Length, Request)};
        };
        ForwardingHarness::Options Wanted = Of.Options_;
        Wanted.Relays_ = Relayed ? 1 : 0;
        ForwardingHarness Path(Wanted, {Each});
        Path.setLinks(Relayed ? PortState::Refused : PortState::Open);
        // The second one may come on the connection of the first.
        for (std::string CallId : {"1", "2"}) {
          CallerReply Reply = Path.call(CallId, Of.Request_,
                                        "Idempotency-Key: " + CallId + "\r\n");
          CAPTURE(Of.Name_);
          CAPTURE(Reply.Bytes_);
          CHECK(looksWhole(Reply));
          CHECK(hasAll(Of, Reply));
        }
        CHECK(Path.received() == 2);
      }
}

TEST_CASE("interim answers without an answer are no answer") {
  // Guards against a caller that waits for a server's interim answers without
  // end, or gets one of them as its answer.
  const std::string Hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n";
  std::string Many;
  for (int Number = 0; Number < 1000; ++Number)
    Many += Hints + "\r\n";
  auto Plain = [](const std::string &Request) {
    return completeAnswer(fieldIn(Request, "x-call-id"), "{}");
  };
  for (const Kind &Of : kinds()) {
    if (Of.isModel() || Of.Repeatable_)
      continue;
    for (const std::string &Before :
         {Hints + "\r\n", Many,
          std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n"
                      "X-Call-Id: 1\r\nX-Answer-Proof: p\r\n\r\n")}) {
      auto Each = [&](const std::string &Request, std::size_t) {
        bool Ends = Before == Hints + "\r\n";
        return Script{Before + (Ends ? "" : Plain(Request)),
                      Script::Then::Close};
      };
      ForwardingHarness Path(Of.Options_, {Each, Each});
      CallerReply Reply = Path.call("1", Of.Request_, "Idempotency-Key: 1\r\n");
      CAPTURE(Of.Name_);
      CAPTURE(Before.substr(0, 30));
      CHECK(Reply.status() == 502);
      CHECK(fieldIn(Reply.Bytes_, "x-outcome") == "unknown");
      CHECK(Path.received() == 1);
    }
  }
}
