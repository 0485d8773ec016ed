#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace coltsfoot {

/// One problem in a settings file.
struct SettingsProblem {
  std::string File_;
  /// Line of the problem, from 1; 0 when it belongs to no line, such as a
  /// missing key.
  int Line_ = 0;
  /// Key with its table, such as `timeouts.silent_ms`; empty when the problem
  /// concerns no key.
  std::string Key_;
  std::string Expected_;
  std::string Found_;

  /// Returns `file:line: key: expected …, found …`.
  std::string text() const;
  bool operator==(const SettingsProblem &) const = default;
};

/// Thrown for unusable settings. It lists every problem that was found; what()
/// has one line for each.
class SettingsError : public std::runtime_error {
public:
  explicit SettingsError(std::vector<SettingsProblem> Problems);

  const std::vector<SettingsProblem> &problems() const { return Problems_; }

private:
  std::vector<SettingsProblem> Problems_;
};

} // namespace coltsfoot
