/// A node whose log output is not read must drop log lines, not delay calls.

#include "fleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

constexpr Millis WaitLimit(15000);
/// Each call logs a line at the entry and one at the gate, so that the lines of
/// half a series fill a pipe of 64 KB.
constexpr int CallsPerSeries = 1500;
/// Other load on the machine may make the second series slower by this factor.
/// A node that waited until its log output was read would not answer at all.
constexpr double MaxSlowdownFactor = 2;
constexpr Millis LatencyMargin(3);

/// Latencies of calls made one after the other on one connection.
class LatencySeries {
public:
  explicit LatencySeries(const TestNode &Entry) {
    HttpSession Session(Entry.ip(), Entry.httpPort());
    const SystemClock Time;
    for (int I = 0; I < CallsPerSeries; ++I) {
      Millis Start = Time.now();
      HttpReply Reply = Session.request("GET", "/items/1",
                                        requestFields("shop", "c", "read"));
      Latencies_.push_back(Time.now() - Start);
      Failed_ += Reply.Status_ == 200 ? 0 : 1;
    }
    std::sort(Latencies_.begin(), Latencies_.end());
  }
  /// Returns the latency that this share of the calls, 0 to 1, does not exceed.
  Millis quantile(double Fraction) const {
    return Latencies_[static_cast<size_t>(Fraction * (CallsPerSeries - 1))];
  }
  int failed() const { return Failed_; }

private:
  std::vector<Millis> Latencies_;
  int Failed_ = 0;
};

/// Returns the value of a metric without labels from the node's /metrics.
double metric(const TestNode &Node, const std::string &Name) {
  std::string Text = Node.requestAsOperator("GET", "/metrics").Body_;
  size_t Found = Text.find("\n" + Name + " ");
  REQUIRE(Found != std::string::npos);
  return std::stod(Text.substr(Found + Name.size() + 2));
}

} // namespace

TEST_CASE("a node whose log output is not read drops log lines but delays no "
          "call") {
  NodeSpec Spec;
  Spec.Logging_ = "bytes_per_second = 10000000\n";
  Fleet Fleet;
  auto Entry = Fleet.startNode(Spec);
  auto Gate = Fleet.startNode(Spec);
  Entry->waitUntilServing();
  Gate->waitUntilServing();
  BackendOptions Options;
  Options.Service_ = "shop";
  auto Backend = Fleet.startBackend(*Gate, Options);
  Fleet::putResource(*Entry, "services/shop", shopServiceJson());
  Entry->waitForGates("shop", 1);
  waitUntil(
      [&] {
        return Entry->call("GET", "/items/1", requestFields("shop")).Status_ ==
               200;
      },
      WaitLimit, "the entry serves calls");

  LatencySeries LogRead(*Entry);
  CHECK(LogRead.failed() == 0);
  CHECK(metric(*Entry, "coltsfoot_log_lines_left_out") == 0);
  for (TestNode *Node : {Entry.get(), Gate.get()})
    Node->process().setReading(false);
  // Calls fill the pipes until both nodes drop lines.
  waitUntil(
      [&] {
        Entry->call("GET", "/items/1", requestFields("shop"));
        return metric(*Entry, "coltsfoot_log_lines_left_out") > 0 &&
               metric(*Gate, "coltsfoot_log_lines_left_out") > 0;
      },
      WaitLimit, "both nodes drop log lines");
  double DroppedBefore = metric(*Entry, "coltsfoot_log_lines_left_out");
  LatencySeries LogNotRead(*Entry);
  CHECK(LogNotRead.failed() == 0);
  CHECK(metric(*Entry, "coltsfoot_log_lines_left_out") >=
        DroppedBefore + CallsPerSeries);
  CHECK(LogNotRead.quantile(0.5) <
        LogRead.quantile(0.5) * MaxSlowdownFactor + LatencyMargin);
  CHECK(LogNotRead.quantile(0.9) <
        LogRead.quantile(0.9) * MaxSlowdownFactor + LatencyMargin);
  MESSAGE("log read: p50 ", LogRead.quantile(0.5).count(), " p90 ",
          LogRead.quantile(0.9).count(), " ms; log not read: p50 ",
          LogNotRead.quantile(0.5).count(), " p90 ",
          LogNotRead.quantile(0.9).count(), " ms");

  // Once the log is read again, one line reports the number of dropped lines.
  double DroppedLines = metric(*Entry, "coltsfoot_log_lines_left_out");
  size_t FirstNewLine = Entry->process().lineCount();
  Entry->process().setReading(true);
  std::string Summary;
  waitUntil(
      [&] {
        Entry->call("GET", "/items/1", requestFields("shop"));
        std::vector<std::string> Lines = Entry->process().lines();
        for (size_t I = FirstNewLine; I < Lines.size() && Summary.empty(); ++I)
          if (field(Lines[I], "event") == "log_left_out")
            Summary = Lines[I];
        return !Summary.empty();
      },
      WaitLimit, "the node logs how many lines it dropped");
  CHECK(std::stod(field(Summary, "unwritten")) >= DroppedLines);
}
