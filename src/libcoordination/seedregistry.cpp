#include "seedregistry.h"

#include "gossipservice.h"
#include "memberview.h"
#include "timer.h"

#include "coltsfootpoint/log.h"
#include "coltsfootpoint/verdict.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace coltsfoot {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Millis AloneReadInterval(1000);
constexpr Millis JoinedReadInterval(30'000);
constexpr Millis JoinDelay(500);
constexpr Millis LogRetryDelay(500);
constexpr int BatchRecords = 256;

/// Returns the node that a seed record names; empty when the data is malformed.
std::string nodeOf(const std::string &Data) {
  try {
    return json::value_to<std::string>(json::parse(Data).at("node"));
  } catch (const std::exception &) {
    return {};
  }
}

} // namespace

SeedRegistry::SeedRegistry(asio::io_context &Context, LogStore &Log,
                           GossipService &Gossip, const Clock &Time,
                           Identity ThisNode, Millis Retention)
    : Log_(Log), Gossip_(Gossip), Clock_(Time), Identity_(std::move(ThisNode)),
      Retention_(Retention), Stream_("seeds-" + Identity_.Fleet_),
      Strand_(asio::make_strand(Context)), Timer_(Strand_) {}

SeedRegistry::~SeedRegistry() = default;

void SeedRegistry::start() {
  asio::post(Strand_, [this] { read(); });
}

void SeedRegistry::stop() {
  asio::post(Strand_, [this] { Timer_.cancel(); });
}

void SeedRegistry::scheduleRead(Millis Delay) {
  Timer_.expires_after(toChrono(Delay));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      read();
  });
}

void SeedRegistry::read() {
  Log_.read(Stream_, NextOffset_, BatchRecords, Millis(0),
            [this](const ReadResult &Result) {
              asio::dispatch(Strand_, [this, Result] { onRead(Result); });
            });
}

void SeedRegistry::onRead(const ReadResult &Result) {
  std::visit(Overloaded{[&](const LogBatch &Batch) {
                          Trimmed_ = false;
                          std::vector<std::string> Nodes;
                          for (const LogRecord &Record : Batch.Records_) {
                            NextOffset_ = Record.Offset_ + 1;
                            std::string Node = nodeOf(Record.Data_);
                            if (!Node.empty() && Node != Identity_.Node_)
                              Nodes.push_back(std::move(Node));
                          }
                          if (!Nodes.empty())
                            Gossip_.addPeers(std::move(Nodes));
                          if (!Batch.Records_.empty())
                            return read();
                          afterRead();
                        },
                        [&](const LogTrimmed &Trimmed) {
                          NextOffset_ = Trimmed.FirstOffset_;
                          if (std::exchange(Trimmed_, true))
                            return scheduleRead(LogRetryDelay);
                          read();
                        },
                        [&](const LogDown &) { scheduleRead(LogRetryDelay); }},
             Result);
}

// After its first read a node waits to join through the seeds that it found.
// Only then does it know whether its zone needs a record.
void SeedRegistry::afterRead() {
  bool FirstRead = !std::exchange(ReachedEnd_, true);
  auto Members = Gossip_.view();
  bool Alone = Members->presentCount() <= 1;
  if (FirstRead && NextOffset_ > 0)
    return scheduleRead(JoinDelay);
  bool IsLogReader = false;
  for (const auto &MemberEntry : Members->logReadersOf(Identity_.Zone_))
    IsLogReader = IsLogReader || MemberEntry->Member_.Node_ == Identity_.Node_;
  bool RenewalDue =
      !RecordWritten_ || Clock_.now() - RecordWrittenAt_ > Retention_ * 0.5;
  if ((IsLogReader || Alone) && RenewalDue)
    appendRecord();
  scheduleRead(Alone ? AloneReadInterval : JoinedReadInterval);
}

void SeedRegistry::appendRecord() {
  json::object Record;
  Record["node"] = Identity_.Node_;
  Record["zone"] = Identity_.Zone_;
  Record["region"] = Identity_.Region_;
  RecordWritten_ = true;
  RecordWrittenAt_ = Clock_.now();
  Log_.append(Stream_, json::serialize(Record),
              [this](const AppendResult &Result) {
                // The record is written again unless it is known to be stored:
                // a duplicate costs little, but without any record new nodes
                // can't find the zone.
                bool Done = std::holds_alternative<Appended>(Result);
                asio::dispatch(Strand_, [this, Done] {
                  if (!Done)
                    RecordWritten_ = false;
                });
              });
}

} // namespace coltsfoot
