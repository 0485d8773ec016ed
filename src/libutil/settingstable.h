#pragma once

#include "coltsfootpoint/settings.h"

#include <span>
#include <string_view>
#include <variant>

namespace coltsfoot {

/// Format that the value of a text setting must have.
enum class TextFormat { Name, IpAddress, IpPort, FileName, Duration };

/// A number within a range that includes both ends. It must be a whole number
/// unless SettingEntry::allowsFractions().
struct NumberSetting {
  double Default_ = 0;
  double Min_ = 0;
  double Max_ = 0;
  void (*Store_)(Settings &Target, double Value) = nullptr;
};

/// A text. An empty default means that the setting is optional.
struct TextSetting {
  TextFormat Format_ = TextFormat::Name;
  std::string_view Default_;
  std::string &(*Field_)(Settings &Target) = nullptr;
};

/// A list of `ip:port`; empty by default.
struct AddressListSetting {
  std::vector<std::string> &(*Field_)(Settings &Target) = nullptr;
};

/// One of several names. Default_ is the index of the default; Store_ receives
/// the index of the value.
struct ChoiceSetting {
  std::span<const std::string_view> Names_;
  size_t Default_ = 0;
  void (*Store_)(Settings &Target, size_t Index) = nullptr;
};

using SettingKind =
    std::variant<NumberSetting, TextSetting, AddressListSetting, ChoiceSetting>;

/// One key of the settings file, with its unit and its description for the
/// help.
struct SettingEntry {
  std::string_view Table_;
  std::string_view Key_;
  std::string_view Unit_;
  std::string_view Description_;
  SettingKind Kind_;

  /// Returns `table.key`.
  std::string name() const;
  /// Returns whether a number may have fractions: durations and shares may.
  bool allowsFractions() const { return Unit_ == "ms" || Unit_ == "share"; }
};

/// Returns every key, grouped by table.
std::span<const SettingEntry> settingsTable();

/// Returns the default in the syntax of the settings file, or `none` for a text
/// without a default.
std::string defaultText(const SettingEntry &Entry);

/// Returns the values that are accepted, such as `a whole number from 1 to 64`.
std::string expectedText(const SettingEntry &Entry);

/// Formats a number, without decimals when it is whole.
std::string numberText(double Value);

} // namespace coltsfoot
