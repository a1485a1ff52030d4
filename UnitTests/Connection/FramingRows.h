#pragma once
/// \file
/// Messages whose framing is legal, or read differently by different readers.

#include <optional>
#include <string>
#include <vector>

namespace samphireshunt::tests {

/// The part of a message after its first fields, for requests and answers.
struct FramingRow {
  std::string Fields_; ///< Further fields, each with its end of line.
  std::string Body_;   ///< All bytes after the blank line.
  /// What the body says; nothing if the message is to be refused.
  std::optional<std::string> Content_;
  char MinorVersion_ = '1';
};

inline std::vector<FramingRow> framingRows() {
  const std::string Chunked = "Transfer-Encoding: chunked\r\n";
  const std::string Length = "Content-Length: 5\r\n";
  const std::string Chunk = "5\r\nhello\r\n0\r\n\r\n";
  std::vector<FramingRow> Rows = {
      {Length, "hello", "hello"},
      {"content-LENGTH: \t 5 \t\r\n", "hello", "hello"},
      {Length, "hello", "hello", '0'},
      {Chunked, Chunk, "hello"},
      {"Transfer-Encoding:  CHUNKED\r\n", Chunk, "hello"},
      {Chunked, "5;a=b;c=\"x;host=\\\"y\"\r\nhello\r\n0;d\r\n\r\n", "hello"},
      {Chunked, "0000000000000005\r\nhello\r\n0\r\n\r\n", "hello"},
      {Chunked, "A\r\nhellohello\r\n0\r\nX-Sum: 1\r\n\r\n", "hellohello"},
      {Length + "A: \xC3\xA9\tb\r\nB:\r\n", "hello", "hello"},
      // Codings.
      {Chunked, Chunk, {}, '0'},
      {Chunked + Chunked, Chunk, {}},
      {"Transfer-Encoding: identity\r\n" + Chunked, Chunk, {}},
      {Chunked + "Transfer-Encoding: identity\r\n", Chunk, {}},
      {Chunked + Length, Chunk, {}},
      {Length + Chunked, Chunk, {}},
      {"Transfer-Encoding:\r\n" + Length, "hello", {}},
      {"Transfer-Encoding:\r\n chunked\r\n", Chunk, {}},
      {"Transfer-Encoding : chunked\r\n", Chunk, {}},
      {"Transfer-Encoding: chunked\n", Chunk, {}},
      {"Transfer-Encoding: \x0B" + std::string("chunked\r\n"), Chunk, {}},
      // Lengths.
      {Length + Length, "hello", {}},
      {Length + "Content-Length: 6\r\n", "hello", {}},
      {"Content-Length : 5\r\n", "hello", {}},
      {"Content-Length: 5\n", "hello", {}},
      {"Content-Length: 5\rA: b\r\n", "hello", {}},
      // Lines.
      {Length + "A: b\r\n c\r\n", "hello", {}},
      {Length + "A: b\n", "hello", {}},
      {Length + "A: b\rc\r\n", "hello", {}},
      {Length + "A : b\r\n", "hello", {}},
      {Length + "A\r\n", "hello", {}},
      {Length + ": b\r\n", "hello", {}},
      {Length + std::string("A: \0b\r\n", 7), "hello", {}},
      {"\n" + Length, "hello", {}},
  };
  for (std::string Coding :
       {"identity", "chunked, identity", "xchunked", "gzip, chunked",
        "chunked, chunked", "chunked;q=1", "\"chunked\"", "chunked,", "gzip"})
    Rows.push_back({"Transfer-Encoding: " + Coding + "\r\n", Chunk, {}});
  for (std::string Number : {"+5", "-5", "5, 5", "5,5", "5,", "5 5", "0x5",
                             "5.0", "", "five", "99999999999999999999"})
    Rows.push_back({"Content-Length: " + Number + "\r\n", "hello", {}});
  for (std::string Size : {"00000000000000005", "+5", "-5", "0x5", "5 5", "5 ",
                           "", ";a", "5\rx", "5;a=\"b", "5;content-length=9",
                           "5; Host=other", "5;a;te", "5;transfer-encoding"})
    Rows.push_back({Chunked, Size + "\r\nhello\r\n0\r\n\r\n", {}});
  for (std::string Body :
       {"5\nhello\r\n0\r\n\r\n", "5\r\nhello\n0\r\n\r\n", "5\r\nhello0\r\n\r\n",
        "5\r\nhello!\r\n0\r\n\r\n", "5\r\nhello\r\n0\n\r\n",
        "5\r\nhello\r\n0\r\nA: b\n\r\n"})
    Rows.push_back({Chunked, Body, {}});
  for (std::string Trailer : {"Content-Length: 3", "Transfer-Encoding: chunked",
                              "Host: other", "Authorization: Bearer other",
                              "Connection: close", "A: b\r\n c", "A : b", "A"})
    Rows.push_back({Chunked, "5\r\nhello\r\n0\r\n" + Trailer + "\r\n\r\n", {}});
  return Rows;
}

} // namespace samphireshunt::tests
