#include "routepath.h"

#include <algorithm>
#include <cctype>

namespace coltsfoot {

namespace {

constexpr size_t MaxPathLength = 512;

/// Ordered from the least to the most specific kind.
enum class SegmentKind { Wildcard, Parameter, Literal };

/// Removes the first segment from the path and returns it with its leading
/// slash.
std::string_view nextSegment(std::string_view &Path) {
  size_t End = Path.find('/', 1);
  std::string_view Segment = Path.substr(0, End);
  Path.remove_prefix(Segment.size());
  return Segment;
}

SegmentKind segmentKind(std::string_view Segment) {
  if (Segment.ends_with('*'))
    return SegmentKind::Wildcard;
  if (Segment.size() > 1 && Segment[1] == '{')
    return SegmentKind::Parameter;
  return SegmentKind::Literal;
}

bool isNameCharacter(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) != 0 || C == '_';
}

std::string segmentError(std::string_view Segment, bool IsLast) {
  size_t Star = Segment.find('*');
  if (Star != std::string_view::npos && (!IsLast || Star + 1 != Segment.size()))
    return "'*' may only stand at the end";
  if (Segment.find_first_of("{}") == std::string_view::npos)
    return "";
  bool FillsSegment =
      Segment.size() > 3 && Segment[1] == '{' && Segment.back() == '}';
  std::string_view Name =
      FillsSegment ? Segment.substr(2, Segment.size() - 3) : "";
  if (Name.empty() || !std::all_of(Name.begin(), Name.end(), isNameCharacter))
    return "braces must hold a name and fill a whole segment";
  return "";
}

} // namespace

std::string routePathError(std::string_view Pattern) {
  if (Pattern.empty() || Pattern.front() != '/')
    return "expected a path that begins with '/'";
  if (Pattern.size() > MaxPathLength)
    return "a path may have " + std::to_string(MaxPathLength) + " characters";
  for (unsigned char C : Pattern)
    if (C <= ' ' || C >= 0x7f || C == '?' || C == '#')
      return "a path holds no spaces, control characters, '?' or '#'";
  while (!Pattern.empty()) {
    std::string_view Segment = nextSegment(Pattern);
    std::string Error = segmentError(Segment, Pattern.empty());
    if (!Error.empty())
      return Error;
  }
  return "";
}

std::string normalizedRoutePath(std::string_view Pattern) {
  std::string Normalized;
  while (!Pattern.empty()) {
    std::string_view Segment = nextSegment(Pattern);
    Normalized +=
        segmentKind(Segment) == SegmentKind::Parameter ? "/{}" : Segment;
  }
  return Normalized;
}

bool routePathMatches(std::string_view Pattern, std::string_view Path) {
  if (Path.empty() || Path.front() != '/')
    return false;
  while (!Pattern.empty()) {
    std::string_view Expected = nextSegment(Pattern);
    SegmentKind Kind = segmentKind(Expected);
    if (Kind == SegmentKind::Wildcard)
      return Path.starts_with(Expected.substr(0, Expected.size() - 1));
    if (Path.empty())
      return false;
    std::string_view Segment = nextSegment(Path);
    bool Matches = Kind == SegmentKind::Parameter ? Segment.size() > 1
                                                  : Segment == Expected;
    if (!Matches)
      return false;
  }
  return Path.empty();
}

bool routePathMoreSpecific(std::string_view Left, std::string_view Right) {
  while (!Left.empty() && !Right.empty()) {
    std::string_view LeftSegment = nextSegment(Left);
    std::string_view RightSegment = nextSegment(Right);
    SegmentKind LeftKind = segmentKind(LeftSegment);
    SegmentKind RightKind = segmentKind(RightSegment);
    if (LeftKind != RightKind)
      return LeftKind > RightKind;
    if (LeftKind == SegmentKind::Wildcard)
      return LeftSegment.size() > RightSegment.size();
  }
  return !Left.empty();
}

} // namespace coltsfoot
