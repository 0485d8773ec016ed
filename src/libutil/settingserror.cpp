#include "coltsfootpoint/settingserror.h"

namespace coltsfoot {

namespace {

std::string joinTexts(const std::vector<SettingsProblem> &Problems) {
  std::string All;
  for (const SettingsProblem &Problem : Problems)
    All += (All.empty() ? "" : "\n") + Problem.text();
  return All;
}

} // namespace

std::string SettingsProblem::text() const {
  std::string Text = File_;
  if (Line_ > 0)
    Text += ":" + std::to_string(Line_);
  Text += ": ";
  if (!Key_.empty())
    Text += Key_ + ": ";
  Text += "expected " + Expected_;
  if (!Found_.empty())
    Text += ", found " + Found_;
  return Text;
}

SettingsError::SettingsError(std::vector<SettingsProblem> Problems)
    : std::runtime_error(joinTexts(Problems)), Problems_(std::move(Problems)) {}

} // namespace coltsfoot
