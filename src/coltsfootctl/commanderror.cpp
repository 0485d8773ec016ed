#include "commanderror.h"

#include "jsonmember.h"

namespace coltsfoot {

namespace {

constexpr int ConflictStatus = 409;
constexpr int UnavailableStatus = 503;

} // namespace

ExitCode exitCodeFor(int Status, std::string_view Body) {
  if (Status / 100 == 2)
    return ExitCode::Done;
  if (Status == ConflictStatus)
    return ExitCode::Conflict;
  if (Status == UnavailableStatus && stringMember(Body, "outcome") == "unknown")
    return ExitCode::OutcomeUnknown;
  return ExitCode::Failed;
}

std::string responseErrorText(int Status, std::string_view Body) {
  std::string Text = "the node responded with status " + std::to_string(Status);
  std::string Error = stringMember(Body, "error");
  std::string Field = stringMember(Body, "field");
  if (!Error.empty())
    Text += ": " + Error;
  if (!Field.empty())
    Text += " (field " + Field + ")";
  return Text;
}

} // namespace coltsfoot
