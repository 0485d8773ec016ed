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

/// The operators' resources over HTTP: reading, writing and watching.
/// Thread-safe; its mutex, which guards the recent changes and the watchers,
/// is a leaf.
class ResourceApi {
public:
  using Members = std::function<std::shared_ptr<const MemberView>()>;

  /// Borrows the service, whose OnChange_ hook it takes over.
  ResourceApi(ConfigService &Config, Members Known);
  ~ResourceApi();
  ResourceApi(const ResourceApi &) = delete;
  ResourceApi &operator=(const ResourceApi &) = delete;

  /// Answers a request below `/v1/` with path segments such as
  /// `services`, `chairs`. Returns false when it concerns no resource.
  bool handle(const HttpExchange::Pointer &Exchange,
              const std::vector<std::string> &Path, std::string_view Query);

private:
  struct Event {
    int64_t Version_ = 0;
    ResourceKind Kind_ = ResourceKind::Service;
    std::string Line_;
  };
  struct Watcher {
    HttpExchange::Pointer Exchange_;
    ResourceKind Kind_;
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
  void onChange(const ConfigState &Fresh);
  std::pair<int, int> inForce(int64_t Version) const;

  ConfigService &Config_;
  const Members Members_;
  std::mutex Mutex_;
  std::shared_ptr<const ConfigState> Latest_;
  std::deque<Event> Events_;
  std::vector<Watcher> Watchers_;
};

} // namespace coltsfoot
