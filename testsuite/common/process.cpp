#include "process.h"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <mutex>
#include <optional>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>

namespace coltsfoot {

const std::string NodeProgram = COLTSFOOT_BIN_DIR "/coltsfootd";

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto PollInterval = std::chrono::milliseconds(2);
constexpr int SignalExitBase = 128;

std::mutex StartMutex;

SteadyClock::time_point deadline(Millis Timeout) {
  return SteadyClock::now() +
         std::chrono::duration_cast<SteadyClock::duration>(
             std::chrono::duration<double, std::milli>(Timeout.count()));
}

/// Sets the limits of the calling process unless Limit is 0. It is called
/// between fork and exec, where only such simple calls are allowed.
void limitDescriptors(uint64_t Limit) {
  rlimit Limits{Limit, Limit};
  if (Limit != 0)
    ::setrlimit(RLIMIT_NOFILE, &Limits);
}

} // namespace

class Process::Impl {
public:
  Impl(const std::string &Program, const std::vector<std::string> &Arguments,
       uint64_t DescriptorLimit);
  ~Impl();

  void collectOutput(boost::process::ipstream &Stream, bool IsStandardOutput);
  std::string waitFor(const std::function<bool(const std::string &)> &Matches,
                      const std::string &ExpectedText, Millis Timeout,
                      size_t From);
  std::string outputLocked() const;
  /// Returns whether the process has exited, and stores its exit code then.
  /// The caller must hold ChildMutex_.
  bool reap();
  /// Sends a signal unless the child has been reaped, after which its process
  /// id may belong to another process.
  void signal(int SignalNumber);
  void setReading(bool Reading);

  std::string Program_;
  /// Held from the creation of the pipes until the child has started, so that
  /// no other child inherits the pipes' ends and keeps them open.
  std::unique_lock<std::mutex> StartLock_{StartMutex};
  boost::process::ipstream Out_;
  boost::process::ipstream Err_;
  int Pid_ = 0;

  mutable std::mutex LinesMutex_;
  std::condition_variable Changed_;
  std::vector<std::string> Lines_;
  std::string StandardOutput_;
  int OpenStreams_ = 2;
  bool Reading_ = true;

  std::mutex ChildMutex_;
  std::optional<int> ExitCode_;

  std::thread OutReader_;
  std::thread ErrReader_;
};

Process::Impl::Impl(const std::string &Program,
                    const std::vector<std::string> &Arguments,
                    uint64_t DescriptorLimit)
    : Program_(Program) {
  for (int Handle : {Out_.pipe().native_source(), Out_.pipe().native_sink(),
                     Err_.pipe().native_source(), Err_.pipe().native_sink()})
    ::fcntl(Handle, F_SETFD, FD_CLOEXEC);
  boost::process::child Child(
      boost::process::exe = Program, boost::process::args = Arguments,
      boost::process::std_in<boost::process::null, boost::process::std_out>
          Out_,
      boost::process::std_err > Err_,
      boost::process::extend::on_exec_setup = [DescriptorLimit](auto &) {
        limitDescriptors(DescriptorLimit);
      });
  StartLock_.unlock();
  Pid_ = Child.id();
  Child.detach();
  OutReader_ = std::thread([this] { collectOutput(Out_, true); });
  ErrReader_ = std::thread([this] { collectOutput(Err_, false); });
}

Process::Impl::~Impl() {
  signal(SIGKILL);
  setReading(true);
  {
    std::lock_guard Guard(ChildMutex_);
    if (!ExitCode_)
      ::waitpid(Pid_, nullptr, 0);
  }
  OutReader_.join();
  ErrReader_.join();
}

void Process::Impl::collectOutput(boost::process::ipstream &Stream,
                                  bool IsStandardOutput) {
  std::string Line;
  while (std::getline(Stream, Line)) {
    std::unique_lock Guard(LinesMutex_);
    if (IsStandardOutput)
      StandardOutput_ += Line + "\n";
    Lines_.push_back(Line);
    Changed_.notify_all();
    if (IsStandardOutput)
      Changed_.wait(Guard, [this] { return Reading_; });
  }
  std::lock_guard Guard(LinesMutex_);
  --OpenStreams_;
  Changed_.notify_all();
}

std::string
Process::Impl::waitFor(const std::function<bool(const std::string &)> &Matches,
                       const std::string &ExpectedText, Millis Timeout,
                       size_t From) {
  auto End = deadline(Timeout);
  std::unique_lock Guard(LinesMutex_);
  for (size_t Next = From;;) {
    for (; Next < Lines_.size(); ++Next)
      if (Matches(Lines_[Next]))
        return Lines_[Next];
    bool Ended = OpenStreams_ == 0;
    if (Ended || Changed_.wait_until(Guard, End) == std::cv_status::timeout)
      throw WaitTimeout(Program_ + " printed no line that contains '" +
                        ExpectedText + "' " +
                        (Ended ? "before its end" : "in time") +
                        "; its output:\n" + outputLocked());
  }
}

std::string Process::Impl::outputLocked() const {
  std::string All;
  for (const std::string &Line : Lines_)
    All += Line + "\n";
  return All;
}

bool Process::Impl::reap() {
  if (ExitCode_)
    return true;
  int Status = 0;
  if (::waitpid(Pid_, &Status, WNOHANG) != Pid_)
    return false;
  ExitCode_ = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                : SignalExitBase + WTERMSIG(Status);
  return true;
}

void Process::Impl::setReading(bool Reading) {
  std::lock_guard Guard(LinesMutex_);
  Reading_ = Reading;
  Changed_.notify_all();
}

void Process::Impl::signal(int SignalNumber) {
  std::lock_guard Guard(ChildMutex_);
  if (!reap())
    ::kill(Pid_, SignalNumber);
}

Process::Process(const std::string &Program,
                 const std::vector<std::string> &Arguments,
                 uint64_t DescriptorLimit)
    : Impl_(std::make_unique<Impl>(Program, Arguments, DescriptorLimit)) {}

Process::~Process() = default;

std::string Process::waitForLine(std::string_view Text, Millis Timeout,
                                 size_t From) {
  return Impl_->waitFor(
      [Text](const std::string &Line) {
        return Line.find(Text) != std::string::npos;
      },
      std::string(Text), Timeout, From);
}

std::string Process::waitForMatch(const std::regex &Pattern, Millis Timeout,
                                  size_t From) {
  return Impl_->waitFor(
      [&Pattern](const std::string &Line) {
        return std::regex_search(Line, Pattern);
      },
      "a pattern", Timeout, From);
}

std::vector<std::string> Process::lines() const {
  std::lock_guard Guard(Impl_->LinesMutex_);
  return Impl_->Lines_;
}

size_t Process::lineCount() const {
  std::lock_guard Guard(Impl_->LinesMutex_);
  return Impl_->Lines_.size();
}

std::string Process::standardOutput() const {
  std::lock_guard Guard(Impl_->LinesMutex_);
  return Impl_->StandardOutput_;
}

std::string Process::output() const {
  std::lock_guard Guard(Impl_->LinesMutex_);
  return Impl_->outputLocked();
}

int Process::pid() const { return Impl_->Pid_; }

size_t Process::peakMemoryKib() const {
  std::ifstream File("/proc/" + std::to_string(pid()) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stoul(Line.substr(Line.find_first_of("0123456789")));
  return 0;
}

bool Process::running() {
  std::lock_guard Guard(Impl_->ChildMutex_);
  return !Impl_->reap();
}

void Process::kill(int Signal) { Impl_->signal(Signal); }

void Process::pause() { Impl_->signal(SIGSTOP); }

void Process::setReading(bool Reading) { Impl_->setReading(Reading); }

void Process::resume() { Impl_->signal(SIGCONT); }

int Process::wait(Millis Timeout) {
  auto End = deadline(Timeout);
  while (running()) {
    if (SteadyClock::now() > End)
      throw WaitTimeout(Impl_->Program_ +
                        " has not exited in time; its output:\n" + output());
    std::this_thread::sleep_for(PollInterval);
  }
  std::unique_lock Guard(Impl_->LinesMutex_);
  Impl_->Changed_.wait_until(Guard, End,
                             [this] { return Impl_->OpenStreams_ == 0; });
  return *Impl_->ExitCode_;
}

void waitUntil(const std::function<bool()> &Condition, Millis Timeout,
               std::string_view What) {
  auto End = deadline(Timeout);
  while (!Condition()) {
    if (SteadyClock::now() > End)
      throw WaitTimeout("condition not met in time: " + std::string(What));
    std::this_thread::sleep_for(PollInterval);
  }
}

namespace {

int hexDigit(char C) {
  constexpr std::string_view Digits = "0123456789abcdef";
  return static_cast<int>(Digits.find(C));
}

/// Returns the quoted value whose content, after the opening quote, is at the
/// start of Rest, with escapes resolved.
std::string unquote(std::string_view Rest) {
  std::string Value;
  for (size_t I = 0; I < Rest.size() && Rest[I] != '"'; ++I) {
    bool Escape = Rest[I] == '\\' && I + 1 < Rest.size();
    if (Escape && Rest[++I] == 'x' && I + 2 < Rest.size()) {
      Value +=
          static_cast<char>(hexDigit(Rest[I + 1]) * 16 + hexDigit(Rest[I + 2]));
      I += 2;
    } else {
      Value += Rest[I];
    }
  }
  return Value;
}

/// Returns the length of the key=value pair at the start of the text.
size_t pairLength(std::string_view Text) {
  bool Quoted = false;
  size_t I = 0;
  for (; I < Text.size() && (Quoted || Text[I] != ' '); ++I) {
    if (Quoted && Text[I] == '\\')
      ++I;
    else if (Text[I] == '"')
      Quoted = !Quoted;
  }
  return std::min(I, Text.size());
}

} // namespace

std::string field(std::string_view Line, std::string_view Key) {
  while (!Line.empty()) {
    std::string_view Pair = Line.substr(0, pairLength(Line));
    Line.remove_prefix(std::min(Pair.size() + 1, Line.size()));
    size_t Equals = Pair.find('=');
    if (Equals == std::string_view::npos || Pair.substr(0, Equals) != Key)
      continue;
    std::string_view Value = Pair.substr(Equals + 1);
    bool Quoted = !Value.empty() && Value.front() == '"';
    return Quoted ? unquote(Value.substr(1)) : std::string(Value);
  }
  return {};
}

} // namespace coltsfoot
