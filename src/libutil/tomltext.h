#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

// toml++ detects some malformed texts only by assertions. They would abort the
// process or, with NDEBUG, be ignored, so that the parser continues. This
// header makes them throw instead. Every file that uses toml++ must include it
// through this header.
namespace coltsfoot {

/// Thrown when an assertion of toml++ fails.
class TomlAssertion : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

[[noreturn]] void throwTomlAssertion(const char *Condition);

} // namespace coltsfoot

#ifdef NDEBUG
#define COLTSFOOT_NDEBUG_WAS_SET
#undef NDEBUG
#endif
#define TOML_ASSERT(Condition)                                                 \
  (static_cast<bool>(Condition) ? static_cast<void>(0)                         \
                                : ::coltsfoot::throwTomlAssertion(#Condition))
#include <toml++/toml.h>
#ifdef COLTSFOOT_NDEBUG_WAS_SET
#define NDEBUG
#undef COLTSFOOT_NDEBUG_WAS_SET
#endif

namespace coltsfoot {

/// Parses a TOML text. File is only used in error messages. Throws
/// SettingsError with the line of the first problem, or without a line when an
/// assertion of toml++ detected it.
toml::table parseToml(std::string_view Text, const std::string &File);

/// Formats a value for error messages. Long values are truncated; tables and
/// arrays are only named as such.
std::string tomlValueText(const toml::node &Value);

} // namespace coltsfoot
