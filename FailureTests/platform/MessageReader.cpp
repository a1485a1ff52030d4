#include "FailureTests/platform/MessageReader.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <charconv>
#include <cstdint>

namespace samphireshunt::tests {

namespace {

/// \returns the number that \p Digits say, and nothing else.
std::optional<std::uint64_t> numberOf(std::string_view Digits, int Base = 10) {
  std::uint64_t Number = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Last, Error] = std::from_chars(Digits.data(), End, Number, Base);
  return Error == std::errc() && Last == End ? std::optional(Number)
                                             : std::nullopt;
}

/// \returns the end of the chunks at the front of \p Bytes, and adds what they
/// say to \p Content; nothing if they are not whole.
std::optional<std::size_t> readChunks(std::string_view Bytes,
                                      std::string &Content) {
  for (std::size_t At = 0;;) {
    std::size_t Line = Bytes.find("\r\n", At);
    if (Line == std::string_view::npos)
      return std::nullopt;
    constexpr int Hex = 16;
    std::string_view Digits = Bytes.substr(At, Line - At);
    auto Size = numberOf(Digits.substr(0, Digits.find(';')), Hex);
    if (!Size)
      return std::nullopt;
    if (*Size == 0) {
      std::size_t End = Bytes.find("\r\n\r\n", Line);
      return End == std::string_view::npos ? std::nullopt
                                           : std::optional(End + 4);
    }
    if (Bytes.size() < Line + 2 + *Size + 2)
      return std::nullopt;
    Content += Bytes.substr(Line + 2, *Size);
    At = Line + 2 + *Size + 2;
  }
}

} // namespace

std::vector<std::string> ReadMessage::valuesOf(std::string_view Name) const {
  std::vector<std::string> Values;
  const std::string Begin = "\r\n" + std::string(Name) + ':';
  for (std::size_t At = 0; (At = Fields_.find(Begin, At)) != Fields_.npos;) {
    At += Begin.size();
    Values.push_back(boost::algorithm::trim_copy(
        Fields_.substr(At, Fields_.find("\r\n", At) - At)));
  }
  return Values;
}

int ReadMessage::status() const {
  constexpr std::size_t Digits = 3;
  std::size_t Space = StartLine_.find(' ');
  if (!StartLine_.starts_with("HTTP/1.") || Space == std::string::npos)
    return 0;
  std::string_view Text =
      std::string_view(StartLine_).substr(Space + 1, Digits);
  return static_cast<int>(numberOf(Text).value_or(0));
}

std::optional<ReadMessage> takeMessage(std::string &Bytes, bool HasContent,
                                       bool Ended) {
  std::size_t End = Bytes.find("\r\n\r\n");
  if (End == std::string::npos)
    return std::nullopt;
  ReadMessage Read;
  std::size_t Line = Bytes.find("\r\n");
  Read.StartLine_ = Bytes.substr(0, Line);
  Read.Fields_ =
      boost::algorithm::to_lower_copy(Bytes.substr(Line, End - Line));
  End += 4;
  std::string_view Rest = std::string_view(Bytes).substr(End);
  int Status = Read.status();
  auto Lengths = Read.valuesOf("content-length");
  if (!HasContent || Status / 100 == 1 || Status == 204 || Status == 304) {
    // Has no content, whatever its fields say.
  } else if (!Read.valuesOf("transfer-encoding").empty()) {
    auto Chunks = readChunks(Rest, Read.Content_);
    if (!Chunks)
      return std::nullopt;
    End += *Chunks;
  } else if (!Lengths.empty()) {
    auto Length = numberOf(Lengths.front());
    if (!Length || Rest.size() < *Length)
      return std::nullopt;
    Read.Content_ = Rest.substr(0, *Length);
    End += *Length;
  } else if (Status != 0) {
    if (!Ended)
      return std::nullopt;
    Read.Content_ = Rest;
    End = Bytes.size();
  }
  Bytes.erase(0, End);
  return Read;
}

} // namespace samphireshunt::tests
