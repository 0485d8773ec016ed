#include "refusal.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace coltsfoot {

namespace json = boost::json;

namespace {

int notRunStatus(Reason Why) {
  switch (Why) {
  case Reason::BadRequest:
    return 400;
  case Reason::KeyMissing:
  case Reason::KeyUnknown:
    return 401;
  case Reason::TicketInvalid:
    return 403;
  case Reason::NoRoute:
    return 404;
  case Reason::TicketExpired:
    return 410;
  case Reason::TooLarge:
    return 413;
  case Reason::TicketBodyMismatch:
    return 422;
  case Reason::TicketNeeded:
    return 428;
  case Reason::Overload:
  case Reason::QueueTimeout:
  case Reason::UpstreamShed:
  case Reason::BudgetSpent:
  case Reason::AllowanceSpent:
    return 429;
  default:
    return 503;
  }
}

int mayHaveRunStatus(Reason Why) {
  switch (Why) {
  case Reason::TicketExpired:
    return 410;
  case Reason::UpstreamLost:
  case Reason::AnswerNotKept:
    return 502;
  default:
    return 504;
  }
}

} // namespace

int statusOf(const Verdict &Outcome) {
  return std::visit(
      Overloaded{
          [](const Ran &RanVerdict) { return RanVerdict.Answer_.Status_; },
          [](const NotRun &NotRunVerdict) {
            return notRunStatus(NotRunVerdict.Reason_);
          },
          [](const MayHaveRun &MayHaveRunVerdict) {
            return mayHaveRunStatus(MayHaveRunVerdict.Reason_);
          }},
      Outcome);
}

Reason reasonOf(const Verdict &Outcome) {
  return std::visit(
      Overloaded{[](const Ran &) { return Reason::None; },
                 [](const auto &Refusal) { return Refusal.Reason_; }},
      Outcome);
}

Answer refusalAnswer(const Verdict &Outcome, std::string_view RequestId,
                     std::string_view Detail) {
  json::object Body;
  Body["verdict"] = json::string_view(verdictName(Outcome).data(),
                                      verdictName(Outcome).size());
  std::string_view Why = reasonName(reasonOf(Outcome));
  Body["reason"] = json::string_view(Why.data(), Why.size());
  Body["request_id"] = json::string_view(RequestId.data(), RequestId.size());
  if (!Detail.empty())
    Body["detail"] = json::string_view(Detail.data(), Detail.size());
  Answer Reply = jsonAnswer(statusOf(Outcome), json::serialize(Body));
  Reply.Fields_.push_back(
      {"Coltsfoot-Verdict", std::string(verdictName(Outcome))});
  return Reply;
}

Answer errorAnswer(int Status, std::string_view Error, std::string_view Field) {
  json::object Body;
  Body["error"] = json::string_view(Error.data(), Error.size());
  if (!Field.empty())
    Body["field"] = json::string_view(Field.data(), Field.size());
  return jsonAnswer(Status, json::serialize(Body));
}

Answer jsonAnswer(int Status, std::string Json) {
  Json += '\n';
  return Answer{
      Status, {{"Content-Type", "application/json"}}, std::move(Json)};
}

} // namespace coltsfoot
