#include "commands.h"

#include "fleetclient.h"
#include "jsonmember.h"
#include "options.h"
#include "resourcefile.h"

#include <iostream>
#include <thread>

namespace coltsfoot {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(100);
constexpr int NotFoundStatus = 404;

/// Writes or deletes one resource. After a write, waits until the new version
/// is in force on all nodes, unless `--no-wait` is given.
class ResourceChange {
public:
  ResourceChange(FleetClient &Fleet, const Options &Opts, FileResource Resource,
                 bool Delete)
      : Fleet_(Fleet), Opts_(Opts), Resource_(std::move(Resource)),
        Delete_(Delete),
        Path_("/v1/" + Resource_.Kind_ + "/" + Resource_.Name_),
        Label_(Resource_.Kind_ + "/" + Resource_.Name_) {}

  ExitCode run() {
    if (!readExisting()) {
      printResult("unchanged");
      return ExitCode::Done;
    }
    write();
    if (!Opts_.NoWait_)
      waitUntilInForce();
    printResult(Delete_ ? "deleted" : "accepted");
    return ExitCode::Done;
  }

private:
  /// Determines the version that the change expects. Returns false when the
  /// resource already has the requested value.
  bool readExisting() {
    if (Opts_.ForcedVersion_) {
      ExpectedVersion_ = Opts_.ForcedVersion_;
      return true;
    }
    Answer Existing = Fleet_.read(Path_);
    if (Existing.Status_ == NotFoundStatus && !Delete_)
      return true;
    checkResponse(Existing);
    ExpectedVersion_ = integerMember(Existing.Body_, "version");
    Version_ = ExpectedVersion_;
    if (!ExpectedVersion_)
      throw CommandError(ExitCode::Failed,
                         Label_ +
                             ": the node's response has no integer 'version'");
    return Delete_ ||
           !sameJson(memberJson(Existing.Body_, "value"), Resource_.Body_);
  }

  void write() {
    NodeRequest Request;
    Request.Method_ = Delete_ ? "DELETE" : "PUT";
    Request.Target_ = Path_;
    if (ExpectedVersion_)
      Request.Fields_.push_back(
          {"If-Match", std::to_string(*ExpectedVersion_)});
    if (!Delete_) {
      Request.Fields_.push_back({"Content-Type", "application/json"});
      Request.Body_ = Resource_.Body_;
    }
    Answer Result;
    try {
      Result = Fleet_.change(std::move(Request));
    } catch (const NodeResponseLost &Error) {
      return resolveLostResponse(Error.what());
    }
    if (exitCodeFor(Result.Status_, Result.Body_) == ExitCode::OutcomeUnknown)
      Result = pollChange(stringMember(Result.Body_, "change"));
    checkResponse(Result);
    Version_ = integerMember(Result.Body_, "version");
  }

  /// Reads from the fleet after the write was sent. Returns nothing when no
  /// node is reachable, since the command must not fail as unreachable once the
  /// change may have been made.
  std::optional<Answer> tryRead(const std::string &Target) {
    try {
      return Fleet_.read(Target);
    } catch (const CommandError &) {
      return std::nullopt;
    }
  }

  /// Polls a change whose outcome the node didn't know yet, since its append to
  /// the log was unconfirmed. Returns the node's response once the change is
  /// accepted; throws CommandError when it is void or the deadline passes.
  Answer pollChange(const std::string &Id) {
    std::cerr << Label_ << ": waiting for the outcome of change " << Id << '\n';
    while (!Id.empty() && !Fleet_.expired()) {
      std::this_thread::sleep_for(PollInterval);
      auto Change = tryRead("/v1/changes/" + Id);
      if (!Change || Change->Status_ / 100 != 2)
        continue;
      std::string Outcome = stringMember(Change->Body_, "outcome");
      if (Outcome == "accepted")
        return *Change;
      if (Outcome == "void")
        throwVoid(Change->Body_);
    }
    throw CommandError(ExitCode::OutcomeUnknown,
                       Label_ + ": unknown outcome of change " + Id);
  }

  /// Reports a void change: as a conflict when the resource's version is no
  /// longer the expected one, else as a failure.
  [[noreturn]] void throwVoid(const std::string &Body) const {
    auto Current = integerMember(Body, "current");
    bool VersionMoved = Current && Current != ExpectedVersion_;
    throw CommandError(
        VersionMoved ? ExitCode::Conflict : ExitCode::Failed,
        Label_ + ": the change is void: " + stringMember(Body, "error"));
  }

  /// Determines the outcome of a write whose response was lost by reading the
  /// resource. Only a newer version with the requested value, or the absence of
  /// a deleted resource, is taken as proof that the change was made; otherwise
  /// the outcome stays unknown.
  void resolveLostResponse(const std::string &Reason) {
    std::cerr << Label_ << ": the response was lost: " << Reason << '\n';
    auto Existing = tryRead(Path_);
    if (Delete_ && Existing && Existing->Status_ == NotFoundStatus)
      return;
    auto Latest =
        Existing ? integerMember(Existing->Body_, "version") : std::nullopt;
    bool Newer = Latest && *Latest > ExpectedVersion_.value_or(-1);
    bool Applied =
        !Delete_ && Newer && Existing->Status_ == 200 &&
        sameJson(memberJson(Existing->Body_, "value"), Resource_.Body_);
    if (!Applied)
      throw CommandError(
          ExitCode::OutcomeUnknown,
          Label_ + ": the change may or may not have been made; check the "
                   "resource with 'get'");
    Version_ = Latest;
  }

  void waitUntilInForce() {
    if (Delete_ || !Version_)
      return;
    while (!reportInForce()) {
      if (Fleet_.expired())
        throw CommandError(ExitCode::Failed,
                           Label_ + ": version " + std::to_string(*Version_) +
                               " was accepted, but isn't in force on all nodes "
                               "in time");
      std::this_thread::sleep_for(PollInterval);
    }
  }

  /// Reports on how many nodes the version is in force; returns whether it is
  /// on all of them.
  bool reportInForce() {
    auto Latest = tryRead(Path_ + "?status=1");
    if (!Latest)
      return false;
    int64_t Version = integerMember(Latest->Body_, "version").value_or(-1);
    int64_t InForce = integerMember(Latest->Body_, "in_force").value_or(-1);
    int64_t Nodes = integerMember(Latest->Body_, "nodes").value_or(-1);
    // A newer version has replaced this one, so there is nothing to wait for.
    if (Version > *Version_)
      return true;
    if (Version < *Version_ || InForce < 0 || Nodes < 0)
      return false;
    if (InForce != ReportedNodes_)
      std::cerr << Label_ << " version " << Version << ": in force on "
                << InForce << " of " << Nodes << " nodes\n";
    ReportedNodes_ = InForce;
    return InForce >= Nodes;
  }

  void checkResponse(const Answer &Result) const {
    ExitCode Code = exitCodeFor(Result.Status_, Result.Body_);
    if (Code == ExitCode::Done)
      return;
    std::string Text = responseErrorText(Result.Status_, Result.Body_);
    if (Code == ExitCode::Conflict)
      Text = "conflicts with another change: " + Text;
    throw CommandError(Code, Label_ + ": " + Text);
  }

  void printResult(const char *Result) const {
    std::string Version = Version_ ? std::to_string(*Version_) : "null";
    if (Opts_.Json_)
      std::cout << R"({"kind":")" << Resource_.Kind_ << R"(","name":")"
                << Resource_.Name_ << R"(","result":")" << Result
                << R"(","version":)" << Version << "}" << std::endl;
    else
      std::cout << Label_ << ' ' << Result
                << (Version_ ? " version=" + Version : "") << std::endl;
  }

  FleetClient &Fleet_;
  const Options &Opts_;
  FileResource Resource_;
  bool Delete_;
  std::string Path_;
  std::string Label_;
  std::optional<int64_t> ExpectedVersion_;
  std::optional<int64_t> Version_;
  /// Number of nodes in the last progress report.
  int64_t ReportedNodes_ = -1;
};

} // namespace

ExitCode runApply(const Options &Opts) {
  if (Opts.File_.empty() || !Opts.Arguments_.empty())
    throw CommandError(ExitCode::Usage,
                       "apply: expected -f FILE and no further arguments");
  std::vector<FileResource> Resources = loadResources(Opts.File_);
  if (Opts.ForcedVersion_ && Resources.size() > 1)
    throw CommandError(
        ExitCode::Usage,
        "--force-version: expected a file with exactly one resource, found "
        "several");
  FleetClient Fleet(Opts);
  for (const FileResource &Each : Resources) {
    Fleet.restartDeadline();
    ResourceChange(Fleet, Opts, Each, false).run();
  }
  return ExitCode::Done;
}

ExitCode runDelete(const Options &Opts) {
  FileResource ToDelete;
  ToDelete.Kind_ = parseKindArgument(Opts, 2, 2);
  ToDelete.Name_ = Opts.Arguments_[1];
  FleetClient Fleet(Opts);
  return ResourceChange(Fleet, Opts, ToDelete, true).run();
}

} // namespace coltsfoot
