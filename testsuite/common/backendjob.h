#pragma once

#include "backendimpl.h"

namespace coltsfoot {

/// A parsed request to a stand-in backend server.
struct BackendRequest {
  std::string Method_;
  std::string Target_;
  std::vector<HttpField> Fields_;
  std::string Body_;
  bool KeepAlive_ = true;

  /// Returns the first value of a header field, whose name is compared without
  /// regard to case; empty when the field is absent.
  std::string header(std::string_view Name) const;
};

/// The work for one request: it waits in the queue, runs, makes the child calls
/// and sends the response. Use it only on the server's thread.
class BackendJob : public std::enable_shared_from_this<BackendJob> {
public:
  using AnswerHandler = std::function<void(int Status, std::string Body)>;

  /// Throws std::invalid_argument when an `X-Child` header is malformed.
  BackendJob(BackendServer::Impl &Server, BackendRequest Request,
             AnswerHandler Answer);

  /// Starts the run. The server must have assigned a slot to the job.
  void start();
  /// Refuses the request with 503 before it has run.
  void refuse();
  /// Stops the work because the caller has closed the connection.
  void cancel();
  /// Sends the response and releases the job's slot.
  void answer();
  /// Returns whether the request's deadline has passed.
  bool expired() const;

  bool HasSlot_ = false;

private:
  void readBehaviour();
  void nextChild();
  void callChild(size_t Index, int Attempt);
  void onChildReply(size_t Index, int Attempt, const HttpReply &Reply);
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
  RouteBehaviour Behaviour_;
  size_t PaddingBytes_ = 0;
  Millis ReceiveTime_;
  Millis Deadline_;
  boost::asio::steady_timer Timer_;
  /// The handler of each call owns the job, so the job must not own the calls.
  std::vector<std::weak_ptr<NodeCall>> Calls_;
  size_t NextChild_ = 0;
  size_t PendingChildren_ = 0;
  size_t RunIndex_ = 0;
  bool Ended_ = false;
  int Status_ = 0;
  std::string Body_;
};

} // namespace coltsfoot
