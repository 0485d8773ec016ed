#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// How the service times of a stand-in are spread around their mean.
enum class Spread { Fixed, Exponential, Lognormal };

/// A call that a stand-in makes through its own node while it serves a request.
struct ChildCall {
  std::string Service_;
  std::string Method_ = "GET";
  std::string Path_ = "/";
  /// Sent as `Coltsfoot-Step`; empty for none.
  std::string Step_;
  bool operator==(const ChildCall &) const = default;
};

/// What a stand-in does for the requests of one route in place of its general
/// options.
struct RouteBehaviour {
  /// Empty for any method.
  std::string Method_;
  std::string PathPrefix_ = "/";
  Millis Work_{0};
  std::vector<ChildCall> Children_;
  bool Parallel_ = false;
  bool operator==(const RouteBehaviour &) const = default;
};

/// What a stand-in backend server is made of. Requests may override parts by
/// headers: `X-Work-Ms` the service time, `X-Child: SERVICE METHOD PATH [STEP]`
/// (repeatable) the child calls, `X-Child-Mode: parallel`, `X-Padding` the
/// bytes of padding in the answer.
struct BackendOptions {
  /// Name in answers and records; empty for `SERVICE@ip:port`.
  std::string Name_;
  std::string Service_;
  std::string Ip_ = "127.0.0.1";
  /// 0 for any free port.
  uint16_t Port_ = 0;
  /// The `ip:port` of its node; empty when it announces itself nowhere.
  std::string Node_;
  int Slots_ = 8;
  int Connections_ = 300;
  /// Requests that wait for a slot; beyond that it answers 503. Negative: no
  /// limit.
  int QueueLimit_ = -1;
  /// What its announcement says about a 503 of its own.
  bool ShedMeansNotRun_ = true;
  /// Mean service time and its spread.
  Millis Work_{1};
  Spread Spread_ = Spread::Fixed;
  uint64_t Seed_ = 1;
  /// A cold start: the service time is ColdFactor_ times as long at first and
  /// falls to its ordinary length over this time.
  Millis ColdStart_{0};
  double ColdFactor_ = 1;
  /// `/health` and `/load` answer what held this long ago; a negative time
  /// makes them say at all times that the server is idle and well.
  Millis HealthLag_{0};
  std::vector<ChildCall> Children_;
  bool Parallel_ = false;
  /// Attempts per child call; more than 1 retries hard, without a pause.
  int ChildAttempts_ = 1;
  Millis ChildTimeout_{5000};
  /// Answers 502 when a child call fails; else answers 200 all the same.
  bool FailWithChild_ = true;
  /// Bytes of padding in each answer.
  size_t Padding_ = 0;
  std::vector<RouteBehaviour> Routes_;
  bool operator==(const BackendOptions &) const = default;
};

/// One run of a request in a stand-in; it begins when the request gets a slot.
struct RunRecord {
  /// Value of `X-Request-Tag`. A child call carries the tag of its parent, a
  /// slash, and its step or else its service.
  std::string Tag_;
  std::string Method_;
  std::string Target_;
  /// Digest of the body, 16 hexadecimal digits.
  std::string Digest_;
  Millis Start_;
  Millis End_;
  /// The work was done to its end, whether the answer got through or not.
  bool Completed_ = false;
  /// The work was stopped, since the caller closed the connection.
  bool Cancelled_ = false;
  int Status_ = 0;
  /// Name of the stand-in that made the call; empty for none.
  std::string Parent_;
  bool operator==(const RunRecord &) const = default;
};

/// Returns the digest of a body as records and answers give it.
std::string bodyDigest(std::string_view Body);

/// Parses `SERVICE METHOD PATH [STEP]`. Throws std::invalid_argument.
ChildCall parseChildCall(const std::string &Text);

/// A stand-in of a backend server, which runs in a thread of its own inside a
/// test or program. All methods are thread-safe.
///
/// Answers are `{"server":…,"tag":…,"digest":…}` with the request's own tag and
/// body digest. `GET /runs` returns the records, `GET /stats` the counters, and
/// `POST /control` sets what the methods below set, from an object with any of
/// the keys slowdown, failing, hang, close_before_answer, close_mid_answer,
/// paused and leave.
class BackendServer {
public:
  /// Listens and announces itself. Throws when it can't listen.
  explicit BackendServer(BackendOptions Options);
  ~BackendServer();
  BackendServer(const BackendServer &) = delete;
  BackendServer &operator=(const BackendServer &) = delete;

  uint16_t port() const;
  std::string address() const;
  const std::string &name() const;

  /// Sets where it announces itself and sends child calls, as `ip:port`.
  void setNode(const std::string &Node);
  /// Announces that it is leaving; it still serves what comes.
  void leave();
  /// Returns whether its node has accepted an announcement of the present
  /// state.
  bool announced() const;

  /// Multiplies all service times.
  void setSlowdown(double Factor);
  /// Answers this share of the requests with 500, 0 to 1.
  void setFailing(double Share);
  /// Runs requests but holds their answers back until called with false.
  void hang(bool Hang);
  /// Closes the connection in place of the next answers.
  void closeBeforeAnswer(int Count);
  /// Closes the connection in the middle of the next answers.
  void closeMidAnswer(int Count);
  /// Starts no work, sends no answer and no announcement while paused.
  void setPaused(bool Paused);

  /// Returns a copy of the records in order of their start.
  std::vector<RunRecord> runs() const;
  /// Returns the number of runs of the tag.
  size_t count(std::string_view Tag) const;
  /// Returns the number of runs started.
  size_t started() const;
  /// Returns the number of requests that got 503 for a full queue.
  uint64_t shed() const;
  /// Returns the number of runs stopped and of requests taken out of the queue
  /// because their caller had closed the connection.
  uint64_t cancelled() const;
  /// Returns the attempts of child calls made.
  uint64_t childAttempts() const;
  /// Returns the answers to child calls that were another request's.
  uint64_t crossedAnswers() const;
  /// Returns the requests that have a slot now.
  int busy() const;
  /// Returns the requests that wait for a slot now.
  int queued() const;

  /// The implementation, which its own files share.
  class Impl;

private:
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
