#include "configfollower.h"

#include "configservice.h"
#include "generator.h"
#include "timer.h"

#include "coltsfootpoint/log.h"
#include "coltsfootpoint/verdict.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace coltsfoot {

namespace asio = boost::asio;

class ConfigFollower::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Context, ConfigSource &Source, ConfigService &Config,
       Options Given)
      : Options_(Given), Source_(Source), Config_(Config),
        Strand_(asio::make_strand(Context)), Timer_(Strand_),
        Pause_(Given.RetryMin_) {}

  void start() {
    asio::post(Strand_, [Self = shared_from_this()] {
      Self->Running_ = true;
      Self->ask();
    });
  }

  void stop() {
    asio::post(Strand_, [Self = shared_from_this()] {
      Self->Running_ = false;
      Self->Timer_.cancel();
    });
  }

private:
  void ask();
  void onAnswer(const ConfigAnswer &Answer);
  void adopt(const SourcedConfig &Fresh);
  void pause();
  void noteDown(const std::string &Why);
  void noteUp();

  const Options Options_;
  ConfigSource &Source_;
  ConfigService &Config_;
  const asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Timer_;
  Millis Pause_;
  bool Running_ = false;
  /// Longest wait of the request in progress.
  Millis Wait_;
  /// Whether Position_ is valid: the newest configuration has been read since
  /// the start, or since the source last answered ConfigHistoryLost.
  bool Placed_ = false;
  int64_t Position_ = 0;
  bool Down_ = false;
};

void ConfigFollower::Impl::ask() {
  if (!Running_)
    return;
  auto Done = [Weak = weak_from_this()](const ConfigAnswer &Answer) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    asio::post(Self->Strand_, [Self, Answer] { Self->onAnswer(Answer); });
  };
  Wait_ = Config_.isReader() ? Options_.ReaderWait_ : Options_.FollowWait_;
  if (Placed_)
    Source_.after(Position_, Wait_, std::move(Done));
  else
    Source_.newest(std::move(Done));
}

void ConfigFollower::Impl::onAnswer(const ConfigAnswer &Answer) {
  if (!Running_)
    return;
  if (const auto *Down = std::get_if<ConfigSourceDown>(&Answer.News_)) {
    noteDown(Down->Why_);
    return pause();
  }
  noteUp();
  if (std::holds_alternative<ConfigHistoryLost>(Answer.News_)) {
    logEvent(LogLevel::Info, "config_history_lost", {{"position", Position_}});
    Placed_ = false;
    return ask();
  }
  bool Empty = std::holds_alternative<NoNewConfig>(Answer.News_);
  bool WasPlaced = std::exchange(Placed_, true);
  Position_ = Answer.Position_;
  if (const auto *Fresh = std::get_if<SourcedConfig>(&Answer.News_))
    adopt(*Fresh);
  if (const auto *Bad = std::get_if<UnusableConfig>(&Answer.News_))
    logEvent(LogLevel::Warning, "config_passed_over",
             {{"position", Position_}, {"why", Bad->Why_}});
  // Polling again at once would busy-loop on a source that answers without
  // waiting when it has no newer configuration.
  bool InTime = !Empty || !WasPlaced || Wait_ > Millis();
  if (InTime)
    ask();
  else
    pause();
}

void ConfigFollower::Impl::adopt(const SourcedConfig &Fresh) {
  int64_t Present = Config_.current()->nextOffset();
  if (Fresh.Version_ <= Present) {
    if (Fresh.Version_ < Present)
      logEvent(LogLevel::Warning, "config_passed_over",
               {{"version", Fresh.Version_},
                {"present", Present},
                {"why", "older than the configuration in force"}});
    return;
  }
  try {
    Config_.adopt(ConfigState::whole(Fresh.Version_, Fresh.Resources_));
  } catch (const ResourceError &Error) {
    logEvent(LogLevel::Warning, "config_passed_over",
             {{"version", Fresh.Version_}, {"why", Error.what()}});
  }
}

// The jitter spreads the requests of a fleet when the source becomes available
// again.
void ConfigFollower::Impl::pause() {
  constexpr uint64_t Steps = 1024;
  double Part = static_cast<double>(threadGenerator()() % Steps) / Steps;
  Timer_.expires_after(toChrono(Pause_ * (0.5 + Part)));
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (!Error)
          Self->ask();
      });
  Pause_ = std::min(Pause_ * 2, Options_.RetryMax_);
}

void ConfigFollower::Impl::noteDown(const std::string &Why) {
  if (!std::exchange(Down_, true))
    logEvent(LogLevel::Warning, "config_source_lost", {{"why", Why}});
}

void ConfigFollower::Impl::noteUp() {
  Pause_ = Options_.RetryMin_;
  if (std::exchange(Down_, false))
    logEvent(LogLevel::Info, "config_source_regained");
}

ConfigFollower::ConfigFollower(asio::io_context &Context, ConfigSource &Source,
                               ConfigService &Config, Options Given)
    : Impl_(std::make_shared<Impl>(Context, Source, Config, Given)) {}

ConfigFollower::~ConfigFollower() = default;

void ConfigFollower::start() { Impl_->start(); }
void ConfigFollower::stop() { Impl_->stop(); }

} // namespace coltsfoot
