/// The path of a call from end to end: operators, callers, nodes in processes
/// of their own, backend servers and the stand-in log.

#include "fleet.h"

#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

/// Three nodes, the first two of them with a backend server of one service.
struct Shop {
  Fleet Fleet_;
  std::unique_ptr<TestNode> First_ = Fleet_.startNode();
  std::unique_ptr<TestNode> Second_ = Fleet_.startNode();
  std::unique_ptr<TestNode> Third_ = Fleet_.startNode();
  std::unique_ptr<BackendServer> Backends_[2];

  Shop() {
    for (TestNode *Node : {First_.get(), Second_.get(), Third_.get()})
      Node->waitUntilServing();
    BackendOptions Options;
    Options.Service_ = "shop";
    Backends_[0] = Fleet_.startBackend(*First_, Options);
    Backends_[1] = Fleet_.startBackend(*Second_, Options);
    int64_t Version =
        Fleet::putResource(*First_, "services/shop", shopServiceJson());
    for (TestNode *Node : {First_.get(), Second_.get(), Third_.get()}) {
      Node->waitForGates("shop", 2);
      waitUntil(
          [&] {
            HttpReply Reply =
                Node->requestAsOperator("GET", "/v1/services/shop");
            return Reply.Status_ == 200 &&
                   boost::json::parse(Reply.Body_).at("version").as_int64() ==
                       Version;
          },
          Millis(5000), "the node uses the service configuration");
    }
  }

  size_t runs(std::string_view Tag) const {
    return Backends_[0]->count(Tag) + Backends_[1]->count(Tag);
  }
};

} // namespace

TEST_CASE(
    "a read enters at one node and runs on the backend server of another") {
  Shop Shop;
  HttpReply Reply = Shop.Third_->call("GET", "/items/1",
                                      requestFields("shop", "c", "read-1"));
  CHECK(Reply.Status_ == 200);
  CHECK(Reply.header("Coltsfoot-Verdict") == "ran");
  CHECK(boost::json::parse(Reply.Body_).at("tag").as_string() == "read-1");
  CHECK(Shop.runs("read-1") == 1);
}

TEST_CASE(
    "a booking gets a ticket and runs once, and its repetition gets the same "
    "answer") {
  Shop Shop;
  std::vector<HttpField> Fields = requestFields("shop", "c", "book-1");
  HttpReply TicketReply =
      Shop.First_->call("POST", "/bookings", Fields, "chair 7");
  CHECK(TicketReply.Status_ == 428);
  CHECK(TicketReply.header("Coltsfoot-Verdict") == "not-run");
  CHECK(Shop.runs("book-1") == 0);

  std::string Ticket = TicketReply.header("Coltsfoot-Ticket");
  REQUIRE_FALSE(Ticket.empty());
  Fields.push_back({"Coltsfoot-Ticket", Ticket});
  HttpReply Booked = Shop.Second_->call("POST", "/bookings", Fields, "chair 7");
  CHECK(Booked.Status_ == 200);
  CHECK(Booked.header("Coltsfoot-Verdict") == "ran");

  HttpReply RepeatedReply =
      Shop.Third_->call("POST", "/bookings", Fields, "chair 7");
  CHECK(RepeatedReply.Status_ == 200);
  CHECK(RepeatedReply.Body_ == Booked.Body_);
  CHECK(Shop.runs("book-1") == 1);
}

TEST_CASE("a ticket issued in advance is bound to its client and request") {
  Shop Shop;
  HttpReply Issued = Shop.Third_->call(
      "POST", "/v1/tickets", {{"Coltsfoot-Client", "c"}},
      R"({"service":"shop","method":"POST","path":"/bookings"})");
  CHECK(Issued.Status_ == 201);
  auto Body = boost::json::parse(Issued.Body_);
  CHECK(Body.at("expires_in_ms").as_int64() > 0);
  std::string Ticket(Body.at("ticket").as_string());

  auto Fields = requestFields("shop", "c", "book-2");
  Fields.push_back({"Coltsfoot-Ticket", Ticket});
  CHECK(Shop.First_->call("POST", "/bookings", Fields, "a").Status_ == 200);
  CHECK(Shop.First_->call("POST", "/bookings", Fields, "b").Status_ == 422);
  auto OtherClientFields = requestFields("shop", "somebody", "book-2");
  OtherClientFields.push_back({"Coltsfoot-Ticket", Ticket});
  CHECK(
      Shop.First_->call("POST", "/bookings", OtherClientFields, "a").Status_ ==
      403);
  CHECK(Shop.runs("book-2") == 1);
}

TEST_CASE("the metrics tell the lag of the event loop and the descriptors") {
  Shop Shop;
  std::string Metrics;
  auto ValueOf = [&](const std::string &Name) {
    size_t Found = Metrics.find("\n" + Name + " ");
    REQUIRE(Found != std::string::npos);
    return std::stod(Metrics.substr(Found + Name.size() + 2));
  };
  waitUntil(
      [&] {
        Metrics = Shop.First_->call("GET", "/metrics").Body_;
        return ValueOf("coltsfoot_loop_lag_seconds_count") > 0;
      },
      Millis(15000), "the lag is measured");
  CHECK(ValueOf("coltsfoot_loop_lag_recent_seconds") >= 0);
  CHECK(ValueOf("coltsfoot_loop_lag_largest_seconds") >= 0);
  double InUse = ValueOf("coltsfoot_descriptors_in_use");
  CHECK(InUse > 0);
  CHECK(ValueOf("coltsfoot_descriptors_limit") >= InUse);
}

TEST_CASE("a node that runs only now and then logs that it is behind") {
  Shop Shop;
  Process &Late = Shop.Third_->process();
  const SystemClock Time;
  waitUntil(
      [&] {
        Late.pause();
        const Millis Paused = Time.now();
        waitUntil([&] { return Time.now() - Paused > Millis(200); },
                  Millis(15000), "the node is late");
        Late.resume();
        return Late.output().find("event=node_behind") != std::string::npos;
      },
      Millis(15000), "the node has logged that it is behind");
  std::string Line = Late.waitForLine("event=node_behind", Millis(15000));
  for (const char *Key :
       {" lag_ms=", " calls_per_s=", " descriptors=", " cores="})
    CHECK(Line.find(Key) != std::string::npos);
}

TEST_CASE("burn, metrics and explain report the outcome of calls") {
  Shop Shop;
  Fleet::putResource(*Shop.First_, "objectives/reads",
                     R"({"service":"shop","rank":"normal","target":0.9,)"
                     R"("latency_ms":1000})");
  for (int I = 0; I < 5; ++I)
    CHECK(Shop.Third_->call("GET", "/items/1", requestFields("shop")).Status_ ==
          200);
  HttpReply Burn = Shop.First_->requestAsOperator("GET", "/v1/burn");
  REQUIRE(Burn.Status_ == 200);
  auto Rows = boost::json::parse(Burn.Body_).at("rows").as_array();
  REQUIRE_FALSE(Rows.empty());
  CHECK(Rows[0].at("total").to_number<int>() == 5);
  CHECK(Rows[0].at("bad").to_number<int>() == 0);
  CHECK(Shop.Third_->call("GET", "/metrics")
            .Body_.find("coltsfoot_call_seconds_count{verdict=\"ran\"} 5") !=
        std::string::npos);

  HttpReply Refused =
      Shop.Second_->call("POST", "/bookings", requestFields("shop"), "a");
  std::string Id = Refused.header("Coltsfoot-Request-Id");
  HttpReply Explained =
      Shop.First_->requestAsOperator("GET", "/v1/explain/" + Id);
  CHECK(Explained.Status_ == 200);
  CHECK(Explained.Body_.find("ticket-needed") != std::string::npos);
}
