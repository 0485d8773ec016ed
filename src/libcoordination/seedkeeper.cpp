#include "seedkeeper.h"

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

constexpr Millis AlonePause(1000);
constexpr Millis CompanyPause(30'000);
constexpr Millis JoinPause(500);
constexpr Millis DownPause(500);
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

SeedKeeper::SeedKeeper(asio::io_context &Context, LogStore &Log,
                       GossipService &Gossip, const Clock &Time, Self Own,
                       Millis Retention)
    : Log_(Log), Gossip_(Gossip), Clock_(Time), Self_(std::move(Own)),
      Retention_(Retention), Stream_("seeds-" + Self_.Fleet_),
      Strand_(asio::make_strand(Context)), Timer_(Strand_) {}

SeedKeeper::~SeedKeeper() = default;

void SeedKeeper::start() {
  asio::post(Strand_, [this] { read(); });
}

void SeedKeeper::stop() {
  asio::post(Strand_, [this] { Timer_.cancel(); });
}

void SeedKeeper::arm(Millis Pause) {
  Timer_.expires_after(toChrono(Pause));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      read();
  });
}

void SeedKeeper::read() {
  Log_.read(Stream_, NextOffset_, BatchRecords, Millis(0),
            [this](const ReadResult &Result) {
              asio::dispatch(Strand_, [this, Result] { onRead(Result); });
            });
}

void SeedKeeper::onRead(const ReadResult &Result) {
  std::visit(Overloaded{[&](const LogBatch &Batch) {
                          std::vector<std::string> Nodes;
                          for (const LogRecord &Record : Batch.Records_) {
                            NextOffset_ = Record.Offset_ + 1;
                            std::string Node = nodeOf(Record.Data_);
                            if (!Node.empty() && Node != Self_.Node_)
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
                          read();
                        },
                        [&](const LogDown &) { arm(DownPause); }},
             Result);
}

// A node that starts first tries to join through the existing seeds. Only then
// does it know whether its zone needs a record.
void SeedKeeper::afterRead() {
  bool First = !std::exchange(ReachedEnd_, true);
  auto Members = Gossip_.view();
  bool Alone = Members->presentCount() <= 1;
  if (First && NextOffset_ > 0)
    return arm(JoinPause);
  bool Keeper = false;
  for (const auto &Known : Members->readersOf(Self_.Zone_))
    Keeper = Keeper || Known->Member_.Node_ == Self_.Node_;
  bool Due = !Written_ || Clock_.now() - WrittenAt_ > Retention_ * 0.5;
  if ((Keeper || Alone) && Due)
    appendSelf();
  arm(Alone ? AlonePause : CompanyPause);
}

void SeedKeeper::appendSelf() {
  json::object Record;
  Record["node"] = Self_.Node_;
  Record["zone"] = Self_.Zone_;
  Record["region"] = Self_.Region_;
  Written_ = true;
  WrittenAt_ = Clock_.now();
  Log_.append(Stream_, json::serialize(Record),
              [this](const AppendResult &Result) {
                // The record is written again unless it is known to be stored:
                // a duplicate costs little, but without any record new nodes
                // can't find the zone.
                bool Done = std::holds_alternative<Appended>(Result);
                asio::dispatch(Strand_, [this, Done] {
                  if (!Done)
                    Written_ = false;
                });
              });
}

} // namespace coltsfoot
