#include "soakledger.h"

#include <set>

namespace coltsfoot {

namespace {

/// The retry budget: the runs beyond the first one of each call may be at most
/// RetryBudgetShare of the number of calls plus RetryBudgetExtra.
constexpr double RetryBudgetShare = 0.2;
constexpr size_t RetryBudgetExtra = 50;

/// Returns whether an answer of this status guarantees that the call has not
/// run and never will.
bool guaranteesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Returns whether an answer of this status leaves open whether the call ran. 0
/// means no answer.
bool guaranteesNothing(int Status) {
  return Status == 0 || Status == 502 || Status == 504;
}

} // namespace

void SoakLedger::recordAnswer(const std::string &Id, bool MayRepeat,
                              const HttpReply &Reply) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Calls_[Id] = {MayRepeat, Reply.Status_};
  ++CountsByStatus_[Reply.Status_];
  checkAnswer(Id, Reply);
}

void SoakLedger::checkAnswer(const std::string &Id, const HttpReply &Reply) {
  if (guaranteesNotRun(Reply.Status_) || guaranteesNothing(Reply.Status_))
    return;
  if (Reply.Status_ != 200)
    Violations_.push_back(Id + " got unexpected status " +
                          std::to_string(Reply.Status_));
  else if (Reply.Body_ != "answer to " + Id ||
           Reply.header("Attempt-Id") != Id ||
           Reply.header("Server-Signature") != "sig." + Id)
    Violations_.push_back(
        Id +
        " got an incomplete answer or that of another call: " + Reply.Body_);
}

void SoakLedger::recordNoAnswer(const std::string &Id, bool MayRepeat) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Calls_[Id] = {MayRepeat, 0};
  ++CountsByStatus_[0];
}

void SoakLedger::recordUnanswered(const std::string &Id,
                                  const std::string &Details) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Unanswered_[Id] = Details;
}

void SoakLedger::recordLeaving(const std::string &Instance,
                               Millis Acknowledged) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  LeavingSince_.emplace(Instance, Acknowledged);
}

void SoakLedger::addViolation(const std::string &What) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Violations_.push_back(What);
}

void SoakLedger::check(const std::vector<PlatformUpstream::Run> &Runs) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::map<std::string, size_t> RunCounts;
  for (const auto &Each : Runs)
    ++RunCounts[Each.Id_];
  size_t Repeats = 0;
  for (const auto &[Id, Call] : Calls_) {
    auto Found = RunCounts.find(Id);
    size_t Ran = Found == RunCounts.end() ? 0 : Found->second;
    std::string Description = Id + " ran " + std::to_string(Ran) +
                              " times, status " + std::to_string(Call.Status_);
    Repeats += Ran > 1 ? Ran - 1 : 0;
    if (Ran > 1 && !Call.MayRepeat_)
      Violations_.push_back("not repeatable but run more than once: " +
                            Description);
    if (Ran > 0 && guaranteesNotRun(Call.Status_))
      Violations_.push_back("run although refused: " + Description);
    auto Unanswered = Unanswered_.find(Id);
    if (Ran > 0 && Unanswered != Unanswered_.end())
      Violations_.push_back("lost beside planned work: " + Description + ", " +
                            Unanswered->second);
    if (Ran == 0 && Call.Status_ == 200)
      Violations_.push_back("answered 200 without a run: " + Description);
  }
  double MaxRepeats =
      RetryBudgetShare * static_cast<double>(Calls_.size()) + RetryBudgetExtra;
  if (static_cast<double>(Repeats) > MaxRepeats)
    Violations_.push_back("number of repeats exceeds the retry budget: " +
                          std::to_string(Repeats));
}

void SoakLedger::checkLeaving(
    const std::vector<PlatformUpstream::Request> &Requests, Millis DrainTime) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::map<std::string, size_t> LateCounts;
  for (const auto &Each : Requests) {
    auto Found = LeavingSince_.find(Each.Instance_);
    if (Found != LeavingSince_.end() &&
        Each.Received_ > Found->second + DrainTime)
      ++LateCounts[Each.Instance_];
  }
  for (const auto &[Instance, Count] : LateCounts)
    Violations_.push_back(
        std::to_string(Count) +
        " calls reached the leaving upstream after the drain time: " +
        Instance);
}

std::vector<std::string> SoakLedger::violations() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Violations_;
}

std::string SoakLedger::countsByStatus() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::string Text;
  for (const auto &[Status, Number] : CountsByStatus_)
    Text += (Text.empty() ? "" : " ") +
            (Status ? std::to_string(Status) : std::string("none")) + "=" +
            std::to_string(Number);
  return Text;
}

size_t SoakLedger::servedCount() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Found = CountsByStatus_.find(200);
  return Found == CountsByStatus_.end() ? 0 : Found->second;
}

} // namespace coltsfoot
