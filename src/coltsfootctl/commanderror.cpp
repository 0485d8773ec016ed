#include "commanderror.h"

#include "jsontext.h"

namespace coltsfoot {

namespace {

constexpr int ConflictStatus = 409;
constexpr int UnavailableStatus = 503;

} // namespace

ExitCode exitCodeFor(int Status, std::string_view Body) {
  if (Status / 100 == 2)
    return ExitCode::Done;
  if (Status == ConflictStatus)
    return ExitCode::LostRace;
  if (Status == UnavailableStatus && textOf(Body, "outcome") == "unknown")
    return ExitCode::OutcomeUnknown;
  return ExitCode::Failed;
}

std::string refusalText(int Status, std::string_view Body) {
  std::string Text = "the node answered " + std::to_string(Status);
  std::string Error = textOf(Body, "error");
  std::string Field = textOf(Body, "field");
  if (!Error.empty())
    Text += ": " + Error;
  if (!Field.empty())
    Text += " (field " + Field + ")";
  return Text;
}

} // namespace coltsfoot
