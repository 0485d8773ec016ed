#include "bookingfleet.h"

#include "sealingkeys.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>

namespace coltsfoot {

namespace json = boost::json;

namespace {

constexpr int FirstGateByte = 11;
constexpr int FirstEntryByte = 21;
constexpr Millis StartTimeout(20000);
constexpr Millis IdleTimeout(15000);

std::string textField(const HttpReply &Reply, const char *Key) {
  boost::system::error_code Failure;
  json::value Parsed = json::parse(Reply.Body_, Failure);
  const auto *Fields = Failure ? nullptr : Parsed.if_object();
  const auto *Value = Fields ? Fields->if_contains(Key) : nullptr;
  const auto *Text = Value ? Value->if_string() : nullptr;
  return Text ? std::string(*Text) : std::string();
}

} // namespace

std::string ShopOutcome::verdict() const {
  return Reply_ ? Reply_->header("Coltsfoot-Verdict") : "none";
}

std::string ShopOutcome::reason() const {
  return Reply_ ? textField(*Reply_, "reason") : "";
}

std::string ShopOutcome::successor() const {
  return Reply_ ? Reply_->header("Coltsfoot-Ticket") : "";
}

BookingFleet::BookingFleet(const BookingOptions &Options) : Options_(Options) {
  for (int I = 0; I < Options.Gates_; ++I) {
    std::string Ip = "127.0.0." + std::to_string(FirstGateByte + I);
    Proxies_.push_back(std::make_unique<FaultProxy>(Ip));
    NodeSpec Spec = specOf(FirstGateByte + I);
    Spec.Advertise_ = Proxies_.back()->address();
    Gates_.push_back(Fleet_.startNode(Spec));
    Proxies_.back()->setTarget(Ip, Gates_.back()->peerPort());
  }
  for (int I = 0; I < Options.Entries_; ++I)
    Entries_.push_back(Fleet_.startNode(specOf(FirstEntryByte + I)));
  for (const auto &Node : Gates_)
    Node->waitUntilServing();
  for (const auto &Node : Entries_)
    Node->waitUntilServing();
  for (const auto &Node : Gates_) {
    BackendOptions Backend = Options.Backend_;
    Backend.Service_ = "shop";
    Backends_.push_back(Fleet_.startBackend(*Node, Backend));
  }
  Version_ = Fleet::putResource(*Gates_[0], "services/shop",
                                shopServiceJson(Options.DeadlineMs_));
  for (auto *Nodes : {&Gates_, &Entries_})
    for (const auto &Node : *Nodes) {
      Node->waitForGates("shop", Options.Gates_);
      waitUntil(
          [&] {
            HttpReply Reply =
                Node->requestAsOperator("GET", "/v1/services/shop");
            return Reply.Status_ == 200 &&
                   json::parse(Reply.Body_).at("version").as_int64() ==
                       Version_;
          },
          StartTimeout, "the node has applied the service resource");
    }
}

BookingFleet::~BookingFleet() = default;

NodeSpec BookingFleet::specOf(int LastByte) const {
  NodeSpec Spec = Options_.Node_;
  Spec.Ip_ = "127.0.0." + std::to_string(LastByte);
  return Spec;
}

std::string BookingFleet::tryRequestTicket(size_t Entry,
                                           const std::string &Client) {
  HttpReply Reply = Entries_[Entry]->call(
      "POST", "/v1/tickets", {{"Coltsfoot-Client", Client}},
      R"({"service":"shop","method":"POST","path":"/bookings"})");
  return Reply.Status_ == 201 ? textField(Reply, "ticket") : std::string();
}

std::string BookingFleet::requestTicket(size_t Entry,
                                        const std::string &Client) {
  // After a fault, an entry may briefly know no gate and then issues no ticket.
  std::string Ticket;
  waitUntil(
      [&] {
        Ticket = tryRequestTicket(Entry, Client);
        return !Ticket.empty();
      },
      Millis(20000), "the entry issues a ticket");
  return Ticket;
}

std::string BookingFleet::requestTicketFor(size_t Gate) {
  SealingKeys Keys{std::string(TestTicketKey)};
  auto Unsealed = openTicket(requestTicket(), Keys);
  REQUIRE(Unsealed);
  auto &Candidates = Unsealed->Candidates_;
  auto GateCandidate = std::find_if(
      Candidates.begin(), Candidates.end(), [&](const NodeRef &Candidate) {
        return Candidate.Node_ == Proxies_[Gate]->address();
      });
  REQUIRE(GateCandidate != Candidates.end());
  std::rotate(Candidates.begin(), GateCandidate, GateCandidate + 1);
  return sealTicket(*Unsealed, Keys);
}

std::vector<size_t>
BookingFleet::candidateGates(const std::string &Ticket) const {
  std::vector<size_t> Indices;
  auto Unsealed = openTicket(Ticket, SealingKeys(std::string(TestTicketKey)));
  REQUIRE(Unsealed);
  for (const NodeRef &Candidate : Unsealed->Candidates_)
    for (size_t I = 0; I < Proxies_.size(); ++I)
      if (Proxies_[I]->address() == Candidate.Node_)
        Indices.push_back(I);
  return Indices;
}

ShopOutcome BookingFleet::send(const TestNode &Through, ShopRequest Request) {
  std::vector<HttpField> Fields =
      requestFields("shop", Request.Client_, Request.Tag_);
  bool IsBooking = !Request.Ticket_.empty();
  if (IsBooking)
    Fields.push_back({"Coltsfoot-Ticket", Request.Ticket_});
  Fields.insert(Fields.end(), Request.Fields_.begin(), Request.Fields_.end());
  ShopOutcome Outcome;
  try {
    Outcome.Reply_ = Through.call(
        IsBooking ? "POST" : "GET", IsBooking ? "/bookings" : "/items", Fields,
        IsBooking ? Request.Body_ : std::string(), Request.Timeout_);
  } catch (const HttpError &) {
    // Without a complete response, the caller does not know whether the request
    // ran; this is recorded as an empty Reply_.
  }
  Outcome.Request_ = std::move(Request);
  std::lock_guard<std::mutex> Lock(Mutex_);
  Outcomes_.push_back(Outcome);
  return Outcome;
}

std::future<ShopOutcome> BookingFleet::sendAsync(const TestNode &Through,
                                                 ShopRequest Request) {
  return std::async(std::launch::async,
                    [this, &Through, Request = std::move(Request)] {
                      return send(Through, Request);
                    });
}

void BookingFleet::warmUp() {
  for (const auto &Entry : Entries_)
    for (size_t Gate = 0; Gate < Gates_.size(); ++Gate) {
      ShopRequest Request;
      Request.Ticket_ = requestTicketFor(Gate);
      Request.Tag_ = "warm-up-" + Request.Ticket_;
      REQUIRE(send(*Entry, Request).verdict() == "ran");
    }
}

void BookingFleet::killGate(size_t Index) {
  Gates_[Index]->process().kill(SIGKILL);
  Gates_[Index]->process().wait(StartTimeout);
}

void BookingFleet::restartGate(size_t Index) {
  NodeSpec Spec = specOf(FirstGateByte + static_cast<int>(Index));
  Spec.Advertise_ = Proxies_[Index]->address();
  Gates_[Index] = Fleet_.startNode(Spec);
  Proxies_[Index]->setTarget(Spec.Ip_, Gates_[Index]->peerPort());
  Gates_[Index]->waitUntilServing();
  Backends_[Index]->setNode(Gates_[Index]->httpAddress());
  waitUntil([&] { return Backends_[Index]->announced(); }, StartTimeout,
            "the gate accepts the announcement");
}

void BookingFleet::killEntry(size_t Index) {
  Entries_[Index]->process().kill(SIGKILL);
  Entries_[Index]->process().wait(StartTimeout);
}

void BookingFleet::restartEntry(size_t Index) {
  Entries_[Index] =
      Fleet_.startNode(specOf(FirstEntryByte + static_cast<int>(Index)));
  Entries_[Index]->waitUntilServing();
}

int64_t BookingFleet::statusNumber(const TestNode &Node, std::string_view Key) {
  json::value Status =
      json::parse(Node.requestAsOperator("GET", "/v1/status").Body_);
  return Status.at(json::string_view(Key.data(), Key.size())).as_int64();
}

size_t BookingFleet::runs(std::string_view Tag) const {
  size_t Sum = 0;
  for (const auto &Backend : Backends_)
    Sum += Backend->count(Tag);
  return Sum;
}

size_t BookingFleet::countOutcomes(std::string_view Verdict) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return static_cast<size_t>(std::count_if(
      Outcomes_.begin(), Outcomes_.end(),
      [&](const auto &Outcome) { return Outcome.verdict() == Verdict; }));
}

void BookingFleet::checkOutcome(const ShopOutcome &Outcome) const {
  const ShopRequest &Request = Outcome.Request_;
  size_t Runs = runs(Request.Tag_);
  std::string Verdict = Outcome.verdict();
  INFO("tag ", Request.Tag_, " verdict ", Verdict, " status ", Outcome.status(),
       " reason ", Outcome.reason(), " runs ", Runs);
  if (!Request.Ticket_.empty())
    CHECK(Runs <= 1);
  if (!Outcome.Reply_)
    return;
  CHECK(
      (Verdict == "ran" || Verdict == "not-run" || Verdict == "may-have-run"));
  if (Verdict == "not-run")
    CHECK(Runs == 0);
  if (Verdict == "ran")
    CHECK(Runs >= 1);
  if (Verdict != "ran" || Outcome.status() != 200)
    return;
  CHECK(textField(*Outcome.Reply_, "tag") == Request.Tag_);
  CHECK(textField(*Outcome.Reply_, "digest") ==
        bodyDigest(Request.Ticket_.empty() ? "" : Request.Body_));
}

void BookingFleet::checkOutcomes() {
  for (const auto &Backend : Backends_)
    waitUntil([&] { return Backend->busy() == 0 && Backend->queued() == 0; },
              IdleTimeout, "the backend servers are idle");
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (const ShopOutcome &Outcome : Outcomes_)
    checkOutcome(Outcome);
}

} // namespace coltsfoot
