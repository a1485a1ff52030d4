/// \file
/// What delimits a message, read strictly.

#include "Connection/MessageFraming.h"
#include "UnitTests/Connection/FramingRows.h"

#include <doctest/doctest.h>

#include <array>

using namespace samphireshunt;
using namespace samphireshunt::tests;

namespace {

std::string startLine(MessageKind Kind, char MinorVersion) {
  std::string Version = std::string("HTTP/1.") + MinorVersion;
  return Kind == MessageKind::Request ? "POST /x " + Version + "\r\n"
                                      : Version + " 200 OK\r\n";
}

/// \returns whether the message, given in pieces of \p Step bytes, is taken.
/// The bytes after it are not its own.
bool taken(MessageKind Kind, const std::string &Message, std::size_t Step) {
  MessageFraming Framing(Kind);
  for (std::size_t At = 0; At < Message.size(); At += Step) {
    CHECK_FALSE(Framing.whole());
    if (!Framing.feed(std::string_view(Message).substr(At, Step)))
      return false;
  }
  CHECK(Framing.feed("\n\n"));
  return Framing.whole();
}

} // namespace

TEST_CASE("only a message with one possible end is taken, in any pieces") {
  // Guards against a request within another one's body that is run, and an
  // answer that is cut or goes on elsewhere.
  for (MessageKind Kind : {MessageKind::Request, MessageKind::Answer})
    for (const FramingRow &Row : framingRows()) {
      std::string Message =
          startLine(Kind, Row.MinorVersion_) + Row.Fields_ + "\r\n" + Row.Body_;
      CAPTURE(Message);
      for (std::size_t Step : {std::size_t(1), std::size_t(3), Message.size()})
        CHECK(taken(Kind, Message, Step) == Row.Content_.has_value());
    }
}

TEST_CASE("a message ends where its head says") {
  struct Row {
    MessageKind Kind_;
    std::string Message_;
    bool Whole_;
  };
  const auto Request = MessageKind::Request;
  const auto Answer = MessageKind::Answer;
  const std::array Rows = {
      Row{Request, "GET / HTTP/1.1\r\n\r\n", true},
      Row{Request, "GET / HTTP/1.1\r\nHost: a\r\n\r", false},
      Row{Request, "GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n", false},
      Row{Request, "GET /\r\n\r\n", false},
      Row{Request, "\r\nGET / HTTP/1.1\r\n\r\n", false},
      Row{Request, "GET / HTTP/1.1\n\r\n", false},
      Row{Request, "GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", true},
      Row{Answer, "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", true},
      Row{Answer, "HTTP/1.1 200 OK\r\n\r\nbytes", false},
      Row{Answer, "HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n", true},
      Row{Answer, "HTTP/1.1 304 None\r\nContent-Length: 5\r\n\r\n", true},
      Row{Answer, "HTTP/1.1 103 Hints\r\n\r\n", true},
      Row{Answer, "HTTP/2 200 OK\r\n\r\n", false},
      Row{Answer, "HTTP/1.1 20\r\nContent-Length: 0\r\n\r\n", false},
      Row{MessageKind::AnswerToHead,
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true},
  };
  for (const Row &Each : Rows) {
    CAPTURE(Each.Message_);
    MessageFraming Framing(Each.Kind_);
    Framing.feed(Each.Message_);
    CHECK(Framing.whole() == Each.Whole_);
  }
}
