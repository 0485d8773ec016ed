#pragma once

#include "backendimpl.h"

namespace coltsfoot {

/// A request as a stand-in has read it.
struct BackendRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
  bool KeepAlive_ = true;

  std::string header(std::string_view Name) const;
};

/// The work for one request: its place in the queue, its run with the child
/// calls, and its answer.
class BackendJob : public std::enable_shared_from_this<BackendJob> {
public:
  using AnswerHandler = std::function<void(int Status, std::string Body)>;

  BackendJob(BackendServer::Impl &Server, BackendRequest Request,
             AnswerHandler Answer);

  /// Begins the run; the job has a slot from now on.
  void start();
  /// Refuses the request, which hasn't run.
  void refuse();
  /// Stops the work, since the caller has left.
  void cancel();
  /// Sends the answer that was held back.
  void answer();
  /// Returns whether its deadline has passed.
  bool expired() const;

  bool HasSlot_ = false;

private:
  void readPlan();
  void nextChild();
  void callChild(size_t Index, int Attempt);
  void onChild(size_t Index, int Attempt, const HttpReply &Reply);
  bool childSucceeded(size_t Index, const HttpReply &Reply);
  std::string childTag(size_t Index) const;
  Millis remaining() const;
  void finish(int Status, std::string Body);
  RunRecord &record();
  void stopCalls();

  BackendServer::Impl &Server_;
  BackendRequest Request_;
  AnswerHandler Answer_;
  std::string Tag_;
  RouteBehaviour Plan_;
  size_t Padding_ = 0;
  Millis Received_;
  Millis Deadline_;
  boost::asio::steady_timer Timer_;
  /// Each call's handler owns the job, so that the job must not own the call.
  std::vector<std::weak_ptr<NodeCall>> Calls_;
  size_t NextChild_ = 0;
  size_t OpenChildren_ = 0;
  size_t Run_ = 0;
  bool Ended_ = false;
  int Status_ = 0;
  std::string Body_;
};

} // namespace coltsfoot
