#include "backendjob.h"

#include "coltsfootpoint/ids.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>
#include <limits>
#include <sstream>

namespace coltsfoot {

namespace json = boost::json;

namespace {

constexpr int FirstErrorStatus = 400;

std::chrono::steady_clock::duration duration(Millis Time) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(Time.count()));
}

/// Returns the number in a header value, or the fallback when the value is not
/// a number.
double number(const std::string &Text, double Fallback) {
  char *End = nullptr;
  double Value = std::strtod(Text.c_str(), &End);
  return Text.empty() || *End != '\0' ? Fallback : Value;
}

/// Returns a string field of a JSON object; empty when the body is not an
/// object or has no such string.
std::string textField(const std::string &Body, const char *Key) {
  boost::system::error_code Error;
  auto Parsed = json::parse(Body, Error);
  const auto *Fields = Error ? nullptr : Parsed.if_object();
  const auto *Value = Fields ? Fields->if_contains(Key) : nullptr;
  const auto *Text = Value ? Value->if_string() : nullptr;
  return Text ? std::string(*Text) : std::string();
}

} // namespace

std::string bodyDigest(std::string_view Body) {
  std::array<char, 17> Digits;
  std::snprintf(Digits.data(), Digits.size(), "%016llx",
                static_cast<unsigned long long>(stableHash(Body)));
  return Digits.data();
}

ChildCall parseChildCall(const std::string &Text) {
  std::istringstream Stream(Text);
  ChildCall Child;
  std::string Rest;
  if (!(Stream >> Child.Service_ >> Child.Method_ >> Child.Path_))
    throw std::invalid_argument("expected 'SERVICE METHOD PATH [STEP]', got '" +
                                Text + "'");
  Stream >> Child.Step_;
  if (Stream >> Rest)
    throw std::invalid_argument(
        "expected 'SERVICE METHOD PATH [STEP]', got more words: '" + Text +
        "'");
  return Child;
}

std::string BackendRequest::header(std::string_view Name) const {
  for (const HttpField &Field : Fields_)
    if (boost::beast::iequals(Field.Name_, {Name.data(), Name.size()}))
      return Field.Value_;
  return {};
}

BackendJob::BackendJob(BackendServer::Impl &Server, BackendRequest Request,
                       AnswerHandler Answer)
    : Server_(Server), Request_(std::move(Request)), Answer_(std::move(Answer)),
      Tag_(Request_.header("X-Request-Tag")), ReceiveTime_(Server.Clock_.now()),
      Timer_(Server.Io_) {
  readBehaviour();
}

void BackendJob::readBehaviour() {
  Behaviour_ = Server_.route(Request_.Method_, Request_.Target_);
  Behaviour_.MeanServiceTime_ = Millis(number(
      Request_.header("X-Work-Ms"), Behaviour_.MeanServiceTime_.count()));
  std::string Mode = Request_.header("X-Child-Mode");
  if (!Mode.empty())
    Behaviour_.Parallel_ = Mode == "parallel";
  bool Replaced = false;
  for (const HttpField &Field : Request_.Fields_) {
    if (!boost::beast::iequals(Field.Name_, "X-Child"))
      continue;
    if (!Replaced)
      Behaviour_.Children_.clear();
    Replaced = true;
    Behaviour_.Children_.push_back(parseChildCall(Field.Value_));
  }
  PaddingBytes_ = static_cast<size_t>(
      number(Request_.header("X-Padding"), Server_.Options_.PaddingBytes_));
  double DeadlineMs = number(Request_.header("Coltsfoot-Deadline-Ms"),
                             std::numeric_limits<double>::infinity());
  Deadline_ = ReceiveTime_ + Millis(DeadlineMs);
}

bool BackendJob::expired() const { return remaining() <= Millis(0); }

Millis BackendJob::remaining() const {
  return Deadline_ - Server_.Clock_.now();
}

RunRecord &BackendJob::record() { return Server_.Runs_[RunIndex_]; }

void BackendJob::start() {
  RunIndex_ = Server_.Runs_.size();
  RunRecord Record;
  Record.Tag_ = Tag_;
  Record.Method_ = Request_.Method_;
  Record.Target_ = Request_.Target_;
  Record.Digest_ = bodyDigest(Request_.Body_);
  Record.Start_ = Server_.Clock_.now();
  Record.Parent_ = Request_.header("X-Parent");
  Server_.Runs_.push_back(std::move(Record));
  Timer_.expires_after(
      duration(Server_.serviceTime(Behaviour_.MeanServiceTime_)));
  Timer_.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (Error || Self->Ended_)
          return;
        if (Self->Server_.shouldFail())
          return Self->finish(500, R"({"error":"failing"})");
        Self->nextChild();
      });
}

void BackendJob::nextChild() {
  do {
    if (NextChild_ == Behaviour_.Children_.size())
      break;
    ++PendingChildren_;
    callChild(NextChild_++, 1);
  } while (Behaviour_.Parallel_);
  if (PendingChildren_ > 0)
    return;
  json::object Body = {{"server", Server_.Name_},
                       {"tag", Tag_},
                       {"digest", bodyDigest(Request_.Body_)}};
  if (PaddingBytes_ > 0)
    Body["padding"] = std::string(PaddingBytes_, 'x');
  finish(200, json::serialize(Body));
}

std::string BackendJob::childTag(size_t Index) const {
  const ChildCall &Child = Behaviour_.Children_[Index];
  return Tag_ + "/" + (Child.Step_.empty() ? Child.Service_ : Child.Step_);
}

void BackendJob::callChild(size_t Index, int Attempt) {
  const ChildCall &Child = Behaviour_.Children_[Index];
  ++Server_.Counters_.ChildAttempts_;
  NodeRequest ChildRequest;
  ChildRequest.Method_ = Child.Method_;
  ChildRequest.Target_ = Child.Path_;
  ChildRequest.Fields_ = {{"Coltsfoot-Service", Child.Service_},
                          {"X-Request-Tag", childTag(Index)},
                          {"X-Parent", Server_.Name_}};
  std::string Context = Request_.header("Coltsfoot-Context");
  if (!Context.empty())
    ChildRequest.Fields_.push_back({"Coltsfoot-Context", Context});
  if (!Child.Step_.empty())
    ChildRequest.Fields_.push_back({"Coltsfoot-Step", Child.Step_});
  ChildRequest.Timeout_ = std::min(Server_.Options_.ChildTimeout_, remaining());
  if (Deadline_.count() < std::numeric_limits<double>::infinity())
    ChildRequest.Fields_.push_back(
        {"Coltsfoot-Deadline-Ms",
         std::to_string(std::max<int64_t>(0, remaining().whole()))});
  if (Child.Method_ != "GET")
    ChildRequest.Body_ = childTag(Index);
  Calls_.push_back(Server_.Node_.call(
      std::move(ChildRequest),
      [Self = shared_from_this(), Index, Attempt](const HttpReply &Reply) {
        Self->onChildReply(Index, Attempt, Reply);
      }));
}

bool BackendJob::childSucceeded(size_t Index, const HttpReply &Reply) {
  if (Reply.Status_ == 0 || Reply.Status_ >= FirstErrorStatus)
    return false;
  bool Get = Behaviour_.Children_[Index].Method_ == "GET";
  std::string Sent = Get ? std::string() : childTag(Index);
  bool Matches = textField(Reply.Body_, "tag") == childTag(Index) &&
                 textField(Reply.Body_, "digest") == bodyDigest(Sent);
  Server_.Counters_.MismatchedAnswers_ += Matches ? 0 : 1;
  return Matches;
}

void BackendJob::onChildReply(size_t Index, int Attempt,
                              const HttpReply &Reply) {
  if (Ended_)
    return;
  bool Succeeded = childSucceeded(Index, Reply);
  if (!Succeeded && Attempt < Server_.Options_.ChildAttempts_ && !expired())
    return callChild(Index, Attempt + 1);
  --PendingChildren_;
  if (Succeeded || !Server_.Options_.FailOnChildFailure_) {
    if (!Behaviour_.Parallel_ || PendingChildren_ == 0)
      nextChild();
    return;
  }
  json::object Body = {{"error", "child"},
                       {"tag", Tag_},
                       {"child", Behaviour_.Children_[Index].Service_},
                       {"child_status", Reply.Status_},
                       {"child_verdict", Reply.header("Coltsfoot-Verdict")}};
  finish(502, json::serialize(Body));
}

void BackendJob::stopCalls() {
  Ended_ = true;
  Timer_.cancel();
  for (const std::weak_ptr<NodeCall> &Each : Calls_)
    if (auto Call = Each.lock())
      Call->cancel();
  Calls_.clear();
}

void BackendJob::finish(int Status, std::string Body) {
  stopCalls();
  record().Completed_ = true;
  record().Status_ = Status;
  record().End_ = Server_.Clock_.now();
  Status_ = Status;
  Body_ = std::move(Body);
  if (Server_.holdsAnswers())
    Server_.HeldJobs_.push_back(shared_from_this());
  else
    answer();
}

void BackendJob::answer() {
  auto Self = shared_from_this();
  AnswerHandler Answer = std::move(Answer_);
  Answer_ = nullptr;
  Server_.release(*this);
  if (Answer)
    Answer(Status_, std::move(Body_));
}

void BackendJob::refuse() {
  stopCalls();
  Status_ = 503;
  Body_ = R"({"error":"shed"})";
  ++Server_.Counters_.Shed_;
  answer();
}

void BackendJob::cancel() {
  auto Self = shared_from_this();
  if (!Answer_)
    return;
  Answer_ = nullptr;
  ++Server_.Counters_.Cancelled_;
  if (HasSlot_ && !Ended_) {
    record().Cancelled_ = true;
    record().End_ = Server_.Clock_.now();
  }
  stopCalls();
  Server_.release(*this);
}

} // namespace coltsfoot
