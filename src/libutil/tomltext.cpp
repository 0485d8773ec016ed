#include "tomltext.h"

#include "coltsfootpoint/settingserror.h"

#include <sstream>

namespace coltsfoot {

namespace {

/// Longest value that an error repeats.
constexpr size_t MaxFoundLength = 60;

/// Replaces what is not ASCII in comment lines and refuses it elsewhere, since
/// toml++ 3.3's tables of Unicode spaces lead some of it to undefined
/// behaviour.
std::string asciiOnly(std::string_view Text, const std::string &File) {
  std::string Out(Text);
  int Line = 1;
  bool LineBegins = true;
  bool Comment = false;
  for (char &C : Out) {
    if (LineBegins && C != ' ' && C != '\t') {
      Comment = C == '#';
      LineBegins = false;
    }
    if (C == '\n') {
      ++Line;
      LineBegins = true;
    } else if (static_cast<unsigned char>(C) > 0x7f) {
      if (!Comment)
        throw SettingsError(
            {{File, Line, "", "ASCII alone outside of comment lines",
              "another character"}});
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
    return toml::parse(asciiOnly(Text, File), File);
  } catch (const toml::parse_error &Error) {
    throw SettingsError({{File, static_cast<int>(Error.source().begin.line), "",
                          "valid TOML", std::string(Error.description())}});
  } catch (const TomlAssertion &) {
    throw SettingsError({{File, 0, "", "valid TOML", "malformed text"}});
  }
}

std::string foundText(const toml::node &Value) {
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
  if (Text.size() > MaxFoundLength)
    Text = Text.substr(0, MaxFoundLength) + "...";
  return Text;
}

} // namespace coltsfoot
