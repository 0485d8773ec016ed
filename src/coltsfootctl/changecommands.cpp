#include "commands.h"

#include "fleetclient.h"
#include "jsontext.h"
#include "options.h"
#include "resourcefile.h"

#include <iostream>
#include <thread>

namespace coltsfoot {

namespace {

constexpr auto PollTime = std::chrono::milliseconds(100);
constexpr int NotFoundStatus = 404;

/// Writes one resource, or deletes it, and follows the change until it is in
/// force.
class ResourceChange {
public:
  ResourceChange(FleetClient &Fleet, const Options &Given,
                 FileResource Resource, bool Delete)
      : Fleet_(Fleet), Given_(Given), Resource_(std::move(Resource)),
        Delete_(Delete),
        Path_("/v1/" + Resource_.Kind_ + "/" + Resource_.Name_),
        Label_(Resource_.Kind_ + "/" + Resource_.Name_) {}

  ExitCode run() {
    if (!readPresent()) {
      printResult("unchanged");
      return ExitCode::Done;
    }
    write();
    if (!Given_.NoWait_)
      awaitInForce();
    printResult(Delete_ ? "deleted" : "accepted");
    return ExitCode::Done;
  }

private:
  /// Reads the version to expect; returns false when nothing is to be done.
  bool readPresent() {
    if (Given_.ForcedVersion_) {
      Expected_ = Given_.ForcedVersion_;
      return true;
    }
    Answer Present = Fleet_.read(Path_);
    if (Present.Status_ == NotFoundStatus && !Delete_)
      return true;
    checkAnswer(Present);
    Expected_ = numberOf(Present.Body_, "version");
    Version_ = Expected_;
    if (!Expected_)
      throw CommandError(ExitCode::Failed,
                         Label_ + ": the node's answer has no version");
    return Delete_ ||
           !sameJson(memberOf(Present.Body_, "value"), Resource_.Body_);
  }

  void write() {
    NodeCommand Command;
    Command.Method_ = Delete_ ? "DELETE" : "PUT";
    Command.Target_ = Path_;
    if (Expected_)
      Command.Fields_.push_back({"If-Match", std::to_string(*Expected_)});
    if (!Delete_) {
      Command.Fields_.push_back({"Content-Type", "application/json"});
      Command.Body_ = Resource_.Body_;
    }
    Answer Result;
    try {
      Result = Fleet_.change(std::move(Command));
    } catch (const NodeAnswerLost &Error) {
      return settleLostAnswer(Error.what());
    }
    if (exitCodeFor(Result.Status_, Result.Body_) == ExitCode::OutcomeUnknown)
      Result = settleChange(textOf(Result.Body_, "change"));
    checkAnswer(Result);
    Version_ = numberOf(Result.Body_, "version");
  }

  /// Reads from the fleet once the change may be in place; nothing when no node
  /// is reached, since that no longer is the outcome.
  std::optional<Answer> lookAgain(const std::string &Target) {
    try {
      return Fleet_.read(Target);
    } catch (const CommandError &) {
      return std::nullopt;
    }
  }

  /// Asks for a change that the log couldn't say anything about yet, until it
  /// is known or the time is up.
  Answer settleChange(const std::string &Id) {
    std::cerr << Label_ << ": outcome not known yet, change " << Id << '\n';
    while (!Id.empty() && !Fleet_.expired()) {
      std::this_thread::sleep_for(PollTime);
      auto Known = lookAgain("/v1/changes/" + Id);
      if (!Known || Known->Status_ / 100 != 2)
        continue;
      std::string Outcome = textOf(Known->Body_, "outcome");
      if (Outcome == "accepted")
        return *Known;
      if (Outcome == "void")
        failVoid(Known->Body_);
    }
    throw CommandError(ExitCode::OutcomeUnknown,
                       Label_ + ": outcome unknown, change " + Id);
  }

  /// A void change lost a race when the version has moved on meanwhile.
  [[noreturn]] void failVoid(const std::string &Body) const {
    auto Current = numberOf(Body, "current");
    bool Raced = Current && Current != Expected_;
    throw CommandError(Raced ? ExitCode::LostRace : ExitCode::Failed,
                       Label_ + ": void: " + textOf(Body, "error"));
  }

  /// After a lost answer only the wanted state, newer than before, tells that
  /// the change is in place; all else stays unknown.
  void settleLostAnswer(const std::string &Why) {
    std::cerr << Label_ << ": the answer was lost: " << Why << '\n';
    auto Present = lookAgain(Path_);
    if (Delete_ && Present && Present->Status_ == NotFoundStatus)
      return;
    auto Now = Present ? numberOf(Present->Body_, "version") : std::nullopt;
    bool Newer = Now && *Now > Expected_.value_or(-1);
    bool Wanted = !Delete_ && Newer && Present->Status_ == 200 &&
                  sameJson(memberOf(Present->Body_, "value"), Resource_.Body_);
    if (!Wanted)
      throw CommandError(ExitCode::OutcomeUnknown,
                         Label_ + ": outcome unknown; look with 'get'");
    Version_ = Now;
  }

  void awaitInForce() {
    if (Delete_ || !Version_)
      return;
    while (!shownInForce()) {
      if (Fleet_.expired())
        throw CommandError(ExitCode::Failed,
                           Label_ + ": version " + std::to_string(*Version_) +
                               " was accepted, but isn't in force on all nodes "
                               "in time");
      std::this_thread::sleep_for(PollTime);
    }
  }

  /// Shows on how many nodes the version is in force; returns whether on all.
  bool shownInForce() {
    auto Now = lookAgain(Path_ + "?status=1");
    if (!Now)
      return false;
    int64_t Version = numberOf(Now->Body_, "version").value_or(-1);
    int64_t InForce = numberOf(Now->Body_, "in_force").value_or(-1);
    int64_t Nodes = numberOf(Now->Body_, "nodes").value_or(-1);
    // A newer change has taken over; it is not this one's to follow.
    if (Version > *Version_)
      return true;
    if (Version < *Version_ || InForce < 0 || Nodes < 0)
      return false;
    if (InForce != Shown_)
      std::cerr << Label_ << " version " << Version << ": in force on "
                << InForce << " of " << Nodes << " nodes\n";
    Shown_ = InForce;
    return InForce >= Nodes;
  }

  void checkAnswer(const Answer &Result) const {
    ExitCode Code = exitCodeFor(Result.Status_, Result.Body_);
    if (Code == ExitCode::Done)
      return;
    std::string Text = refusalText(Result.Status_, Result.Body_);
    if (Code == ExitCode::LostRace)
      Text = "lost the race against another change: " + Text;
    throw CommandError(Code, Label_ + ": " + Text);
  }

  void printResult(const char *Result) const {
    std::string Version = Version_ ? std::to_string(*Version_) : "null";
    if (Given_.Json_)
      std::cout << R"({"kind":")" << Resource_.Kind_ << R"(","name":")"
                << Resource_.Name_ << R"(","result":")" << Result
                << R"(","version":)" << Version << "}" << std::endl;
    else
      std::cout << Label_ << ' ' << Result
                << (Version_ ? " version=" + Version : "") << std::endl;
  }

  FleetClient &Fleet_;
  const Options &Given_;
  FileResource Resource_;
  bool Delete_;
  std::string Path_;
  std::string Label_;
  std::optional<int64_t> Expected_;
  std::optional<int64_t> Version_;
  /// The number of nodes that was shown last.
  int64_t Shown_ = -1;
};

} // namespace

ExitCode runApply(const Options &Given) {
  if (Given.File_.empty() || !Given.Arguments_.empty())
    throw CommandError(ExitCode::Usage, "apply: expected -f FILE alone");
  std::vector<FileResource> Resources = loadResources(Given.File_);
  if (Given.ForcedVersion_ && Resources.size() > 1)
    throw CommandError(ExitCode::Usage,
                       "--force-version: expected a file with one resource");
  FleetClient Fleet(Given);
  for (const FileResource &Each : Resources) {
    Fleet.restartTime();
    ResourceChange(Fleet, Given, Each, false).run();
  }
  return ExitCode::Done;
}

ExitCode runDelete(const Options &Given) {
  FileResource Doomed;
  Doomed.Kind_ = checkedKind(Given, 2, 2);
  Doomed.Name_ = Given.Arguments_[1];
  FleetClient Fleet(Given);
  return ResourceChange(Fleet, Given, Doomed, true).run();
}

} // namespace coltsfoot
