#pragma once

#include "configservice.h"
#include "httpserver.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace coltsfoot {

class MemberView;

/// Lets operators read, write and watch the configuration resources over HTTP.
/// Thread-safe. Its mutex guards the recent changes and the watchers. While it
/// is held, only mutexes inside of the watchers' exchanges are locked.
class ResourceApi {
public:
  using MembersProvider = std::function<std::shared_ptr<const MemberView>()>;

  /// Borrows the service and sets its OnChange_ hook. Members returns the
  /// current members of the fleet.
  ResourceApi(ConfigService &Config, MembersProvider Members);
  ~ResourceApi();
  ResourceApi(const ResourceApi &) = delete;
  ResourceApi &operator=(const ResourceApi &) = delete;

  /// Answers a request below `/v1/`, given its path segments, such as
  /// `services` and `chairs`. Returns false, without an answer, when the path
  /// is neither that of a resource nor that of a change.
  bool handle(const HttpExchange::Pointer &Exchange,
              const std::vector<std::string> &Path, std::string_view Query);
  /// Ends all watches. Later watches end after their backlog.
  void endWatches();

private:
  struct Event {
    int64_t Version_ = 0;
    ResourceKind Kind_ = ResourceKind::Service;
    std::string Line_;
  };
  struct Watcher {
    HttpExchange::Pointer Exchange_;
    ResourceKind Kind_ = ResourceKind::Service;
    int64_t From_ = 0; ///< Only later versions are sent.
  };
  /// An update of the configuration by several records at once, from one
  /// version to another. The recent events lack the changes in between that a
  /// later one replaced.
  struct SkippedRange {
    int64_t From_ = 0;
    int64_t To_ = 0;
  };

  void get(const HttpExchange::Pointer &Exchange, ResourceKind Kind,
           const std::string &Name);
  void list(const HttpExchange::Pointer &Exchange, ResourceKind Kind);
  void watch(const HttpExchange::Pointer &Exchange, ResourceKind Kind,
             int64_t From);
  void change(const HttpExchange::Pointer &Exchange, ResourceKind Kind,
              const std::string &Name, bool Delete);
  void showChange(const HttpExchange::Pointer &Exchange, const std::string &Id);
  void respondOutcome(const HttpExchange::Pointer &Exchange,
                      const std::string &Id, const ChangeOutcome &Outcome);
  /// Returns whether the events include every change after a version, so that a
  /// watcher that has the state of that version can resume from them.
  bool hasAllEventsSince(int64_t From) const;
  std::string backlog(ResourceKind Kind, int64_t From) const;
  void addSkippedRange(int64_t From, int64_t To);
  void onChange(const ConfigState &NewConfig);
  /// Returns the number of present nodes on which the version is in force, and
  /// the number of all present nodes.
  std::pair<int, int> countInForce(int64_t Version) const;

  ConfigService &Config_;
  const MembersProvider Members_;
  std::mutex Mutex_;
  std::shared_ptr<const ConfigState> LatestConfig_;
  std::deque<Event> RecentEvents_;
  std::deque<SkippedRange> SkippedRanges_;
  /// The events and skipped ranges after this version are kept; older ones may
  /// have been dropped.
  int64_t EventsFrom_ = 0;
  std::vector<Watcher> Watchers_;
  bool WatchesEnded_ = false;
};

} // namespace coltsfoot
