#include "entry.h"

#include "attempttable.h"
#include "calldialect.h"
#include "configstate.h"
#include "entrycall.h"
#include "entryrequestreader.h"
#include "pendingcalls.h"
#include "randomgenerator.h"
#include "refusal.h"
#include "requestledger.h"
#include "spenttokens.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <unordered_map>

namespace coltsfoot {

namespace json = boost::json;

namespace {

constexpr int RefusalRetryAfterMs = 500;

} // namespace

/// The offers of each nested step whose parent has not ended, by the serial of
/// the step's ticket.
struct Entry::StepOfferTable {
  std::mutex Mutex_;
  std::unordered_map<std::string, std::shared_ptr<StepOffers>> Offers_;
};

Entry::Entry(EntryParts Parts)
    : Parts_(std::make_shared<EntryParts>(std::move(Parts))),
      Pending_(std::make_shared<PendingCalls>()),
      StepOfferTable_(std::make_shared<StepOfferTable>()),
      SpentTokens_(std::make_unique<SpentTokens>()) {}

// Each pending call refers to the list, which refers to the call.
Entry::~Entry() { Pending_->clear(); }

size_t Entry::pending() const { return Pending_->size(); }

void Entry::cutPending() {
  for (const EntryCall::Pointer &Each : Pending_->all())
    Each->cut();
}

bool Entry::isCall(const HttpRequest &Request) const {
  if (Parts_->Dialect_)
    return true;
  // A request with a ticket is always a call, even if its host names a service
  // that this node does not know yet.
  if (!Request.field("Coltsfoot-Service").empty() ||
      !Request.field("Coltsfoot-Ticket").empty())
    return true;
  std::string_view Label = hostLabel(Request.field("Host"));
  return !Label.empty() && Parts_->NodeContext_.Config_()->service(Label);
}

void Entry::handle(const HttpExchange::Pointer &Exchange) {
  EntryRequestReader Reader(*Parts_, *SpentTokens_, Exchange->request());
  try {
    EntryRequest Request = Reader.read();
    std::string ParentKey = Request.ParentKey_;
    if (Request.Ticket_ && !ParentKey.empty()) {
      Request.StepOffers_ = stepOffers(ParentKey, Request.Ticket_->Serial_);
      // The record of a step's offers is dropped when its parent ends. A call
      // after that can't see the offers of an earlier one, so it is refused.
      if (!Parts_->Attempts_.find(ParentKey))
        throw Refusal{MayHaveRun{Reason::Cancelled}};
    }
    EntryCall::Pointer Call(
        new EntryCall(Parts_, Pending_, Exchange, std::move(Request)));
    Call->start();
    if (!ParentKey.empty())
      Parts_->Attempts_.onClose(ParentKey, [Call] { Call->parentEnded(); });
  } catch (const Refusal &Refused) {
    Parts_->Ledger_.note(
        Reader.requestId(), "entry-refused",
        "reason=" + std::string(reasonName(reasonOf(Refused.Verdict_))) +
            (Refused.Detail_.empty() ? ""
                                     : " detail=\"" + Refused.Detail_ + "\""));
    if (Parts_->OnEnd_)
      Parts_->OnEnd_(Reader.recordOf(Refused.Verdict_));
    if (const CallDialect *Dialect = Parts_->Dialect_)
      return Exchange->respond(Dialect->writeAnswer(
          Refused.Verdict_, jitteredWait(Millis(RefusalRetryAfterMs),
                                         threadRandomGenerator()())));
    Answer Reply =
        refusalAnswer(Refused.Verdict_, Reader.requestId(), Refused.Detail_);
    Reply.Fields_.push_back({"Coltsfoot-Request-Id", Reader.requestId()});
    if (Reply.Status_ == 429 || Reply.Status_ == 503)
      addRetryAfter(Reply, RefusalRetryAfterMs, threadRandomGenerator()());
    for (const HttpField &Field : Refused.Fields_)
      Reply.Fields_.push_back(Field);
    Exchange->respond(std::move(Reply));
  }
}

std::shared_ptr<StepOffers> Entry::stepOffers(const std::string &ParentKey,
                                              const std::string &Serial) {
  std::shared_ptr<StepOffers> Offers;
  bool Created = false;
  {
    std::lock_guard<std::mutex> Lock(StepOfferTable_->Mutex_);
    auto &StoredOffers = StepOfferTable_->Offers_[Serial];
    Created = !StoredOffers;
    if (Created)
      StoredOffers = std::make_shared<StepOffers>();
    Offers = StoredOffers;
  }
  if (Created)
    Parts_->Attempts_.onClose(ParentKey, [Table = StepOfferTable_, Serial] {
      std::lock_guard<std::mutex> Lock(Table->Mutex_);
      Table->Offers_.erase(Serial);
    });
  return Offers;
}

void Entry::issueTicket(const HttpExchange::Pointer &Exchange) {
  const HttpRequest &Incoming = Exchange->request();
  std::string Service;
  std::string Method;
  std::string Path;
  try {
    const json::value Parsed = json::parse(Incoming.Body_);
    const json::object &Body = Parsed.as_object();
    Service = json::value_to<std::string>(Body.at("service"));
    Method = json::value_to<std::string>(Body.at("method"));
    Path = json::value_to<std::string>(Body.at("path"));
  } catch (const std::exception &) {
    return Exchange->respond(errorAnswer(
        400, R"(expected {"service":…,"method":…,"path":…} as JSON)"));
  }
  Reason Blocked = Parts_->RefusalReason_();
  if (Blocked != Reason::None)
    return Exchange->respond(refusalAnswer(NotRun{Blocked}, ""));
  auto Config = Parts_->NodeContext_.Config_();
  const Route *MatchedRoute = Config->route(Service, Method, Path);
  if (!MatchedRoute && Parts_->ConfigOutdated_())
    return Exchange->respond(refusalAnswer(NotRun{Reason::NotReady}, ""));
  if (!MatchedRoute)
    return Exchange->respond(errorAnswer(404,
                                         "no route of service '" + Service +
                                             "' matches the method and path",
                                         "path"));
  std::string_view Client = Incoming.field("Coltsfoot-Client");
  auto NewTicket = Parts_->TicketIssuer_.issue(
      Service, MatchedRoute->Name_,
      Client.empty() ? Incoming.RemoteAddress_ : Client);
  if (!NewTicket)
    return Exchange->respond(refusalAnswer(NotRun{Reason::NoUpstream}, ""));
  json::object Body;
  Body["ticket"] = *NewTicket;
  Body["expires_in_ms"] = Config->retryPolicy(Service).TicketLifetime_.whole();
  Exchange->respond(jsonAnswer(201, json::serialize(Body)));
}

} // namespace coltsfoot
