#include "tomltext.h"

#include "coltsfootpoint/settingserror.h"

#include <sstream>

namespace coltsfoot {

namespace {

/// Maximum length of a value in an error message, in bytes.
constexpr size_t MaxValueLength = 60;

/// Replaces non-ASCII bytes in comment lines and throws SettingsError for them
/// elsewhere. The tables of Unicode spaces in toml++ 3.3 cause undefined
/// behaviour for some non-ASCII characters.
std::string withAsciiOnly(std::string_view Text, const std::string &File) {
  std::string Out(Text);
  int Line = 1;
  bool AtLineStart = true;
  bool InComment = false;
  for (char &C : Out) {
    if (AtLineStart && C != ' ' && C != '\t') {
      InComment = C == '#';
      AtLineStart = false;
    }
    if (C == '\n') {
      ++Line;
      AtLineStart = true;
    } else if (static_cast<unsigned char>(C) > 0x7f) {
      if (!InComment)
        throw SettingsError(
            {{File, Line, "", "only ASCII characters outside of comment lines",
              "a non-ASCII character"}});
      C = '?';
    }
  }
  return Out;
}

} // namespace

void throwTomlAssertion(const char *Condition) {
  throw TomlAssertion(Condition);
}

toml::table parseToml(std::string_view Text, const std::string &File) {
  try {
    return toml::parse(withAsciiOnly(Text, File), File);
  } catch (const toml::parse_error &Error) {
    throw SettingsError({{File, static_cast<int>(Error.source().begin.line), "",
                          "valid TOML", std::string(Error.description())}});
  } catch (const TomlAssertion &) {
    throw SettingsError({{File, 0, "", "valid TOML", "malformed text"}});
  }
}

std::string tomlValueText(const toml::node &Value) {
  std::ostringstream Out;
  Value.visit([&Out](const auto &Typed) {
    if constexpr (toml::is_table<decltype(Typed)>)
      Out << "a table";
    else if constexpr (toml::is_array<decltype(Typed)>)
      Out << "a list";
    else
      Out << Typed;
  });
  std::string Text = Out.str();
  if (Text.size() > MaxValueLength)
    Text = Text.substr(0, MaxValueLength) + "...";
  return Text;
}

} // namespace coltsfoot
