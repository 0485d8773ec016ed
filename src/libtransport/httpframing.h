#pragma once

#include <string_view>

namespace coltsfoot {

/// Checks of HTTP/1.1 messages that decide where a message ends, or what a
/// field may hold. Two parsers that differ in these could be made to see
/// different messages in the same bytes, so whatever is doubtful is refused.

/// Returns whether the name is a token, as methods and field names must be.
bool isHttpToken(std::string_view Name);

/// Returns whether the value can stand in a header field: no control
/// characters, so it can neither end its line nor begin another.
bool isHttpFieldValue(std::string_view Value);

/// Returns whether the target can stand in a request line.
bool isHttpTarget(std::string_view Target);

/// Returns whether the field belongs to one connection, or gives the length of
/// a message; such fields are set by whoever writes the message.
bool isConnectionField(std::string_view Name);

/// Returns whether two names are equal without regard to case.
bool equalNames(std::string_view Left, std::string_view Right);

/// Returns the text without blanks and tabs at its ends.
std::string_view trimmed(std::string_view Text);

/// Checks a request's head, from its request line to the empty line. Returns
/// what is wrong, or an empty view. Refused are bare line breaks, folded
/// lines, control characters, more than one Host, Content-Length or
/// Transfer-Encoding, both of the latter two, and codings but `chunked`.
std::string_view requestHeadFault(std::string_view Head);

} // namespace coltsfoot
