#include "soakledger.h"

#include <set>

namespace coltsfoot {

namespace {

/// The retry budget: runs beyond the first ones of all calls may be at most
/// this share of the calls plus a constant.
constexpr double BudgetShare = 0.2;
constexpr size_t BudgetSlack = 50;

/// Returns whether an answer of this status guarantees that the call has not
/// run and never will.
bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Returns whether an answer of this status leaves open whether the call ran. 0
/// means no answer.
bool promisesNothing(int Status) {
  return Status == 0 || Status == 502 || Status == 504;
}

} // namespace

void SoakLedger::answered(const std::string &Id, bool MayRepeat,
                          const HttpReply &Reply) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Calls_[Id] = {MayRepeat, Reply.Status_};
  ++Counts_[Reply.Status_];
  checkAnswer(Id, Reply);
}

void SoakLedger::checkAnswer(const std::string &Id, const HttpReply &Reply) {
  if (promisesNotRun(Reply.Status_) || promisesNothing(Reply.Status_))
    return;
  if (Reply.Status_ != 200)
    Findings_.push_back(Id + " got unexpected status " +
                        std::to_string(Reply.Status_));
  else if (Reply.Body_ != "answer to " + Id ||
           Reply.header("Attempt-Id") != Id ||
           Reply.header("Server-Signature") != "sig." + Id)
    Findings_.push_back(
        Id +
        " got an incomplete answer or that of another call: " + Reply.Body_);
}

void SoakLedger::unanswered(const std::string &Id, bool MayRepeat) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Calls_[Id] = {MayRepeat, 0};
  ++Counts_[0];
}

void SoakLedger::broken(const std::string &What) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Findings_.push_back(What);
}

void SoakLedger::check(const std::vector<PlatformUpstream::Run> &Runs) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::map<std::string, size_t> Times;
  for (const auto &Each : Runs)
    ++Times[Each.Id_];
  size_t Repeats = 0;
  for (const auto &[Id, Call] : Calls_) {
    auto Where = Times.find(Id);
    size_t Ran = Where == Times.end() ? 0 : Where->second;
    std::string Told = Id + " ran " + std::to_string(Ran) + " times, status " +
                       std::to_string(Call.Status_);
    Repeats += Ran > 1 ? Ran - 1 : 0;
    if (Ran > 1 && !Call.MayRepeat_)
      Findings_.push_back("not repeatable but run more than once: " + Told);
    if (Ran > 0 && promisesNotRun(Call.Status_))
      Findings_.push_back("run although refused: " + Told);
    if (Ran == 0 && Call.Status_ == 200)
      Findings_.push_back("answered 200 without a run: " + Told);
  }
  double Most = BudgetShare * static_cast<double>(Calls_.size()) + BudgetSlack;
  if (static_cast<double>(Repeats) > Most)
    Findings_.push_back("more repeats than the retry budget: " +
                        std::to_string(Repeats));
}

std::vector<std::string> SoakLedger::findings() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Findings_;
}

std::string SoakLedger::counts() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::string Text;
  for (const auto &[Status, Number] : Counts_)
    Text += (Text.empty() ? "" : " ") +
            (Status ? std::to_string(Status) : std::string("none")) + "=" +
            std::to_string(Number);
  return Text;
}

size_t SoakLedger::served() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Where = Counts_.find(200);
  return Where == Counts_.end() ? 0 : Where->second;
}

} // namespace coltsfoot
