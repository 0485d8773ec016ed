#include "settingstable.h"

namespace coltsfoot {

std::string settingsHelp() {
  std::string Out = "Settings of coltsfootd, in TOML format. Every key has a "
                    "default; unknown keys are errors.\n";
  std::string_view Current;
  for (const SettingEntry &Entry : settingsTable()) {
    if (Entry.Table_ != Current)
      Out += "\n[" + std::string(Entry.Table_) + "]\n";
    Current = Entry.Table_;
    std::string Unit =
        Entry.Unit_.empty() ? "" : ", " + std::string(Entry.Unit_);
    Out += "  " + std::string(Entry.Key_) + " = " + defaultText(Entry) + "\n";
    Out += "      " + std::string(Entry.Description_) + "\n";
    Out += "      " + expectedText(Entry) + Unit + "\n";
  }
  return Out;
}

std::string settingsMarkdown() {
  std::string Out = "| key | unit | default | range | meaning |\n"
                    "|---|---|---|---|---|\n";
  for (const SettingEntry &Entry : settingsTable()) {
    Out += "| `" + Entry.name() + "` | " + std::string(Entry.Unit_) + " | `" +
           defaultText(Entry) + "` | " + expectedText(Entry) + " | " +
           std::string(Entry.Description_) + " |\n";
  }
  return Out;
}

} // namespace coltsfoot
