#pragma once

#include "loopbackserver.h"

#include <mutex>
#include <string>
#include <vector>

namespace coltsfoot {

/// A stand-in of an upstream of the platform, in the test's own process. It
/// returns the attempt id and a signature, answers 421 when a request expects
/// another instance, and records which requests it runs. A target that ends
/// with `work-ms=N` takes this long. Reports are sent only when the test calls
/// report(). Thread-safe.
class PlatformUpstream {
public:
  struct Options {
    std::string Ip_;
    std::string Service_;
    std::string Instance_;
    int64_t StartWallMs_ = 1'700'000'000'000;
    int Slots_ = 8;
    Millis Work_ = Millis(0);
    /// The address in its reports; empty for its own.
    std::string AdvertisedAddress_;
  };
  /// A request that the upstream has run or is running.
  struct Run {
    std::string Id_;
    std::string Target_;
    std::string CallerService_;
    std::string Body_;
    std::string Tenants_; ///< All values of the field Tenant-Name.
    bool HasKey_ = false; ///< Whether it bears an Authorization field.
    bool operator==(const Run &) const = default;
  };

  /// A request that the upstream received, whether it was run or shed.
  struct Request {
    std::string Instance_; ///< The instance that received it.
    Millis Received_;      ///< The time of receipt by SystemClock::now().
  };

  explicit PlatformUpstream(Options UpstreamOptions);
  ~PlatformUpstream();
  PlatformUpstream(const PlatformUpstream &) = delete;
  PlatformUpstream &operator=(const PlatformUpstream &) = delete;

  /// Returns `ip:port`.
  std::string address() const { return Server_.address(); }
  /// Sends a report to the address where a node takes reports; returns the
  /// status. Throws HttpError.
  int report(const std::string &Ip, uint16_t Port, const std::string &State);
  /// Sends the report that deregisters the present instance; returns the
  /// status. Throws HttpError.
  int deregister(const std::string &Ip, uint16_t Port) const;
  /// Sets whether every second request is refused with 503 and the header field
  /// `Request-Not-Executed`.
  void setShedding(bool Shedding);
  /// Sets the status with which the health check is answered, independently of
  /// the upstream's real state.
  void setHealthStatus(int Status);
  /// Sets the header fields of health answers; none for the right ones.
  void setHealthFields(std::vector<HttpField> Fields);
  /// Sets whether reports include the start time of the instance.
  void setReportsStartTime(bool Included);
  /// Simulates a restart: the upstream becomes another instance with a new
  /// start time, and the sequence numbers of its reports start again.
  void startIncarnation(const std::string &Instance, int64_t StartWallMs);
  /// Returns the present instance id.
  std::string instance() const;
  /// Changes the instance id in answers, but not in reports.
  void setInstance(const std::string &Instance);
  std::vector<Run> runs() const;
  /// Returns the requests of all instances so far, without health checks and
  /// requests answered 421.
  std::vector<Request> requests() const;

private:
  void handle(const HttpExchange::Pointer &Exchange);

  const Options Options_;
  const SystemClock Clock_;
  LoopbackServer Server_;
  mutable std::mutex Mutex_; // guards the members below
  std::string Instance_;
  std::string ReportedInstance_;
  int64_t StartWallMs_;
  bool ReportsStartTime_ = true;
  int64_t Sequence_ = 0;
  bool Shedding_ = false;
  int HealthStatus_ = 200;
  std::vector<HttpField> HealthFields_;
  std::vector<Request> Requests_;
  std::vector<Run> Runs_;
};

} // namespace coltsfoot
