#include "configservice.h"

#include "coltsfootpoint/ids.h"
#include "coltsfootpoint/log.h"
#include "coltsfootpoint/verdict.h"
#include "logstore.h"
#include "pollpace.h"
#include "recordhistory.h"
#include "reorderbuffer.h"
#include "snapshotreader.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <iterator>
#include <map>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace coltsfoot {

namespace {

namespace asio = boost::asio;

/// Missing records that peers were asked for are requested again after this
/// multiple of GapDelay_.
constexpr double RefetchFactor = 5;

std::chrono::microseconds toDuration(Millis Span) {
  return std::chrono::microseconds((Span * 1000).whole());
}

/// Returns a random duration from zero up to the span.
Millis randomDuration(Millis Span) {
  constexpr uint64_t Steps = 1U << 20U;
  return Span * (static_cast<double>(randomBits() % Steps) / Steps);
}

ChangeOutcome outcomeOf(const ChangeResult &Result) {
  return std::visit(
      Overloaded{[](const Accepted &Done) -> ChangeOutcome { return Done; },
                 [](const Rejected &Done) -> ChangeOutcome {
                   if (Done.Cause_ == RejectionCause::VersionMismatch)
                     return LostRace{Done.CurrentVersion_};
                   return Done;
                 }},
      Result);
}

/// Returns why the change is invalid whatever the current configuration is;
/// empty when it is valid.
std::string changeError(const Change &Value) {
  if (!decodeChange(encodeChange(Value)))
    return "the change id is malformed or the change is too long";
  if (Value.Delete_)
    return "";
  try {
    parseResource(Value.Kind_, Value.Name_, Value.Body_);
  } catch (const ResourceError &Error) {
    return Error.what();
  }
  return "";
}

} // namespace

// The members that change after start() are used on the strand only, except for
// LogReader_ and those guarded by the mutex. Handlers hold a weak pointer, so
// that an answer of the log that arrives after the service was destroyed is
// dropped.
class ConfigService::Impl : public std::enable_shared_from_this<Impl> {
public:
  using Handler = std::function<void(const ChangeOutcome &)>;

  Impl(asio::io_context &Io, LogStore &Log, const Clock &TimeSource,
       Options Settings)
      : Settings_(std::move(Settings)), Log_(Log), Clock_(TimeSource),
        Strand_(asio::make_strand(Io)), RetryTimer_(Strand_),
        GapTimer_(Strand_), SnapshotTimer_(Strand_),
        OutOfOrder_(Settings_.OutOfOrderRecords_, Settings_.OutOfOrderBytes_),
        State_(std::make_shared<const ConfigState>()),
        History_(Settings_.HistoryRecords_, Settings_.HistoryBytes_) {}

  /// Returns a handler that calls F on the strand; it does nothing once the
  /// service is destroyed.
  template <typename F> auto onStrand(F Call) {
    return [Weak = weak_from_this(),
            Call = std::move(Call)](const auto &...Arguments) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      asio::post(Self->Strand_, [Weak, Call, Arguments...] {
        if (auto Alive = Weak.lock())
          Call(*Alive, Arguments...);
      });
    };
  }

  /// Calls F on the strand, unless the service is destroyed before.
  template <typename F> void runOnStrand(F Call) {
    asio::post(Strand_,
               [Weak = weak_from_this(), Call = std::move(Call)]() mutable {
                 if (auto Alive = Weak.lock())
                   Call(*Alive);
               });
  }

  // Called on any thread.
  std::shared_ptr<const ConfigState> current() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return State_;
  }
  bool ready() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Ready_;
  }
  std::vector<LogRecord> recordsFrom(int64_t Offset, size_t MaxBytes) const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return History_.recordsStartingAt(Offset, MaxBytes);
  }
  bool hasRecordsFrom(int64_t Offset) const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return History_.covers(Offset);
  }

  // Called on the strand, except for start() and isLogReader().
  void start(const ConfigService &Hooks);
  void stop();
  void setLogReader(bool Reader);
  bool isLogReader() const { return LogReader_; }
  bool hasExternalSource() const { return Settings_.ExternalSource_; }
  void submit(Change Value, Handler Done);
  void onPeerRecords(std::vector<LogRecord> Records);
  void onPeerOffset(int64_t NextOffset);
  void onPeerSnapshot(const std::string &Snapshot, const ConfigOrigin &Origin);
  void onPeersQueried();
  void adopt(const std::shared_ptr<const ConfigState> &State,
             const ConfigOrigin &Origin);
  int64_t knownOffset() const { return KnownOffset_; }

private:
  struct PendingChange {
    std::vector<Handler> Handlers_;
    std::unique_ptr<asio::steady_timer> Timer_;
    bool NeedsLog_ = false; ///< Its outcome has to be read from the log.
  };

  // Reads the log.
  void continueReading();
  bool shouldReadLog() const;
  void readSnapshots();
  void readSnapshotAt(int64_t Offset,
                      std::function<void(const ReadResult &)> Done);
  void onSnapshotsRead(bool Reached, std::optional<SnapshotRecord> Newest);
  void readLog();
  void onRead(const ReadResult &Result);
  void onBatch(const LogBatch &Batch);
  void onTrimmed(const LogTrimmed &Trimmed);
  void onDown(const LogDown &Down);
  void scheduleRetry();

  // Applies records and complete states.
  void addRecords(std::vector<LogRecord> Records);
  void apply(std::span<const LogRecord> Run);
  void onStateUpdated();
  void updateReady();
  void publish(std::shared_ptr<const ConfigState> State,
               std::span<const LogRecord> Records);
  int64_t next() const { return State_->nextOffset(); }
  void noteOffsets();
  Millis behindFor() const;

  // Fills gaps from peers.
  int64_t highestKnownOffset() const {
    return std::max(PeerOffset_, OutOfOrder_.end());
  }
  void armGapTimer(Millis Delay);
  void onGapTimer(int64_t OffsetAtArming);
  void fetchFromPeers();

  // Appends changes and reports their outcomes.
  void append(const std::string &Id, const std::string &Data);
  void onAppend(const std::string &Id, const std::string &Data,
                const AppendResult &Result);
  void onAppended(const std::string &Id, LogRecord Record);
  void resolveFromLog(const std::string &Id);
  void finishKnownChanges();
  void finish(const std::string &Id, const ChangeOutcome &Outcome);

  // Writes snapshots.
  bool snapshotDue() const;
  Millis timeUntilSnapshotDue() const;
  void scheduleSnapshot();
  void armSnapshotTimer(Millis Delay);
  void onSnapshotTimer();
  void retrySnapshot();
  void onNewestSnapshot(const SnapshotRecord &Record);
  void writeSnapshot();
  void onSnapshotWritten(const SnapshotRecord &Record,
                         const AppendResult &Result);

  const Options Settings_;
  LogStore &Log_;
  const Clock &Clock_;
  asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer RetryTimer_;
  asio::steady_timer GapTimer_;
  asio::steady_timer SnapshotTimer_;
  std::function<void(std::span<const LogRecord>)> OnApplied_;
  std::function<void(int64_t)> OnAdopted_;
  std::function<void(int64_t)> FetchFromPeers_;
  std::function<void(const ConfigState &)> OnChange_;

  bool Running_ = false;
  std::atomic<bool> LogReader_ = true;
  bool Reading_ = false;        ///< A read is in progress.
  bool RetryScheduled_ = false; ///< RetryTimer_ runs before the next read.
  bool SnapshotsRead_ = false;  ///< Required before reading the log.
  bool ReachedEnd_ = false;     ///< The end of the log was reached once.
  bool PeersQueried_ = false;
  Millis RetryDelay_;
  PollPace Pace_;
  /// next() at the LogTrimmed that made this node read the snapshots again; -1
  /// if there was none or if a second one came at the same offset.
  int64_t TrimmedAtOffset_ = -1;
  int64_t PeerOffset_ = 0;
  /// Since when a peer has been known to be ahead of this node.
  std::optional<Millis> BehindSince_;
  std::atomic<int64_t> KnownOffset_ = 0;
  bool GapTimerArmed_ = false;
  ReorderBuffer OutOfOrder_;
  std::map<std::string, PendingChange, std::less<>> PendingChanges_;
  SnapshotReader Snapshots_{
      [this](int64_t From, std::function<void(const ReadResult &)> Done) {
        readSnapshotAt(From, std::move(Done));
      }};
  /// The nextOffset() of the newest snapshot; -1 when none is known.
  int64_t NewestSnapshotOffset_ = -1;
  Millis NewestSnapshotWallTime_;
  /// Whether a due snapshot waits for SnapshotTimer_ or is being written.
  bool SnapshotScheduled_ = false;

  mutable std::mutex Mutex_;
  // Written on the strand with the mutex held, so that the strand itself can
  // read them without it.
  std::shared_ptr<const ConfigState> State_;
  RecordHistory History_;
  bool Ready_ = false;
};

void ConfigService::Impl::start(const ConfigService &Hooks) {
  OnApplied_ = Hooks.OnApplied_;
  OnAdopted_ = Hooks.OnAdopted_;
  FetchFromPeers_ = Hooks.FetchFromPeers_;
  OnChange_ = Hooks.OnChange_;
  runOnStrand([](Impl &Self) {
    Self.Running_ = true;
    Self.RetryDelay_ = Self.Settings_.RetryMin_;
    Self.continueReading();
  });
}

void ConfigService::Impl::stop() {
  Running_ = false;
  RetryTimer_.cancel();
  GapTimer_.cancel();
  SnapshotTimer_.cancel();
  while (!PendingChanges_.empty()) {
    std::string Id = PendingChanges_.begin()->first;
    finish(Id, OutcomeUnknown{Id});
  }
}

void ConfigService::Impl::setLogReader(bool Reader) {
  LogReader_ = Reader;
  continueReading();
  scheduleSnapshot();
}

bool ConfigService::Impl::shouldReadLog() const {
  if (!Running_ || Reading_ || RetryScheduled_ || Settings_.ExternalSource_)
    return false;
  if (LogReader_ || !Ready_)
    return true;
  return std::any_of(PendingChanges_.begin(), PendingChanges_.end(),
                     [](const auto &Each) { return Each.second.NeedsLog_; });
}

void ConfigService::Impl::continueReading() {
  if (!shouldReadLog())
    return;
  if (SnapshotsRead_)
    readLog();
  else if (!Snapshots_.busy())
    readSnapshots();
}

void ConfigService::Impl::readSnapshots() {
  Reading_ = true;
  auto Done = [this](bool Reached, std::optional<SnapshotRecord> Newest) {
    onSnapshotsRead(Reached, std::move(Newest));
  };
  if (TrimmedAtOffset_ >= 0)
    Snapshots_.rereadRecent(std::move(Done));
  else
    Snapshots_.readNewest(std::move(Done));
}

void ConfigService::Impl::onSnapshotsRead(
    bool Reached, std::optional<SnapshotRecord> Newest) {
  Reading_ = false;
  if (!Running_)
    return;
  if (Newest)
    onNewestSnapshot(*Newest);
  if (!Reached) {
    scheduleRetry();
    return;
  }
  SnapshotsRead_ = true;
  continueReading();
}

void ConfigService::Impl::readSnapshotAt(
    int64_t Offset, std::function<void(const ReadResult &)> Done) {
  Log_.read(Settings_.SnapshotStream_, Offset, 1, Millis(0),
            onStrand([Done = std::move(Done)](
                         Impl &, const ReadResult &Result) { Done(Result); }));
}

// Reads don't wait for new records until the end of the log has been reached
// once, so that an empty answer shows the end at once.
void ConfigService::Impl::readLog() {
  Reading_ = true;
  Millis Wait = ReachedEnd_ ? Settings_.PollWait_ : Millis(0);
  Pace_.onRequest(Clock_.now(), Wait);
  Log_.read(Settings_.Stream_, next(), Settings_.BatchRecords_, Wait,
            onStrand([](Impl &Self, const ReadResult &Result) {
              Self.onRead(Result);
            }));
}

void ConfigService::Impl::onRead(const ReadResult &Result) {
  Reading_ = false;
  if (!Running_)
    return;
  std::visit(Overloaded{[&](const LogBatch &Batch) { onBatch(Batch); },
                        [&](const LogTrimmed &Trimmed) { onTrimmed(Trimmed); },
                        [&](const LogDown &Down) { onDown(Down); }},
             Result);
}

void ConfigService::Impl::onBatch(const LogBatch &Batch) {
  bool Progress = !ReachedEnd_ || !Batch.Records_.empty();
  if (Batch.Records_.empty()) {
    ReachedEnd_ = true;
    updateReady();
    scheduleSnapshot();
  } else {
    addRecords(Batch.Records_);
  }
  if (!Pace_.mayAskAtOnce(Clock_.now(), Progress))
    return scheduleRetry();
  RetryDelay_ = Settings_.RetryMin_;
  continueReading();
}

// A newer snapshot may have been written since the snapshots were last read, or
// may precede the last record of the snapshot stream, so they are read once
// more. If that gives no newer state, only peers can provide the missing
// records.
void ConfigService::Impl::onTrimmed(const LogTrimmed &Trimmed) {
  logEvent(LogLevel::Warning, "config_log_trimmed",
           {{"next", next()}, {"first", Trimmed.FirstOffset_}});
  if (Trimmed.FirstOffset_ > next() && TrimmedAtOffset_ != next()) {
    TrimmedAtOffset_ = next();
    SnapshotsRead_ = false;
    continueReading();
    return;
  }
  TrimmedAtOffset_ = -1;
  fetchFromPeers();
  scheduleRetry();
}

void ConfigService::Impl::onDown(const LogDown &Down) {
  logEvent(LogLevel::Warning, "config_log_down",
           {{"next", next()}, {"why", Down.Why_}});
  scheduleRetry();
}

void ConfigService::Impl::scheduleRetry() {
  RetryScheduled_ = true;
  RetryTimer_.expires_after(
      toDuration(RetryDelay_ + randomDuration(RetryDelay_)));
  RetryTimer_.async_wait(
      onStrand([](Impl &Self, boost::system::error_code Error) {
        Self.RetryScheduled_ = false;
        if (!Error)
          Self.continueReading();
      }));
  RetryDelay_ = std::min(RetryDelay_ * 2, Settings_.RetryMax_);
}

// Only records behind a gap go through the bounded buffer. Contiguous records
// bypass it, because it would drop the end of a long batch of the log.
void ConfigService::Impl::addRecords(std::vector<LogRecord> Records) {
  if (Settings_.ExternalSource_)
    return;
  std::vector<LogRecord> Run;
  int64_t Next = next();
  for (LogRecord &Record : Records) {
    if (Record.Offset_ == Next) {
      ++Next;
      Run.push_back(std::move(Record));
    } else if (Record.Offset_ > Next) {
      OutOfOrder_.add(std::move(Record));
    }
  }
  std::vector<LogRecord> Buffered = OutOfOrder_.take(Next);
  std::move(Buffered.begin(), Buffered.end(), std::back_inserter(Run));
  apply(Run);
}

void ConfigService::Impl::apply(std::span<const LogRecord> Run) {
  if (Run.empty()) {
    armGapTimer(Settings_.GapDelay_);
    return;
  }
  bool WasReady = Ready_;
  publish(State_->apply(Run), Run);
  if (WasReady && OnApplied_)
    OnApplied_(Run);
  onStateUpdated();
}

void ConfigService::Impl::adopt(const std::shared_ptr<const ConfigState> &State,
                                const ConfigOrigin &Origin) {
  if (State->nextOffset() == next() && State->digest() != State_->digest())
    logEvent(LogLevel::Error, "config_divergence", {{"next", next()}});
  if (State->nextOffset() <= next())
    return;
  logEvent(LogLevel::Info, "config_adopted",
           {{"before", next()},
            {"next", State->nextOffset()},
            {"from", Origin.From_},
            {"request_ms", Origin.Waited_.whole()},
            {"behind_ms", behindFor().whole()}});
  publish(State, {});
  onStateUpdated();
  if (OnAdopted_)
    OnAdopted_(next());
  // Buffered records may now continue the configuration.
  addRecords({});
}

void ConfigService::Impl::publish(std::shared_ptr<const ConfigState> State,
                                  std::span<const LogRecord> Records) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  State_ = std::move(State);
  if (Records.empty())
    History_.reset(State_->nextOffset());
  else
    History_.add(Records);
}

void ConfigService::Impl::onStateUpdated() {
  std::shared_ptr<const ConfigState> State = State_;
  noteOffsets();
  if (OnChange_)
    OnChange_(*State);
  finishKnownChanges();
  updateReady();
  armGapTimer(Settings_.GapDelay_);
  scheduleSnapshot();
}

void ConfigService::Impl::updateReady() {
  bool Settled = PeersQueried_ && next() >= PeerOffset_;
  if (Settings_.ExternalSource_)
    Settled = next() > 0;
  if (Ready_ || !(ReachedEnd_ || Settled))
    return;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Ready_ = true;
  }
  logEvent(LogLevel::Info, "config_ready",
           {{"next", next()}, {"from_log", ReachedEnd_}});
}

void ConfigService::Impl::onPeerRecords(std::vector<LogRecord> Records) {
  addRecords(std::move(Records));
}

void ConfigService::Impl::onPeerOffset(int64_t NextOffset) {
  PeerOffset_ = std::max(PeerOffset_, NextOffset);
  noteOffsets();
  armGapTimer(Settings_.GapDelay_);
}

/// Updates what is known of this node's lag behind its peers.
void ConfigService::Impl::noteOffsets() {
  KnownOffset_ = std::max(PeerOffset_, next());
  if (next() >= PeerOffset_)
    BehindSince_.reset();
  else if (!BehindSince_)
    BehindSince_ = Clock_.now();
}

Millis ConfigService::Impl::behindFor() const {
  return BehindSince_ ? Clock_.now() - *BehindSince_ : Millis();
}

void ConfigService::Impl::onPeerSnapshot(const std::string &Snapshot,
                                         const ConfigOrigin &Origin) {
  try {
    adopt(ConfigState::restore(Snapshot), Origin);
  } catch (const std::invalid_argument &Error) {
    logEvent(LogLevel::Warning, "config_peer_snapshot_damaged",
             {{"why", Error.what()}});
  }
}

void ConfigService::Impl::onPeersQueried() {
  PeersQueried_ = true;
  updateReady();
}

void ConfigService::Impl::armGapTimer(Millis Delay) {
  if (!Running_ || GapTimerArmed_ || Settings_.ExternalSource_ ||
      next() >= highestKnownOffset())
    return;
  GapTimerArmed_ = true;
  GapTimer_.expires_after(toDuration(Delay));
  GapTimer_.async_wait(onStrand(
      [OffsetAtArming = next()](Impl &Self, boost::system::error_code Error) {
        Self.GapTimerArmed_ = false;
        if (!Error && Self.Running_)
          Self.onGapTimer(OffsetAtArming);
      }));
}

// If records have been applied since the timer was started, the gap is already
// being filled.
void ConfigService::Impl::onGapTimer(int64_t OffsetAtArming) {
  if (next() >= highestKnownOffset())
    return;
  bool StillMissing = next() == OffsetAtArming;
  if (StillMissing)
    fetchFromPeers();
  armGapTimer(StillMissing ? Settings_.GapDelay_ * RefetchFactor
                           : Settings_.GapDelay_);
}

void ConfigService::Impl::fetchFromPeers() {
  if (FetchFromPeers_)
    FetchFromPeers_(next());
}

void ConfigService::Impl::submit(Change Value, Handler Done) {
  if (!Running_ || Settings_.ExternalSource_) {
    Done(NotWritten{Running_
                        ? "the configuration is managed by an external source"
                        : "stopped"});
    return;
  }
  if (auto KnownResult = State_->result(Value.Id_)) {
    Done(outcomeOf(*KnownResult));
    return;
  }
  if (std::string Error = changeError(Value); !Error.empty()) {
    auto Present = State_->get(Value.Kind_, Value.Name_);
    Done(Rejected{RejectionCause::Invalid, Error,
                  Present ? Present->Version_ : 0});
    return;
  }
  PendingChange &Pending = PendingChanges_[Value.Id_];
  Pending.Handlers_.push_back(std::move(Done));
  if (Pending.Handlers_.size() == 1)
    append(Value.Id_, encodeChange(Value));
}

void ConfigService::Impl::append(const std::string &Id,
                                 const std::string &Data) {
  auto &Timer = PendingChanges_.find(Id)->second.Timer_;
  Timer = std::make_unique<asio::steady_timer>(Strand_);
  Timer->expires_after(toDuration(Settings_.ChangeTimeout_));
  Timer->async_wait(onStrand([Id](Impl &Self, boost::system::error_code Error) {
    if (!Error)
      Self.finish(Id, OutcomeUnknown{Id});
  }));
  Log_.append(Settings_.Stream_, Data,
              onStrand([Id, Data](Impl &Self, const AppendResult &Result) {
                Self.onAppend(Id, Data, Result);
              }));
}

void ConfigService::Impl::onAppend(const std::string &Id,
                                   const std::string &Data,
                                   const AppendResult &Result) {
  std::visit(Overloaded{[&](const Appended &Done) {
                          onAppended(Id, LogRecord{Done.Offset_, Data});
                        },
                        [&](const AppendRefused &Refused) {
                          finish(Id, NotWritten{Refused.Why_});
                        },
                        [&](const AppendUnknown &Unknown) {
                          logEvent(LogLevel::Warning, "config_append_unknown",
                                   {{"change", Id}, {"why", Unknown.Why_}});
                          resolveFromLog(Id);
                        }},
             Result);
}

// The offset of the record is known, so it can be applied without being read
// back as soon as all records before it have been applied.
void ConfigService::Impl::onAppended(const std::string &Id, LogRecord Record) {
  std::vector<LogRecord> Records;
  Records.push_back(std::move(Record));
  addRecords(std::move(Records));
  resolveFromLog(Id);
}

void ConfigService::Impl::resolveFromLog(const std::string &Id) {
  auto Found = PendingChanges_.find(Id);
  if (Found == PendingChanges_.end())
    return;
  Found->second.NeedsLog_ = true;
  RetryDelay_ = Settings_.RetryMin_;
  continueReading();
}

void ConfigService::Impl::finishKnownChanges() {
  std::vector<std::pair<std::string, ChangeResult>> Settled;
  for (const auto &Each : PendingChanges_)
    if (auto KnownResult = State_->result(Each.first))
      Settled.emplace_back(Each.first, std::move(*KnownResult));
  for (const auto &Each : Settled)
    finish(Each.first, outcomeOf(Each.second));
}

void ConfigService::Impl::finish(const std::string &Id,
                                 const ChangeOutcome &Outcome) {
  auto Node = PendingChanges_.extract(Id);
  if (!Node)
    return;
  Node.mapped().Timer_->cancel();
  for (const Handler &Done : Node.mapped().Handlers_)
    Done(Outcome);
}

bool ConfigService::Impl::snapshotDue() const {
  if (next() == 0)
    return false;
  if (NewestSnapshotOffset_ < 0)
    return true;
  return next() - NewestSnapshotOffset_ >= Settings_.SnapshotIntervalRecords_ ||
         timeUntilSnapshotDue() <= Millis(0);
}

Millis ConfigService::Impl::timeUntilSnapshotDue() const {
  Millis Age = Clock_.wallNow() - NewestSnapshotWallTime_;
  return Settings_.Retention_ * 0.5 - Age;
}

// Several readers find at the same time that a snapshot is due. The jitter lets
// one of them write it before the timers of the others expire.
void ConfigService::Impl::scheduleSnapshot() {
  if (!Running_ || !LogReader_ || !Ready_ || !ReachedEnd_ || SnapshotScheduled_)
    return;
  if (snapshotDue()) {
    SnapshotScheduled_ = true;
    armSnapshotTimer(randomDuration(Settings_.SnapshotJitter_));
  } else if (NewestSnapshotOffset_ >= 0) {
    armSnapshotTimer(timeUntilSnapshotDue());
  }
}

void ConfigService::Impl::armSnapshotTimer(Millis Delay) {
  SnapshotTimer_.expires_after(toDuration(Delay));
  SnapshotTimer_.async_wait(
      onStrand([](Impl &Self, boost::system::error_code Error) {
        if (!Error && Self.Running_)
          Self.onSnapshotTimer();
      }));
}

void ConfigService::Impl::onSnapshotTimer() {
  if (!SnapshotScheduled_) {
    scheduleSnapshot();
    return;
  }
  if (Snapshots_.busy()) {
    armSnapshotTimer(Settings_.RetryMin_);
    return;
  }
  Snapshots_.readNewest(
      [this](bool Reached, std::optional<SnapshotRecord> Newest) {
        if (Newest)
          onNewestSnapshot(*Newest);
        if (Running_ && LogReader_ && Reached && snapshotDue())
          writeSnapshot();
        else
          retrySnapshot();
        // continueReading() does not read the snapshots while another read of
        // them is in progress, so it is called again here.
        continueReading();
      });
}

void ConfigService::Impl::retrySnapshot() {
  SnapshotScheduled_ = false;
  if (Running_)
    armSnapshotTimer(Settings_.RetryMax_ +
                     randomDuration(Settings_.SnapshotJitter_));
}

void ConfigService::Impl::onNewestSnapshot(const SnapshotRecord &Record) {
  if (Record.State_->nextOffset() >= NewestSnapshotOffset_) {
    NewestSnapshotOffset_ = Record.State_->nextOffset();
    NewestSnapshotWallTime_ = Record.WrittenWallTime_;
  }
  adopt(Record.State_, {"snapshot"});
}

void ConfigService::Impl::writeSnapshot() {
  SnapshotRecord Record{Clock_.wallNow(), State_};
  Log_.append(Settings_.SnapshotStream_, encodeSnapshotRecord(Record),
              onStrand([Record](Impl &Self, const AppendResult &Result) {
                Self.onSnapshotWritten(Record, Result);
              }));
}

void ConfigService::Impl::onSnapshotWritten(const SnapshotRecord &Record,
                                            const AppendResult &Result) {
  if (!std::holds_alternative<Appended>(Result)) {
    retrySnapshot();
    return;
  }
  logEvent(LogLevel::Info, "config_snapshot_written",
           {{"next", Record.State_->nextOffset()}});
  SnapshotScheduled_ = false;
  onNewestSnapshot(Record);
  scheduleSnapshot();
}

ConfigService::ConfigService(asio::io_context &Io, LogStore &Log,
                             const Clock &TimeSource, Options Settings)
    : Impl_(std::make_shared<Impl>(Io, Log, TimeSource, std::move(Settings))) {}

ConfigService::~ConfigService() = default;

void ConfigService::start() { Impl_->start(*this); }

void ConfigService::stop() {
  Impl_->runOnStrand([](Impl &Self) { Self.stop(); });
}

std::shared_ptr<const ConfigState> ConfigService::current() const {
  return Impl_->current();
}

void ConfigService::setLogReader(bool Reader) {
  Impl_->runOnStrand([Reader](Impl &Self) { Self.setLogReader(Reader); });
}

void ConfigService::submit(Change Value,
                           std::function<void(const ChangeOutcome &)> Handler) {
  Impl_->runOnStrand([Value = std::move(Value),
                      Handler = std::move(Handler)](Impl &Self) mutable {
    Self.submit(std::move(Value), std::move(Handler));
  });
}

std::optional<ChangeResult> ConfigService::result(std::string_view Id) const {
  return current()->result(Id);
}

void ConfigService::onPeerRecords(std::vector<LogRecord> Records) {
  Impl_->runOnStrand([Records = std::move(Records)](Impl &Self) mutable {
    Self.onPeerRecords(std::move(Records));
  });
}

void ConfigService::onPeerOffset(int64_t NextOffset) {
  Impl_->runOnStrand(
      [NextOffset](Impl &Self) { Self.onPeerOffset(NextOffset); });
}

std::vector<LogRecord> ConfigService::recordsFrom(int64_t Offset,
                                                  size_t MaxBytes) const {
  return Impl_->recordsFrom(Offset, MaxBytes);
}

bool ConfigService::hasRecordsFrom(int64_t Offset) const {
  return Impl_->hasRecordsFrom(Offset);
}

std::string ConfigService::snapshot() const { return current()->snapshot(); }

void ConfigService::adopt(std::shared_ptr<const ConfigState> State,
                          ConfigOrigin Origin) {
  Impl_->runOnStrand([State = std::move(State), Origin = std::move(Origin)](
                         Impl &Self) { Self.adopt(State, Origin); });
}

void ConfigService::onPeerSnapshot(std::string Snapshot, ConfigOrigin Origin) {
  Impl_->runOnStrand(
      [Snapshot = std::move(Snapshot), Origin = std::move(Origin)](Impl &Self) {
        Self.onPeerSnapshot(Snapshot, Origin);
      });
}

int64_t ConfigService::knownOffset() const { return Impl_->knownOffset(); }

bool ConfigService::hasExternalSource() const {
  return Impl_->hasExternalSource();
}

bool ConfigService::isLogReader() const { return Impl_->isLogReader(); }

bool ConfigService::ready() const { return Impl_->ready(); }

void ConfigService::onPeersQueried() {
  Impl_->runOnStrand([](Impl &Self) { Self.onPeersQueried(); });
}

} // namespace coltsfoot
