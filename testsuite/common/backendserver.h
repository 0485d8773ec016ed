#pragma once

#include "coltsfootpoint/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot {

/// The probability distribution of the service times of a stand-in backend
/// server.
enum class ServiceTimeDistribution { Fixed, Exponential, Lognormal };

/// A call that a stand-in backend server makes through its own node while it
/// serves a request.
struct ChildCall {
  std::string Service_;
  std::string Method_ = "GET";
  std::string Path_ = "/";
  /// Value of the `Coltsfoot-Step` header; empty to omit the header.
  std::string Step_;
  bool operator==(const ChildCall &) const = default;
};

/// Overrides the general options of a stand-in backend server for the requests
/// of one route.
struct RouteBehaviour {
  /// The HTTP method; empty matches any.
  std::string Method_;
  std::string PathPrefix_ = "/";
  Millis MeanServiceTime_{0};
  std::vector<ChildCall> Children_;
  bool Parallel_ = false;
  bool operator==(const RouteBehaviour &) const = default;
};

/// A surplus answer, which no request asked for, that a stand-in backend server
/// writes on the same connection after each of its answers.
struct SurplusAnswer {
  int Status_ = 0; ///< 0 writes none.
  /// How long after the answer it is written.
  Millis Delay_{0};
  /// Whether it repeats the `Coltsfoot-Context` of the request that was just
  /// answered; otherwise it has no such field.
  bool RepeatsContext_ = false;
  bool operator==(const SurplusAnswer &) const = default;
};

/// The configuration of a stand-in backend server. A request may override parts
/// of it by headers: `X-Work-Ms` sets the mean service time, `X-Child: SERVICE
/// METHOD PATH [STEP]` (repeatable) the child calls, `X-Child-Mode: parallel`
/// makes them concurrently, and `X-Padding` sets the bytes of padding in the
/// response.
struct BackendOptions {
  /// Name in responses and run records; empty for `SERVICE@ip:port`.
  std::string Name_;
  std::string Service_;
  std::string Ip_ = "127.0.0.1";
  /// The port to listen on; 0 selects a free one.
  uint16_t Port_ = 0;
  /// The `ip:port` of the server's node; empty when it is not announced to any
  /// node.
  std::string Node_;
  /// Maximum number of requests that run at the same time.
  int Slots_ = 8;
  /// Maximum number of open connections; further ones are closed.
  int Connections_ = 300;
  /// Maximum number of requests that wait for a slot; when the queue is full,
  /// the server responds with 503. A negative value means no limit.
  int QueueLimit_ = -1;
  /// Whether its announcement promises that a request it answered with 503 has
  /// not run.
  bool ShedMeansNotRun_ = true;
  /// Mean and distribution of the service time.
  Millis MeanServiceTime_{1};
  ServiceTimeDistribution Distribution_ = ServiceTimeDistribution::Fixed;
  uint64_t Seed_ = 1;
  /// Simulates a cold start: the service time begins at ColdStartFactor_ times
  /// its normal length and falls linearly to the normal length over this time.
  Millis ColdStartDuration_{0};
  double ColdStartFactor_ = 1;
  /// `/health` and `/load` report the load of this long ago. With a negative
  /// value they always report that the server is idle.
  Millis HealthLag_{0};
  std::vector<ChildCall> Children_;
  bool Parallel_ = false;
  /// Attempts per child call; retries follow immediately, without backoff.
  int ChildAttempts_ = 1;
  Millis ChildTimeout_{5000};
  /// Responds with 502 when a child call fails; if false, ignores the failure
  /// and responds with 200.
  bool FailOnChildFailure_ = true;
  /// Bytes of padding in each response.
  size_t PaddingBytes_ = 0;
  std::vector<RouteBehaviour> Routes_;
  /// Whether answers repeat the request's `Coltsfoot-Context`.
  bool RepeatsContext_ = true;
  SurplusAnswer Surplus_;
  bool operator==(const BackendOptions &) const = default;
};

/// Record of one run of a request in a stand-in backend server. A run starts
/// when the request gets a slot.
struct RunRecord {
  /// Value of the `X-Request-Tag` header. The tag of a child call is the tag of
  /// its parent, a slash, and its step or, without a step, its service.
  std::string Tag_;
  std::string Method_;
  std::string Target_;
  /// Digest of the request body, as 16 hexadecimal digits.
  std::string Digest_;
  Millis Start_;
  Millis End_;
  /// The work was completed, whether or not the response reached the caller.
  bool Completed_ = false;
  /// The work was stopped because the caller closed the connection.
  bool Cancelled_ = false;
  int Status_ = 0;
  /// Name of the stand-in backend server that made the call; empty when the
  /// call came from elsewhere.
  std::string Parent_;
  bool operator==(const RunRecord &) const = default;
};

/// Returns the digest of a body, in the form that run records and responses
/// contain.
std::string bodyDigest(std::string_view Body);

/// Parses `SERVICE METHOD PATH [STEP]`. Throws std::invalid_argument when the
/// text has another form.
ChildCall parseChildCall(const std::string &Text);

/// A stand-in for a backend server, which runs on its own thread inside a test
/// or program. All methods are thread-safe.
///
/// Responses are `{"server":…,"tag":…,"digest":…}` with the tag and the body
/// digest of the request. `GET /runs` returns the run records and `GET /stats`
/// the counters. `POST /control` has the same effect as the methods below; it
/// takes an object with any of the keys slowdown, failing, hang,
/// close_before_answer, close_mid_answer, paused and leave.
class BackendServer {
public:
  /// Starts to listen and to announce the server. Throws when it can't listen.
  explicit BackendServer(BackendOptions Options);
  ~BackendServer();
  BackendServer(const BackendServer &) = delete;
  BackendServer &operator=(const BackendServer &) = delete;

  uint16_t port() const;
  /// Returns `ip:port`.
  std::string address() const;
  const std::string &name() const;

  /// Sets the node, as `ip:port`, that receives announcements and child calls.
  void setNode(const std::string &Node);
  /// Announces that the server is leaving. It still serves all requests.
  void leave();
  /// Returns whether its node has accepted an announcement of the current
  /// state.
  bool announced() const;

  /// Multiplies all service times.
  void setSlowdown(double Factor);
  /// Responds with 500 to a random share of the requests, from 0 to 1.
  void setFailureShare(double Share);
  /// While set, runs requests but holds their responses back.
  void setHang(bool Hang);
  /// Closes the connection without a response at each of the next Count
  /// responses.
  void closeBeforeAnswer(int Count);
  /// Closes the connection after half of the bytes at each of the next Count
  /// responses.
  void closeMidAnswer(int Count);
  /// Sets the surplus answer that follows each of the next answers.
  void setSurplus(SurplusAnswer Surplus);
  /// While paused, starts no runs, holds the responses of completed runs back
  /// and sends no announcements.
  void setPaused(bool Paused);

  /// Returns a copy of the run records, ordered by start time.
  std::vector<RunRecord> runs() const;
  /// Returns the number of runs with this tag.
  size_t count(std::string_view Tag) const;
  /// Returns the number of runs started.
  size_t started() const;
  /// Returns the number of requests refused with 503 because the queue was full
  /// or their deadline had passed.
  uint64_t shed() const;
  /// Returns the number of requests that were stopped or removed from the queue
  /// because their caller had closed the connection.
  uint64_t cancelled() const;
  /// Returns the number of attempts of child calls, retries included.
  uint64_t childAttempts() const;
  /// Returns the number of successful responses to child calls whose tag or
  /// digest is not that of the child call.
  uint64_t mismatchedAnswers() const;
  /// Returns the number of requests that currently have a slot.
  int busy() const;
  /// Returns the number of requests that currently wait for a slot.
  int queued() const;

  /// The implementation, which BackendConnection and BackendJob use as well.
  class Impl;

private:
  std::unique_ptr<Impl> Impl_;
};

} // namespace coltsfoot
