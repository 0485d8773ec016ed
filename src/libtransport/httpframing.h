#pragma once

#include <cstddef>
#include <string_view>

namespace coltsfoot {

/// Checks of HTTP/1.1 syntax that determine where a message ends and what a
/// header field may contain. Two parsers that disagree on these would see
/// different messages in the same bytes (request smuggling), so everything
/// ambiguous is rejected. All functions are thread-safe.

/// Limit of the name and the value of one header field together; Beast throws
/// an exception at 64 KB.
inline constexpr size_t MaxFieldLineBytes = size_t{60} * 1024;

/// Returns whether the name is a token (RFC 9110, section 5.6.2), as methods
/// and field names must be.
bool isHttpToken(std::string_view Name);

/// Returns whether the value is allowed in a header field: it contains no
/// control character except tabs, so it can't end its line and start another.
bool isHttpFieldValue(std::string_view Value);

/// Returns whether the target is allowed in a request line: it is not empty and
/// contains neither spaces nor control characters.
bool isHttpTarget(std::string_view Target);

/// Returns whether a status is one that HTTP defines: 100 to 599.
constexpr bool isHttpStatus(int Status) {
  return Status >= 100 && Status <= 599;
}

/// Returns whether a status ends an exchange: 200 to 599.
constexpr bool isFinalHttpStatus(int Status) {
  return isHttpStatus(Status) && Status >= 200;
}

/// Returns whether the field is Connection, Keep-Alive, Transfer-Encoding or
/// Content-Length. The sender of a message sets these fields itself and does
/// not copy them from another message.
bool isConnectionField(std::string_view Name);

/// Returns whether two ASCII strings are equal when case is ignored.
bool equalIgnoringCase(std::string_view Left, std::string_view Right);

/// Returns the text without leading and trailing spaces and tabs.
std::string_view trimmed(std::string_view Text);

/// Checks a request's head, from the request line to the empty line. Returns a
/// description of the first error, or an empty view. Errors are a malformed
/// request line or field name, bare line breaks, folded lines, control
/// characters, more than one Host, Content-Length or Transfer-Encoding field,
/// Content-Length together with Transfer-Encoding, transfer codings other than
/// `chunked`, Transfer-Encoding in HTTP/1.0, and a missing empty line.
std::string_view requestHeadError(std::string_view Head);

} // namespace coltsfoot
