#include "configfollower.h"

#include "configservice.h"
#include "pollpace.h"
#include "randomgenerator.h"
#include "timer.h"

#include "coltsfootpoint/log.h"
#include "coltsfootpoint/verdict.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace coltsfoot {

namespace asio = boost::asio;

class ConfigFollower::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, ConfigSource &Source, ConfigService &Config,
       const Clock &Time, Options Settings)
      : Options_(Settings), Source_(Source), Config_(Config), Clock_(Time),
        Strand_(asio::make_strand(Context)), Timer_(Strand_),
        CheckTimer_(Strand_), Polling_(Settings.Polling_) {}

  void start() {
    asio::post(Strand_, [Self = shared_from_this()] {
      Self->Running_ = true;
      Self->poll();
    });
  }

  void stop() {
    asio::post(Strand_, [Self = shared_from_this()] {
      Self->Running_ = false;
      Self->Timer_.cancel();
      Self->CheckTimer_.cancel();
    });
  }

  void onNewerKnown(int64_t Version) {
    asio::post(Strand_,
               [Self = shared_from_this(), Version] { Self->onNews(Version); });
  }

  void askNow() {
    asio::post(Strand_, [Self = shared_from_this()] { Self->hurry(); });
  }

  bool sourceLost() const { return SourceLost_; }

private:
  void poll();
  void onAnswer(const ConfigPollResponse &Answer);
  bool isOfEarlierEra(const ConfigPollResponse &Answer);
  void onDamaged(const std::string &Why);
  void adoptFrom(const ConfigPollResponse &Answer);
  bool adopt(const VersionedConfig &NewConfig);
  void pollAgain(bool Progress);
  void scheduleRetry();
  void onSourceDown(const std::string &Why);
  bool onSourceUp();
  void onNews(int64_t Version);
  void armCheck();
  void check(Millis Due);
  void giveUp();
  void hurry();
  void reportNewest() const;

  const Options Options_;
  ConfigSource &Source_;
  ConfigService &Config_;
  const Clock &Clock_;
  const asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Timer_;      ///< Ends a retry delay.
  asio::steady_timer CheckTimer_; ///< See SourcePolling::nextCheck().
  SourcePolling Polling_;
  std::atomic<bool> SourceLost_ = false;
  bool Retrying_ = false;   ///< A retry delay is in progress.
  bool GivingUp_ = false;   ///< The request in progress has been given up.
  int64_t NewsVersion_ = 0; ///< Newest version that a peer is known to have.
  /// Newest version that the source has delivered.
  int64_t DeliveredVersion_ = 0;
  Millis Sent_; ///< When the request in progress was sent.
  /// The same as a time of Clock::sinceBoot().
  Millis SentSinceBoot_;
  /// Newest version of the source that is in force here or is about to be.
  int64_t AdoptedVersion_ = 0;
  bool Running_ = false;
  PollPace Pace_;
  /// Whether Position_ is valid: the newest configuration has been read since
  /// the start, or since the source last answered ConfigHistoryLost.
  bool HasPosition_ = false;
  /// Whether Position_ was ever valid.
  bool HadPosition_ = false;
  int64_t Position_ = 0;
  std::optional<int64_t> Era_; ///< The latest that the source told.
  /// Whether a request with fetchAfter() has succeeded since the source last
  /// answered ConfigHistoryLost.
  bool Followed_ = false;
  bool SourceDown_ = false;
  /// Damaged answers since a request with fetchAfter() last succeeded.
  int DamagedAnswers_ = 0;
};

void ConfigFollower::Impl::poll() {
  if (!Running_)
    return;
  auto Done = [Weak = weak_from_this()](const ConfigPollResponse &Answer) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    asio::post(Self->Strand_, [Self, Answer] { Self->onAnswer(Answer); });
  };
  Millis Wait = HasPosition_ ? Polling_.wait(Config_.isLogReader()) : Millis();
  Sent_ = Clock_.now();
  SentSinceBoot_ = Clock_.sinceBoot();
  Pace_.onRequest(Sent_, Wait);
  Polling_.onSent(Sent_, Wait);
  if (NewsVersion_ > DeliveredVersion_)
    Polling_.onNews(Sent_);
  armCheck();
  if (HasPosition_)
    Source_.fetchAfter(Position_, Wait, std::move(Done));
  else
    Source_.fetchNewest(std::move(Done));
}

void ConfigFollower::Impl::onAnswer(const ConfigPollResponse &Answer) {
  if (!Running_)
    return;
  bool GaveUp = std::exchange(GivingUp_, false);
  if (isOfEarlierEra(Answer)) {
    onSourceUp();
    return scheduleRetry();
  }
  if (const auto *Down = std::get_if<ConfigSourceDown>(&Answer.Result_)) {
    if (GaveUp) {
      Polling_.onGivenUp();
      SourceLost_ = true;
      return poll();
    }
    onSourceDown(Down->Why_);
    return scheduleRetry();
  }
  if (const auto *Damaged = std::get_if<ConfigAnswerDamaged>(&Answer.Result_))
    return onDamaged(Damaged->Why_);
  if (HasPosition_)
    DamagedAnswers_ = 0;
  bool Regained = onSourceUp();
  if (std::holds_alternative<ConfigHistoryLost>(Answer.Result_)) {
    logEvent(LogLevel::Info, "config_history_lost", {{"position", Position_}});
    HasPosition_ = false;
    return pollAgain(std::exchange(Followed_, false));
  }
  Followed_ = Followed_ || HasPosition_;
  bool Progress = !HadPosition_ || Answer.Position_ > Position_ || Regained;
  HasPosition_ = HadPosition_ = true;
  Position_ = Answer.Position_;
  for (const PassedOverRecord &Each : Answer.PassedOver_)
    logEvent(LogLevel::Warning, "config_passed_over",
             {{"position", Each.Offset_}, {"why", Each.Why_}});
  adoptFrom(Answer);
  if (Answer.Complete_)
    reportNewest();
  pollAgain(Progress);
}

/// Takes notice of the source's era. Returns whether what the answer says of
/// positions no longer holds, as it came late or answers a request with a
/// position of an earlier era.
bool ConfigFollower::Impl::isOfEarlierEra(const ConfigPollResponse &Answer) {
  if (!Answer.Era_)
    return false;
  int64_t Known = Era_.value_or(*Answer.Era_);
  if (*Answer.Era_ < Known)
    return true;
  Era_ = Answer.Era_;
  if (*Answer.Era_ == Known)
    return false;
  logEvent(LogLevel::Warning, "config_source_rolled_back",
           {{"era", *Answer.Era_},
            {"position", Position_},
            {"version", Config_.current()->nextOffset()}});
  bool Positioned = std::exchange(HasPosition_, false);
  HadPosition_ = false;
  return Positioned;
}

void ConfigFollower::Impl::pollAgain(bool Progress) {
  if (!Pace_.mayAskAtOnce(Clock_.now(), Progress))
    return scheduleRetry();
  if (DamagedAnswers_ == 0)
    Polling_.resetRetryDelay();
  poll();
}

// The records at a position can stay unreadable for as long as the source keeps
// them, while the newest configuration and what follows it can be read. While
// answers stay damaged the retry delay is not reset, so that starting again
// adds no more than one request to each retry.
void ConfigFollower::Impl::onDamaged(const std::string &Why) {
  onSourceDown(Why);
  ++DamagedAnswers_;
  if (HasPosition_ && DamagedAnswers_ >= Options_.MaxDamaged_) {
    logEvent(LogLevel::Warning, "config_history_lost",
             {{"position", Position_}, {"why", Why}});
    HasPosition_ = false;
  } else if (!HasPosition_ && HadPosition_) {
    // The newest can't be read either, so the last position is tried again.
    HasPosition_ = true;
    DamagedAnswers_ = 0;
  }
  scheduleRetry();
}

void ConfigFollower::Impl::adoptFrom(const ConfigPollResponse &Answer) {
  const auto *NewConfig = std::get_if<VersionedConfig>(&Answer.Result_);
  if (NewConfig)
    DeliveredVersion_ = std::max(DeliveredVersion_, NewConfig->Version_);
  if (!NewConfig || adopt(*NewConfig))
    return;
  for (const VersionedConfig &Each : Answer.Older_)
    if (adopt(Each))
      return;
}

/// Returns whether the configuration in force is now at least as new as this
/// one.
bool ConfigFollower::Impl::adopt(const VersionedConfig &NewConfig) {
  int64_t CurrentVersion = Config_.current()->nextOffset();
  if (NewConfig.Version_ <= CurrentVersion) {
    AdoptedVersion_ = std::max(AdoptedVersion_, NewConfig.Version_);
    if (NewConfig.Version_ < CurrentVersion)
      logEvent(LogLevel::Warning, "config_passed_over",
               {{"version", NewConfig.Version_},
                {"present", CurrentVersion},
                {"why", "older than the configuration in force"}});
    return true;
  }
  try {
    Config_.adopt(
        ConfigState::fromResources(NewConfig.Version_, NewConfig.Resources_),
        {"source", Clock_.now() - Sent_});
    AdoptedVersion_ = NewConfig.Version_;
    return true;
  } catch (const std::exception &Error) {
    logEvent(LogLevel::Warning, "config_passed_over",
             {{"version", NewConfig.Version_}, {"why", Error.what()}});
    return false;
  }
}

// The jitter spreads the requests of a fleet when the source becomes available
// again.
void ConfigFollower::Impl::scheduleRetry() {
  constexpr uint64_t Steps = 1024;
  double Jitter =
      static_cast<double>(threadRandomGenerator()() % Steps) / Steps;
  // A node without a configuration asks as often as a log reader.
  bool Often = Config_.isLogReader() || !Config_.ready();
  Retrying_ = true;
  Timer_.expires_after(
      toChrono(Polling_.takeRetryDelay(Often) * (0.5 + Jitter)));
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (!Error && std::exchange(Self->Retrying_, false))
          Self->poll();
      });
}

void ConfigFollower::Impl::onNews(int64_t Version) {
  if (!Running_ || Version <= std::max(NewsVersion_, DeliveredVersion_))
    return;
  NewsVersion_ = Version;
  Polling_.onNews(Clock_.now());
  armCheck();
}

void ConfigFollower::Impl::armCheck() {
  Millis Now = Clock_.now();
  std::optional<Millis> Due = Polling_.nextCheck(Now);
  if (!Due) {
    CheckTimer_.cancel();
    return;
  }
  CheckTimer_.expires_after(toChrono(*Due - Now));
  CheckTimer_.async_wait([Self = shared_from_this(),
                          Due = *Due](const boost::system::error_code &Error) {
    if (!Error && Self->Running_)
      Self->check(Due);
  });
}

// A node that has been paused could not read an answer that waits in the
// socket.
void ConfigFollower::Impl::check(Millis Due) {
  constexpr Millis MaxTimerDelay(50);
  Millis Now = Clock_.now();
  if (Now - Due > MaxTimerDelay)
    Polling_.restartNews(Now);
  if (NewsVersion_ <= Config_.current()->nextOffset())
    Polling_.onCaughtUp();
  if (!GivingUp_ && Polling_.shouldGiveUp(Now, Config_.isLogReader()))
    return giveUp();
  if (Polling_.shouldHurry(Now) && std::exchange(Retrying_, false)) {
    Timer_.cancel();
    return poll();
  }
  armCheck();
}

void ConfigFollower::Impl::giveUp() {
  logEvent(LogLevel::Info, "config_request_given_up",
           {{"request_ms", (Clock_.now() - Sent_).whole()},
            {"known", NewsVersion_}});
  GivingUp_ = true;
  Source_.abandon();
}

// A request without a wait is left alone: its answer shows as much.
void ConfigFollower::Impl::hurry() {
  if (!Running_ || GivingUp_)
    return;
  if (std::exchange(Retrying_, false)) {
    Timer_.cancel();
    return poll();
  }
  if (Polling_.waits())
    giveUp();
}

// What the source had when it was asked counts, not when it answered: a request
// may have waited there or on the way. A version that the source has lost and a
// peer still has counts too.
void ConfigFollower::Impl::reportNewest() const {
  if (Options_.OnNewest_ && AdoptedVersion_ > 0)
    Options_.OnNewest_(SentSinceBoot_,
                       std::max(AdoptedVersion_, Config_.knownOffset()));
}

void ConfigFollower::Impl::onSourceDown(const std::string &Why) {
  Polling_.onFailed();
  SourceLost_ = true;
  if (!std::exchange(SourceDown_, true))
    logEvent(LogLevel::Warning, "config_source_lost",
             {{"why", Why}, {"request_ms", (Clock_.now() - Sent_).whole()}});
}

/// Returns whether the source had been lost, or a request given up.
bool ConfigFollower::Impl::onSourceUp() {
  Polling_.onAnswered();
  bool Regained = SourceLost_.exchange(false);
  if (std::exchange(SourceDown_, false))
    logEvent(LogLevel::Info, "config_source_regained");
  return Regained;
}

ConfigFollower::ConfigFollower(asio::io_context &Context, ConfigSource &Source,
                               ConfigService &Config, const Clock &Time,
                               Options Settings)
    : Impl_(std::make_shared<Impl>(Context, Source, Config, Time, Settings)) {}

ConfigFollower::~ConfigFollower() = default;

void ConfigFollower::start() { Impl_->start(); }
void ConfigFollower::stop() { Impl_->stop(); }
void ConfigFollower::onNewerKnown(int64_t Version) {
  Impl_->onNewerKnown(Version);
}
void ConfigFollower::askNow() { Impl_->askNow(); }
bool ConfigFollower::sourceLost() const { return Impl_->sourceLost(); }

} // namespace coltsfoot
