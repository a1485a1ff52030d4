#include "platform/Headers.h"

#include <doctest/doctest.h>

#include <limits>

using namespace samphireshunt;
using std::chrono::milliseconds;

namespace {
const ForwardingDialect Dialect = platform::platformDialect();
} // namespace

TEST_CASE("another server at the address is distinguished from a refusal") {
  // Guards also against a refusal that the caller asked for, which counted as
  // another server's.
  struct Row {
    int Status_;
    const char *Named_;
    bool Expects_;
    Answerer By_;
  };
  for (const Row &Case : {Row{421, nullptr, false, Answerer::Other},
                          Row{421, nullptr, true, Answerer::Unknown},
                          Row{421, "i-2", false, Answerer::Other},
                          Row{421, "i-2", true, Answerer::Other},
                          Row{421, "i-1", false, Answerer::Intended},
                          Row{421, "i-1", true, Answerer::Intended},
                          Row{503, nullptr, false, Answerer::Intended},
                          Row{503, nullptr, true, Answerer::Intended}}) {
    HttpResponse Head;
    Head.Status_ = Case.Status_;
    Head.Fields_["x-samphireshunt-not-executed"] = "1";
    if (Case.Named_)
      Head.Fields_["x-samphireshunt-instance-id"] = Case.Named_;
    HttpFields Sent;
    if (Case.Expects_)
      Sent["x-samphireshunt-expect-version"] = "1";
    CAPTURE(Case.Status_);
    CAPTURE(Case.Expects_);
    CHECK(Dialect.ReadAnswer_(Head).NotRun_);
    CHECK(answererOf(Dialect.ReadAnswer_(Head), Dialect.ReadCall_(Sent),
                     ServerName("i-1")) == Case.By_);
  }
}

TEST_CASE("a caller's labels are read into typed values") {
  HttpFields Fields = {
      {"x-samphireshunt-request-id", "9c41"},
      {"x-samphireshunt-deadline-ms", "6000"},
      {"x-samphireshunt-token-count", "1460,80"},
      {"x-samphireshunt-length-hint", "12"},
      {"x-samphireshunt-prompt-prefix", "5c1e07a2:800,91bd3f06:410"}};
  CallLabels Labels = Dialect.ReadCall_(Fields);
  CHECK(Labels.CallId_ == "9c41");
  CHECK(Labels.Timeout_ == milliseconds(6000));
  CHECK(Labels.Prompt_ == Tokens(1460));
  CHECK(Labels.MaxAnswer_ == Tokens(80));
  CHECK(Labels.EstimatedAnswer_ == Tokens(12));
  REQUIRE(Labels.Parts_.size() == 2);
  CHECK(Labels.Parts_[1].Id_ == 0x91bd3f06);
  CHECK(Labels.Parts_[1].Length_ == Tokens(410));
}

TEST_CASE("notices of a server that are there twice are not read") {
  // Guards against one of two contradicting values that is believed.
  for (const char *Name : {"server-limit", "x-samphireshunt-server-limit"})
    CHECK(Dialect.ReadServerLimit_(HttpFields{{Name, "1"}, {Name, "9"}})
              .error()
              .Code_ == ResultCode::BadServerLimit);
  for (const char *Name : {"server-brittle", "x-samphireshunt-server-brittle"})
    CHECK(Dialect.ReadBrittle_(HttpFields{{Name, "1"}, {Name, "9"}})
              .error()
              .Code_ == ResultCode::BadServerNotice);
  for (const char *Name : {"server-leaving", "x-samphireshunt-server-leaving"})
    CHECK(Dialect.ReadLeaving_(HttpFields{{Name, "0"}, {Name, "1"}})
              .error()
              .Code_ == ResultCode::BadServerNotice);
  HttpResponse Rejected;
  Rejected.Status_ = 503;
  Rejected.Fields_ = {{"retry-after", "1"}, {"retry-after", "9"}};
  CHECK(Dialect.ReadRest_(Rejected).error().Code_ ==
        ResultCode::BadServerNotice);
  HttpResponse Head;
  Head.Fields_ = {{"x-samphireshunt-server-load", "1,2,3"},
                  {"x-samphireshunt-server-load", "4,5,6"}};
  CHECK_FALSE(Dialect.ReadAnswer_(Head).Waiting_);
}

TEST_CASE("labels that can't be read are absent, not zero") {
  CallLabels Labels =
      Dialect.ReadCall_({{"x-samphireshunt-deadline-ms", "soon"},
                         {"x-samphireshunt-token-count", "12"},
                         {"x-samphireshunt-prompt-prefix", "5c:800,zz:1"}});
  CHECK_FALSE(Labels.Timeout_.has_value());
  CHECK(Labels.Prompt_ == Tokens(12));
  CHECK_FALSE(Labels.MaxAnswer_.has_value());
  CHECK(Labels.Parts_.size() == 1);
}

TEST_CASE(
    "fields that only this system may set are not accepted from a caller") {
  HttpFields Fields = {{"x-samphireshunt-tenant", "somebody"},
                       {"x-samphireshunt-retention", "r"},
                       {"x-samphireshunt-pin-ms", "1"},
                       {"x-samphireshunt-kv-backup", "10.0.0.1:1"},
                       {"kv-from", "10.0.0.1:1/h"},
                       {"kv-fetch", "10.0.0.1:1"},
                       {"x-samphireshunt-deadline-ms", "9999"},
                       {"x-other", "kept"}};
  ForwardLabels Labels;
  Labels.Timeout_ = milliseconds(700);
  Labels.Server_ = ServerName("i-1");
  Dialect.WriteForward_(Fields, Labels);
  CHECK(Fields == HttpFields{{"x-samphireshunt-deadline-ms", "700"},
                             {"x-samphireshunt-expect-instance", "i-1"},
                             {"x-other", "kept"}});
  Labels.Customer_ = CustomerName("t-1");
  Dialect.WriteForward_(Fields, Labels);
  CHECK(Fields.only("x-samphireshunt-tenant") == "t-1");
}

TEST_CASE("only a server's own statement counts as proof that it did not run a "
          "request") {
  HttpResponse Answer;
  Answer.Status_ = 503;
  CHECK_FALSE(Dialect.ReadAnswer_(Answer).NotRun_);
  Answer.Fields_["x-samphireshunt-not-executed"] = "1";
  Answer.Fields_["x-samphireshunt-server-load"] = "3,2,8";
  CHECK(Dialect.ReadAnswer_(Answer).NotRun_);
  CHECK(Dialect.ReadAnswer_(Answer).Waiting_ == 2U);
  HttpResponse Misdirected;
  Misdirected.Status_ = 421;
  CHECK(Dialect.ReadAnswer_(Misdirected).NotRun_);
}

TEST_CASE("the rate that an engine names is read under both of its names") {
  for (const char *Name : {"server-limit", "x-samphireshunt-server-limit"}) {
    auto Read = Dialect.ReadServerLimit_({{Name, "1.4"}});
    REQUIRE(Read.has_value());
    CHECK(*Read == RequestRate(1.4));
    auto Bad = Dialect.ReadServerLimit_({{Name, "-1"}});
    REQUIRE(Bad.has_error());
    CHECK(Bad.error().Code_ == ResultCode::BadServerLimit);
  }
  CHECK_FALSE(Dialect.ReadServerLimit_({}).value().has_value());
}

TEST_CASE("a caller that takes a stream up again names the attempt that began "
          "it") {
  for (const char *Name : {"resumes", "x-samphireshunt-resumes"}) {
    CallLabels Labels =
        Dialect.ReadCall_({{Name, "9c41"}, {"last-event-id", "7"}});
    CHECK(Labels.Resumes_ == "9c41");
    CHECK(Labels.AfterEvent_ == "7");
  }
  CallLabels New = Dialect.ReadCall_({});
  CHECK(New.Resumes_.empty());
  CHECK_FALSE(New.AfterEvent_.has_value());
}

TEST_CASE(
    "the time that work takes on a server's machine is the fourth figure") {
  HttpResponse Head;
  Head.Fields_["x-samphireshunt-server-load"] = "3,1,8,250";
  AnswerLabels Labels = Dialect.ReadAnswer_(Head);
  CHECK(Labels.Waiting_ == 1);
  CHECK(Labels.WorkTimePercent_ == 250);
  Head.Fields_["x-samphireshunt-server-load"] = "3,1,8";
  CHECK_FALSE(Dialect.ReadAnswer_(Head).WorkTimePercent_.has_value());
  Head.Fields_["x-samphireshunt-server-load"] = "3,1,8,soon";
  CHECK_FALSE(Dialect.ReadAnswer_(Head).WorkTimePercent_.has_value());
}

TEST_CASE("an absurd time that work takes doesn't pass for a usual one") {
  // Guards against a figure that overflows into a plausible one.
  constexpr std::uint32_t Max = std::numeric_limits<std::uint32_t>::max();
  HttpResponse Head;
  Head.Fields_["x-samphireshunt-server-load"] = "3,1,8,4294967546";
  CHECK(Dialect.ReadAnswer_(Head).WorkTimePercent_ == Max);
  for (const char *Bad : {"3,1,8,-250", "3,1,8,", "3,1,8,99999999999999999999",
                          "3,1,8,250%", "3,1,8, 250"}) {
    CAPTURE(Bad);
    Head.Fields_["x-samphireshunt-server-load"] = Bad;
    CHECK_FALSE(Dialect.ReadAnswer_(Head).WorkTimePercent_.has_value());
  }
}

TEST_CASE("a request that goes on with a run names the run's memory") {
  HttpFields Fields = {{"kv-from", "10.0.0.1:1/forged"}};
  ForwardLabels Labels;
  Labels.MemoryFrom_ = MemoryLocation{ServerName("s"), "10.0.0.2:80/h7"};
  Labels.BackupTo_ = *parseEndpoint("10.0.0.3:80");
  Dialect.WriteForward_(Fields, Labels);
  CHECK(Fields["kv-from"] == "10.0.0.2:80/h7");
  CHECK(Fields["x-samphireshunt-kv-backup"] == "10.0.0.3:80");
}

TEST_CASE("an order to stop a run, and what engines answer to it") {
  MoveOrder Order{"9c41", *parseEndpoint("10.0.0.3:80"), true};
  HttpRequest Request = Dialect.Memory_.WriteMove_(Order);
  CHECK(Request.Method_ == "POST");
  CHECK(Request.Target_ == "/-/kv-move");
  CHECK(Request.Body_ == R"({"id":"9c41","last":true,"to":"10.0.0.3:80"})");
  auto Read = Dialect.Memory_.ReadMove_;
  auto Kept = Read({503, {}, R"({"session":"h7","created":4})"});
  REQUIRE(Kept.has_value());
  CHECK(Kept->Result_ == MoveResult::NotCopied);
  CHECK(Kept->Handle_ == "h7");
  CHECK(Kept->Events_ == 4);
  CHECK(Read({404, {}, ""})->Result_ == MoveResult::NoSuchRun);
  CHECK(Read({409, {}, ""})->Result_ == MoveResult::Busy);
  CHECK(Read({200, {}, "{}"}).error().Code_ == ResultCode::BadMemoryAnswer);
  CHECK(Read({200, {}, "?"}).error().Code_ == ResultCode::BadMemoryAnswer);
  CHECK(Read({500, {}, "{}"}).error().Code_ == ResultCode::BadMemoryAnswer);
  CHECK(Dialect.Memory_.WriteRelease_("h7").Target_ == "/-/kv-handle/h7");
}
