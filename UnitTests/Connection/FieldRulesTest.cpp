#include "Connection/FieldRules.h"

#include <doctest/doctest.h>

#include <vector>

using namespace samphireshunt;

namespace {

FieldRules rules() {
  DialectFields Fields;
  Fields.Prefix_ = "x-vm-";
  Fields.Names_ = {"resumes"};
  Fields.AnswerNames_ = {"x-vm-stamp"};
  return FieldRules(std::move(Fields));
}

} // namespace

TEST_CASE("lines of one name keep their number and order") {
  HttpFields Fields = {{"b", "1"}, {"a", "2"}, {"b", "3"}};
  CHECK(Fields.size() == 3);
  CHECK(Fields.count("b") == 2);
  CHECK(Fields.find("b")->second == "1");
  CHECK(Fields.find("c") == Fields.end());
  CHECK(Fields.only("a") == "2");
  CHECK(Fields.only("b").empty());
  Fields["b"] = "4";
  CHECK(Fields == HttpFields{{"a", "2"}, {"b", "4"}});
  Fields.add("b", "5");
  Fields.erase("b");
  CHECK(Fields == HttpFields{{"a", "2"}});
}

TEST_CASE("a request is refused whose fields can be read in two ways") {
  // Guards against a server that reads another value than the daemon does.
  const std::vector<HttpFields> Refused = {
      {{"host", "a"}, {"host", "a"}},
      {{"content-type", "a"}, {"content-type", "b"}},
      {{"authorization", "a"}, {"authorization", "b"}},
      {{"x-vm-id", "a"}, {"x-vm-id", "b"}},
      {{"x-vm-of-later", "a"}, {"x-vm-of-later", "b"}},
      {{"resumes", "a"}, {"resumes", "b"}},
      {{"connection", "host"}},
      {{"connection", "close"}, {"connection", "a , X-VM-Id"}},
      {{"connection", "keep-alive,\tresumes"}},
      {{"connection", "authorization"}},
      {{"connection", "cookie"}},
      {{"connection", "cache-control"}},
      {{"x_vm_id", "a"}},
      {{"x-vm_id", "a"}},
      {{"content_length", "1"}},
      {{"transfer_encoding", "chunked"}},
      {{"keep_alive", "a"}},
  };
  for (const HttpFields &Fields : Refused) {
    CAPTURE(Fields.begin()->first);
    CAPTURE(Fields.begin()->second);
    CHECK(rules().requestFault(Fields));
  }
  const std::vector<HttpFields> Sound = {
      {},
      {{"host", "a"}, {"x-vm-id", "a"}, {"content-type", "b"}},
      {{"cookie", "a"}, {"cookie", "b"}, {"accept", "a"}, {"accept", "b"}},
      {{"connection", "keep-alive, TE, Upgrade, x-own"}, {"te", "trailers"}},
      {{"connection", ", ,"}, {"connection", "close"}},
      {{"x_own_field", "a"}, {"x_own_field", "b"}},
      {{"via", "a"}, {"via", "b"}},
  };
  for (const HttpFields &Fields : Sound)
    CHECK(rules().requestFault(Fields).value_or("") == "");
}

TEST_CASE("a fault names no more of a field than fits into a line") {
  HttpFields Fields = {{"x-vm-" + std::string(500, 'a'), "1"},
                       {"x-vm-" + std::string(500, 'a'), "2"}};
  CHECK(rules().requestFault(Fields).value().size() < 100);
}

TEST_CASE("an answer is refused that tells two origins or types") {
  // Guards against an answer that is taken for another request's.
  CHECK(rules().answerFault({{"x-vm-stamp", "a"}, {"x-vm-stamp", "a"}}));
  CHECK(rules().answerFault({{"content-type", "a"}, {"content-type", "b"}}));
  CHECK_FALSE(rules().answerFault({{"set-cookie", "a"},
                                   {"set-cookie", "b"},
                                   {"x-vm-limit", "1"},
                                   {"x-vm-limit", "2"},
                                   {"connection", "x-vm-stamp"},
                                   {"date", "a"},
                                   {"date", "b"}}));
}

TEST_CASE("only fields of the connection are removed") {
  // Guards against an answer that loses its proof on the way.
  HttpFields Fields = {{"connection", "X-VM-Stamp, x-hop"},
                       {"connection", "set-cookie,x-other"},
                       {"x-vm-stamp", "a"},
                       {"set-cookie", "a"},
                       {"set-cookie", "b"},
                       {"x-hop", "a"},
                       {"x-other", "a"},
                       {"x-other", "b"},
                       {"keep-alive", "timeout=5"},
                       {"content-length", "5"},
                       {"te", "trailers"},
                       {"date", "a"}};
  rules().removeHopFields(Fields);
  CHECK(Fields == HttpFields{{"x-vm-stamp", "a"},
                             {"set-cookie", "a"},
                             {"set-cookie", "b"},
                             {"date", "a"}});
}
