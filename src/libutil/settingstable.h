#pragma once

#include "coltsfootpoint/settings.h"

#include <span>
#include <string_view>
#include <variant>

namespace coltsfoot {

/// What a text setting must hold.
enum class TextForm { Name, IpNumber, IpPort, FileName };

/// A number within a range, both ends included. Whole numbers alone are taken
/// unless the setting is a time.
struct NumberSetting {
  double Default_ = 0;
  double Min_ = 0;
  double Max_ = 0;
  void (*Store_)(Settings &Target, double Value) = nullptr;
};

/// A text; an empty default means that the setting may be left out.
struct TextSetting {
  TextForm Form_ = TextForm::Name;
  std::string_view Default_;
  std::string &(*Field_)(Settings &Target) = nullptr;
};

/// A list of `ip:port`, empty when left out.
struct AddressListSetting {
  std::vector<std::string> &(*Field_)(Settings &Target) = nullptr;
};

/// One of a few names; the first is the default. Store gets its index.
struct ChoiceSetting {
  std::span<const std::string_view> Names_;
  size_t Default_ = 0;
  void (*Store_)(Settings &Target, size_t Index) = nullptr;
};

using SettingKind =
    std::variant<NumberSetting, TextSetting, AddressListSetting, ChoiceSetting>;

/// One key of the settings file.
struct SettingEntry {
  std::string_view Table_;
  std::string_view Key_;
  std::string_view Unit_;
  std::string_view Text_;
  SettingKind Kind_;

  /// Returns `table.key`.
  std::string name() const;
  /// Returns whether fractions are taken.
  bool isTime() const { return Unit_ == "ms" || Unit_ == "share"; }
};

/// Returns every key there is, table by table.
std::span<const SettingEntry> settingsTable();

/// Returns the default as it would stand in a file; `none` where a setting may
/// be left out.
std::string defaultText(const SettingEntry &Entry);

/// Returns what a value must be, such as `a whole number from 1 to 64`.
std::string expectedText(const SettingEntry &Entry);

/// Returns a number without needless digits.
std::string numberText(double Value);

} // namespace coltsfoot
