#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

// toml++ guards against some malformed texts by assertions alone, which end
// the process or, in an optimized build, let the parser run on. Here they
// throw. Every file that uses toml++ includes it through this header.
namespace coltsfoot {

/// Thrown where an assertion of toml++ fails.
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

/// Parses a text. File is used in errors alone. Throws SettingsError with the
/// line of the first fault.
toml::table parseToml(std::string_view Text, const std::string &File);

/// Returns a value as it stands in the file, shortened, for errors.
std::string foundText(const toml::node &Value);

} // namespace coltsfoot
