#include "httpframing.h"

#include <algorithm>
#include <array>

namespace coltsfoot {

namespace {

constexpr std::string_view LineEnd = "\r\n";

bool isControl(char C) {
  auto Byte = static_cast<unsigned char>(C);
  return (Byte < 0x20 && C != '\t') || Byte == 0x7f;
}

char toLowerAscii(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

/// The characters allowed in a token, RFC 9110, section 5.6.2.
constexpr std::array<bool, 256> TokenCharacters = [] {
  std::array<bool, 256> Table{};
  for (unsigned char C = '0'; C <= '9'; ++C)
    Table[C] = true;
  for (unsigned char C = 'a'; C <= 'z'; ++C)
    Table[C] = true;
  for (unsigned char C = 'A'; C <= 'Z'; ++C)
    Table[C] = true;
  for (char C : std::string_view("!#$%&'*+-.^_`|~"))
    Table[static_cast<unsigned char>(C)] = true;
  return Table;
}();

/// Returns whether the line consists of a method, a target and an HTTP version,
/// separated by single spaces.
bool isRequestLine(std::string_view Line) {
  constexpr std::string_view VersionPattern = "HTTP/0.0";
  size_t First = Line.find(' ');
  size_t Second = Line.rfind(' ');
  if (First == std::string_view::npos || First == Second)
    return false;
  std::string_view VersionText = Line.substr(Second + 1);
  return isHttpToken(Line.substr(0, First)) &&
         isHttpTarget(Line.substr(First + 1, Second - First - 1)) &&
         VersionText.size() == VersionPattern.size() &&
         VersionText.starts_with(VersionPattern.substr(0, 5));
}

/// Checks the header fields of one request and counts those that determine its
/// length (Content-Length, Transfer-Encoding) and its destination (Host).
class HeadValidator {
public:
  std::string_view addField(std::string_view Line) {
    if (Line.front() == ' ' || Line.front() == '\t')
      return "header field is folded over more than one line";
    size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos || !isHttpToken(Line.substr(0, Colon)))
      return "header field name is missing or is not a token";
    std::string_view Name = Line.substr(0, Colon);
    if (equalIgnoringCase(Name, "Host") && ++HostFields_ > 1)
      return "more than one Host header field";
    if (equalIgnoringCase(Name, "Content-Length") && ++ContentLengthFields_ > 1)
      return "more than one Content-Length header field";
    if (!equalIgnoringCase(Name, "Transfer-Encoding"))
      return {};
    if (++TransferEncodingFields_ > 1 ||
        !equalIgnoringCase(trimmed(Line.substr(Colon + 1)), "chunked"))
      return "Transfer-Encoding is not a single chunked coding";
    return {};
  }

  std::string_view finish(std::string_view RequestLine) const {
    if (ContentLengthFields_ > 0 && TransferEncodingFields_ > 0)
      return "request has both Content-Length and Transfer-Encoding";
    if (TransferEncodingFields_ > 0 && RequestLine.ends_with("HTTP/1.0"))
      return "HTTP/1.0 request has a Transfer-Encoding field";
    return {};
  }

private:
  int HostFields_ = 0;
  int ContentLengthFields_ = 0;
  int TransferEncodingFields_ = 0;
};

} // namespace

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Whitespace = " \t";
  size_t First = Text.find_first_not_of(Whitespace);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

bool isHttpToken(std::string_view Name) {
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), [](char C) {
    return TokenCharacters[static_cast<unsigned char>(C)];
  });
}

// Passes a lambda, which the compiler can inline; isControl() itself would be
// called through a function pointer for each character.
bool isHttpFieldValue(std::string_view Value) {
  return std::none_of(Value.begin(), Value.end(),
                      [](char C) { return isControl(C); });
}

bool isHttpTarget(std::string_view Target) {
  return !Target.empty() &&
         std::all_of(Target.begin(), Target.end(), [](char C) {
           auto Byte = static_cast<unsigned char>(C);
           return Byte > 0x20 && Byte != 0x7f;
         });
}

bool isConnectionField(std::string_view Name) {
  constexpr std::array<std::string_view, 4> Names = {
      "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"};
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Known) {
    return equalIgnoringCase(Name, Known);
  });
}

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(
      Left.begin(), Left.end(), Right.begin(), Right.end(),
      [](char L, char R) { return toLowerAscii(L) == toLowerAscii(R); });
}

std::string_view requestHeadError(std::string_view Head) {
  size_t End = Head.find(LineEnd);
  std::string_view RequestLine = Head.substr(0, End);
  HeadValidator Validator;
  for (size_t Start = 0; End != std::string_view::npos;) {
    std::string_view Line = Head.substr(Start, End - Start);
    if (!isHttpFieldValue(Line))
      return "request head contains a control character";
    if (Start == 0 && !isRequestLine(Line))
      return "request line is not a method, a target and an HTTP version";
    if (Line.empty())
      return Validator.finish(RequestLine);
    std::string_view Fault;
    if (Start > 0)
      Fault = Validator.addField(Line);
    if (!Fault.empty())
      return Fault;
    Start = End + LineEnd.size();
    End = Head.find(LineEnd, Start);
  }
  return "request head does not end with an empty line";
}

} // namespace coltsfoot
