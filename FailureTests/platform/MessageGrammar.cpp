#include "FailureTests/platform/MessageGrammar.h"

#include "UnitTests/Connection/FramingRows.h"

#include <absl/strings/str_replace.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace samphireshunt::tests {

namespace {

constexpr std::string_view IdName = "X-Samphireshunt-Request-Id";

} // namespace

/// A request before it is written.
struct MessageGrammar::Parts {
  std::string Before_; ///< Bytes before the request line.
  std::string Method_ = "POST";
  std::string Path_;
  std::string Target_; ///< As it is written, in the place of the path.
  std::string HostLine_ = fmt::format("Host: {}\r\n", Host);
  std::string IdLine_;
  std::string FramingLines_;
  std::string Fields_; ///< Further lines.
  std::string Body_;   ///< As it is written.
  std::string After_;  ///< Bytes that a shorter reading takes for a request.
  std::string Id_;
  std::string Content_;
  char MinorVersion_ = '1';
  Verdict Verdict_ = Verdict::Good;
  std::string Mutation_;
};

struct MessageGrammar::Mutation {
  const char *Name_;
  Verdict Verdict_;
  void (*Apply_)(MessageGrammar &Grammar, Parts &To);
  bool Adds_ = false; ///< Only adds lines, so that no other one is undone.
};

std::string MessageGrammar::hidden() const {
  return fmt::format("POST /sound/hidden-{0} HTTP/1.1\r\nHost: {1}\r\n{2}: "
                     "hidden-{0}\r\nContent-Length: 2\r\n\r\nno",
                     Name_, Host, IdName);
}

std::string MessageGrammar::content() {
  constexpr std::uint32_t MaxBytes = 300;
  constexpr int Values = 256;
  if (oneOf(4))
    return "";
  if (oneOf(4))
    return hidden();
  std::string Content(1 + below(MaxBytes), 'x');
  bool Binary = oneOf(2);
  std::ranges::generate(Content, [&] {
    return static_cast<char>(Binary ? below(Values) : 'a' + below('z' - 'a'));
  });
  return Content;
}

void MessageGrammar::frame(Parts &To) {
  if (oneOf(2)) {
    To.FramingLines_ =
        fmt::format("Content-Length: {}\r\n", To.Content_.size());
    To.Body_ = To.Content_;
    return;
  }
  constexpr std::uint32_t MaxChunk = 40;
  const std::vector<std::string> Extensions = {"", "", ";a=b", ";q=\"x;y\""};
  To.FramingLines_ = "Transfer-Encoding: chunked\r\n";
  To.Body_.clear();
  for (std::string_view Rest = To.Content_; !Rest.empty();) {
    std::string_view Chunk = Rest.substr(0, 1 + below(MaxChunk));
    Rest.remove_prefix(Chunk.size());
    To.Body_ += oneOf(2) ? fmt::format("{:x}", Chunk.size())
                         : fmt::format("{:0{}X}", Chunk.size(), 2 + below(4));
    To.Body_ += fmt::format("{}\r\n{}\r\n", pick(Extensions), Chunk);
  }
  To.Body_ += oneOf(4) ? "0\r\nX-Sum: 1\r\n\r\n" : "0\r\n\r\n";
}

void MessageGrammar::frameByRow(Parts &To) {
  auto Rows = framingRows();
  const FramingRow &Row = Rows[below(static_cast<std::uint32_t>(Rows.size()))];
  To.Method_ = "POST";
  To.FramingLines_ = Row.Fields_;
  To.Body_ = Row.Body_;
  To.MinorVersion_ = Row.MinorVersion_;
  To.Content_ = Row.Content_.value_or("");
  To.Verdict_ = Row.Content_ ? Verdict::Good : Verdict::Bad;
}

MessageGrammar::Parts MessageGrammar::parts(const std::string &Prefix) {
  const std::vector<std::string> Methods = {"POST", "POST",   "PUT",    "GET",
                                            "HEAD", "DELETE", "OPTIONS"};
  Parts New;
  New.Id_ = fmt::format("{}-{}", Name_, ++Count_);
  New.IdLine_ = fmt::format("{}: {}\r\n", IdName, New.Id_);
  New.Method_ = pick(Methods);
  New.Path_ = fmt::format("/{}/{}", Prefix, New.Id_);
  New.Target_ = New.Path_;
  if (New.Method_ == "POST" || New.Method_ == "PUT") {
    New.Content_ = content();
    frame(New);
  }
  return New;
}

PlannedRequest MessageGrammar::written(Parts From) {
  PlannedRequest New;
  New.Bytes_ = fmt::format("{}{} {} HTTP/1.{}\r\n{}{}{}{}\r\n{}{}",
                           From.Before_, From.Method_, From.Target_,
                           From.MinorVersion_, From.HostLine_, From.IdLine_,
                           From.FramingLines_, From.Fields_, From.Body_,
                           From.Verdict_ == Verdict::Bad ? From.After_ : "");
  New.Id_ = std::move(From.Id_);
  New.Method_ = std::move(From.Method_);
  New.Path_ = std::move(From.Path_);
  New.Content_ = std::move(From.Content_);
  New.Verdict_ = From.Verdict_;
  New.Ends_ = From.Verdict_ == Verdict::Bad || From.MinorVersion_ == '0';
  New.Mutation_ = std::move(From.Mutation_);
  return New;
}

std::span<const MessageGrammar::Mutation> MessageGrammar::mutations() {
  using Self = MessageGrammar;
  static const std::array Table = {
      Mutation{"framing row", Verdict::Good,
               [](Self &G, Parts &P) { G.frameByRow(P); }},
      Mutation{"two lengths", Verdict::Bad,
               [](Self &G, Parts &P) {
                 // The second one is shorter: what follows is a request to a
                 // reader that takes it.
                 P.Method_ = "POST";
                 P.Content_ = G.hidden();
                 P.Body_ = P.Content_;
                 std::string Long = fmt::format("Content-Length: {}\r\n",
                                                P.Content_.size());
                 std::string Short = "Content-Length: 0\r\n";
                 P.FramingLines_ = G.oneOf(2) ? Long + Short : Short + Long;
               }},
      Mutation{"length and chunks", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.Method_ = "POST";
                 P.Body_ = "0\r\n\r\n" + G.hidden();
                 std::string Length =
                     fmt::format("Content-Length: {}\r\n", P.Body_.size());
                 std::string Coding = "Transfer-Encoding: chunked\r\n";
                 P.FramingLines_ =
                     G.oneOf(2) ? Length + Coding : Coding + Length;
               }},
      Mutation{"odd chunk size", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.Method_ = "POST";
                 P.FramingLines_ = "Transfer-Encoding: chunked\r\n";
                 P.Body_ = fmt::format(
                     "3\r\nabc\r\n{}\r\nhello\r\n0\r\n\r\n",
                     G.pick({"5 5", "0x5", "+5", "-5", "", ";a", "4", "6",
                             "00000000000000005", "5\n"}));
               }},
      Mutation{"odd line", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.Fields_ += G.pick({"X-Odd : a\r\n", "X-Odd: a\r\n b\r\n",
                                      "X-Odd: a\n", "X-Odd\r\n", ": a\r\n",
                                      "X-Odd: a\x01\r\n", "X-Odd: a\rb\r\n",
                                      "X-\x7F: a\r\n"});
               }, /*Adds_=*/true},
      Mutation{"host missing or odd", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.HostLine_ =
                     G.pick({"", "Host: hunt.example, b\r\n",
                             "Host: hunt.example\r\nHost: hunt.example\r\n",
                             "Host: hunt.example\r\nHost: b\r\n"});
               }},
      Mutation{"field twice", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.Fields_ += G.pick(
                     {"X-Samphireshunt-Request-Id: hidden\r\n",
                      "X-Samphireshunt-Token-Count: 1,1\r\n"
                      "X-Samphireshunt-Token-Count: 9,9\r\n",
                      "X-Samphireshunt-Model: m\r\nX-Samphireshunt-Model: "
                      "n\r\n",
                      "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n",
                      "Content-Type: a/b\r\nContent-Type: a/c\r\n"});
               }, /*Adds_=*/true},
      Mutation{"Connection names a field", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.Fields_ += fmt::format(
                     "Connection: {}\r\n",
                     G.pick({"X-Samphireshunt-Request-Id", "Host",
                             "close, Authorization", "te,host",
                             "X-Samphireshunt-Model", "Content-Type"}));
               }, /*Adds_=*/true},
      Mutation{"underscore", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.Fields_ += G.pick({"X_Samphireshunt_Request_Id: hidden\r\n",
                                      "X-Samphireshunt-Request_Id: hidden\r\n",
                                      "Content_Length: 1\r\n",
                                      "Transfer_Encoding: chunked\r\n"});
               }, /*Adds_=*/true},
      Mutation{"odd target", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.Target_ = G.pick({"sound/a", "ftp://hunt.example/sound/a",
                                     "?a", "hunt.example:80"});
               }},
      Mutation{"refused method", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.Method_ = G.pick({"CONNECT", "TRACE"});
               }},
      Mutation{"two empty lines", Verdict::Bad,
               [](Self &, Parts &P) { P.Before_ = "\r\n\r\n"; }},
      Mutation{"late field", Verdict::Bad,
               [](Self &G, Parts &P) {
                 P.Method_ = "POST";
                 P.FramingLines_ = "Transfer-Encoding: chunked\r\n";
                 P.Body_ = fmt::format("5\r\nhello\r\n0\r\n{}\r\n\r\n",
                                       G.pick({"Content-Length: 3", "Host: b",
                                               "Authorization: Bearer b"}));
               }},
      Mutation{"one empty line", Verdict::Good,
               [](Self &, Parts &P) { P.Before_ = "\r\n"; }},
      Mutation{"absolute target", Verdict::Good,
               [](Self &G, Parts &P) {
                 P.Target_ = fmt::format("http://{}{}", Host, P.Path_);
                 if (G.oneOf(2))
                   P.HostLine_ = "Host: other.example\r\n";
               }},
      Mutation{"several lines", Verdict::Good,
               [](Self &, Parts &P) {
                 P.Fields_ += "Cookie: a=1\r\nX-Part: 1\r\nCookie: b=2\r\n"
                              "X-Part: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\n";
               }, /*Adds_=*/true},
      Mutation{"odd whitespace", Verdict::Good,
               [](Self &, Parts &P) {
                 P.IdLine_ = fmt::format("{}: \t {} \t\r\n", IdName, P.Id_);
                 P.Fields_ += "X-Odd:\t\r\nX-None:\r\n";
               }},
      Mutation{"expectation", Verdict::Good,
               [](Self &, Parts &P) { P.Fields_ += "Expect: 100-continue\r\n"; }, /*Adds_=*/true},
      Mutation{"odd path", Verdict::Either,
               [](Self &G, Parts &P) {
                 P.Path_ += G.pick({"/../x", "//", "%2f..%2F", "/a?b=/c?d",
                                    "%", "%zz", "\\", "/\x80\xFF", "<>\"",
                                    "#a", "\t", "\x01"});
                 P.Target_ = P.Path_;
               }},
      Mutation{"odd method", Verdict::Either,
               [](Self &G, Parts &P) {
                 P.Method_ = G.pick({"BREW", "post", "M-SEARCH", "P@ST",
                                     std::string(200, 'A'), "PRI"});
               }},
      Mutation{"odd byte", Verdict::Either,
               [](Self &G, Parts &P) {
                 constexpr int Values = 256;
                 char Byte = static_cast<char>(G.below(Values));
                 // Further digits would say another length, rightly.
                 if (std::isxdigit(static_cast<unsigned char>(Byte)))
                   Byte = '\0';
                 std::string Odd = "X-Odd: a b\r\n";
                 std::string *Place = &Odd;
                 std::size_t First = 0;
                 if (G.oneOf(3) && !P.FramingLines_.empty()) {
                   Place = &P.FramingLines_;
                   First = Place->find(':') + 1;
                 } else if (G.oneOf(2) && P.Body_ != P.Content_) {
                   Place = &P.Body_;
                 }
                 std::size_t End = Place->find("\r\n");
                 First += G.below(static_cast<std::uint32_t>(End - First + 1));
                 Place->insert(First, 1, Byte);
                 P.Fields_ += Odd;
               }},
      Mutation{"other expectation", Verdict::Either,
               [](Self &, Parts &P) { P.Fields_ += "Expect: other\r\n"; }, /*Adds_=*/true},
      Mutation{"many or long fields", Verdict::Either, [](Self &G, Parts &P) {
                 constexpr int Many = 120;
                 constexpr std::size_t Long = 9000;
                 if (G.oneOf(2))
                   for (int Number = 0; Number < Many; ++Number)
                     P.Fields_ += fmt::format("X-Many: {}\r\n", Number);
                 else
                   P.Fields_ += "X-Long: " + std::string(Long, 'a') + "\r\n";
               }, /*Adds_=*/true}};
  return Table;
}

void MessageGrammar::mutate(Parts &To, bool Adding) {
  auto Table = mutations();
  const Mutation *Chosen = nullptr;
  do
    Chosen = &Table[below(static_cast<std::uint32_t>(Table.size()))];
  while (Adding && !Chosen->Adds_);
  Chosen->Apply_(*this, To);
  To.Verdict_ = std::max(To.Verdict_, Chosen->Verdict_);
  To.Mutation_ += (Adding ? ", " : "") + std::string(Chosen->Name_);
}

void MessageGrammar::spoil(PlannedAnswer &Answer, const std::string &Id) {
  const std::string Owner =
      fmt::format("{}: {}\r\nX-Samphireshunt-Server-Stamp: e\r\n", IdName, Id);
  const std::string Stray =
      "HTTP/1.1 200 OK\r\nX-Samphireshunt-Request-Id: hidden\r\n"
      "Content-Length: 6\r\n\r\nhidden";
  Answer.Verdict_ = Verdict::Bad;
  switch (below(7)) {
  case 0: {
    auto Rows = framingRows();
    const FramingRow &Row =
        Rows[below(static_cast<std::uint32_t>(Rows.size()))];
    Answer.Bytes_ =
        fmt::format("HTTP/1.{} 200 OK\r\n{}{}\r\n{}", Row.MinorVersion_, Owner,
                    Row.Fields_, Row.Body_ + (Row.Content_ ? "" : Stray));
    Answer.Content_ = Row.Content_.value_or("");
    Answer.Verdict_ = Row.Content_ ? Verdict::Good : Verdict::Bad;
    return;
  }
  case 1:
    Answer.Bytes_ = Stray;
    return;
  case 2:
    // Two origins, or two types.
    Answer.Bytes_ = absl::StrReplaceAll(
        Answer.Bytes_,
        {{Owner,
          Owner + pick({"X-Samphireshunt-Request-Id: b\r\n",
                        "X-Samphireshunt-Server-Stamp: f\r\n",
                        "Content-Type: a/b\r\nContent-Type: a/c\r\n"})}});
    return;
  case 3:
    // The bytes after an answer belong to no request.
    Answer.Bytes_ += Stray;
    Answer.Verdict_ = Verdict::Either;
    return;
  case 4:
    Answer.Bytes_.resize(
        1 + below(static_cast<std::uint32_t>(Answer.Bytes_.size() - 1)));
    Answer.Closes_ = true;
    return;
  case 5:
    Answer.Bytes_ = absl::StrReplaceAll(Answer.Bytes_, {{" 200 ", " 600 "}});
    return;
  default:
    Answer.Bytes_ = "HTTP/1.1 103 Early\r\nLink: <a>\r\n\r\n" + Answer.Bytes_;
    Answer.Verdict_ = Verdict::Good;
    return;
  }
}

PlannedAnswer MessageGrammar::answerTo(const Parts &Request, bool Odd) {
  PlannedAnswer New;
  New.Content_ = "ran " + Request.Id_;
  std::string Framing = fmt::format("Content-Length: {}\r\n\r\n{}",
                                    New.Content_.size(), New.Content_);
  if (oneOf(2))
    Framing = fmt::format("Transfer-Encoding: chunked\r\n\r\n4\r\nran "
                          "\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                          Request.Id_.size(), Request.Id_);
  if (Request.Method_ == "HEAD") {
    Framing.resize(Framing.find("\r\n\r\n") + 4);
    New.Content_.clear();
  }
  New.Bytes_ = fmt::format(
      "HTTP/1.1 200 OK\r\n{}: {}\r\nX-Samphireshunt-Server-Stamp: e\r\n{}",
      IdName, Request.Id_, Framing);
  // What follows the head of an answer to HEAD can't be told from a next one.
  if (Odd && Request.Method_ != "HEAD")
    spoil(New, Request.Id_);
  New.Failing_ = Odd;
  return New;
}

PlannedRequest MessageGrammar::plain() {
  Parts New = parts("sound");
  PlannedAnswer Answer = answerTo(New, /*Odd=*/false);
  PlannedRequest Request = written(std::move(New));
  Request.Answer_ = std::move(Answer);
  return Request;
}

PlannedRequest MessageGrammar::any() {
  bool OddEngine = oneOf(4);
  Parts New = parts(OddEngine ? "odd" : "sound");
  if (oneOf(2)) {
    New.After_ = hidden();
    mutate(New, /*Adding=*/false);
    if (oneOf(3))
      mutate(New, /*Adding=*/true);
  }
  PlannedAnswer Answer = answerTo(New, OddEngine && oneOf(3));
  Answer.Failing_ = OddEngine;
  PlannedRequest Request = written(std::move(New));
  Request.Answer_ = std::move(Answer);
  return Request;
}

PlannedConnection MessageGrammar::connection() {
  constexpr std::uint32_t MaxRequests = 6;
  PlannedConnection New;
  New.Pipelined_ = oneOf(2);
  std::vector<PlannedRequest> &All = New.Requests_;
  All.resize(1 + below(MaxRequests));
  Verdict Rest = Verdict::Good;
  for (PlannedRequest &Each : All) {
    Each = any();
    Verdict Own = Each.Verdict_;
    Each.Verdict_ = std::max(Own, Rest);
    if (Own == Verdict::Bad)
      Rest = Verdict::Bad;
    else if (Own == Verdict::Either || Each.Ends_)
      Rest = std::max(Rest, Verdict::Either);
  }
  if (PlannedRequest &Last = All.back(); oneOf(6) && Last.Mutation_.empty()) {
    Last.Bytes_.resize(
        1 + below(static_cast<std::uint32_t>(Last.Bytes_.size() - 1)));
    Last.Verdict_ = Verdict::Bad;
    Last.Cut_ = true;
    Last.Mutation_ = "cut";
  }
  return New;
}

std::vector<std::string> MessageGrammar::pieces(const std::string &Bytes) {
  constexpr std::uint32_t MaxPiece = 200;
  constexpr std::size_t MaxBytewise = 600;
  std::uint32_t Bound = 0;
  if (oneOf(6) && Bytes.size() <= MaxBytewise)
    Bound = 1;
  else if (oneOf(2))
    Bound = MaxPiece;
  if (Bound == 0)
    return {Bytes};
  std::vector<std::string> All;
  for (std::size_t At = 0; At < Bytes.size(); At += All.back().size())
    All.push_back(Bytes.substr(At, 1 + below(Bound)));
  return All;
}

} // namespace samphireshunt::tests
