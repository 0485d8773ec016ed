/// coltsfootctl, the operators' command line tool.

#include "commands.h"
#include "options.h"

#include "coltsfootpoint/settingserror.h"

#include <iostream>

using namespace coltsfoot;

namespace {

ExitCode fail(ExitCode Code, const char *Text) {
  std::cout.flush();
  std::cerr << "coltsfootctl: " << Text << std::endl;
  return Code;
}

ExitCode runProgram(int Argc, char **Argv) {
  try {
    auto Opts = parseOptions(Argc, Argv);
    return Opts ? runCommand(*Opts) : ExitCode::Done;
  } catch (const CommandError &Error) {
    return fail(Error.code(), Error.what());
  } catch (const SettingsError &Error) {
    return fail(ExitCode::Usage, Error.what());
  } catch (const std::exception &Error) {
    return fail(ExitCode::Failed, Error.what());
  }
}

} // namespace

int main(int Argc, char **Argv) {
  return static_cast<int>(runProgram(Argc, Argv));
}
