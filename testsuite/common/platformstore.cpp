#include "platformstore.h"

#include "base64.h"
#include "timer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <map>

namespace coltsfoot {

namespace json = boost::json;

namespace {

constexpr Millis TickSpan(20);

std::string bigEndian(uint64_t Number, size_t Bytes) {
  std::string Out;
  for (size_t I = Bytes; I > 0; --I)
    Out += static_cast<char>((Number >> (8 * (I - 1))) & 0xffU);
  return Out;
}

/// Returns the number of a query parameter, or 0 when it is missing.
int64_t queryNumber(std::string_view Target, const std::string &Name) {
  size_t At = Target.find(Name + "=");
  return At == std::string_view::npos
             ? 0
             : std::stoll(std::string(Target.substr(At + Name.size() + 1)));
}

} // namespace

PlatformStore::PlatformStore(const std::string &Ip)
    : Server_(
          Ip,
          [this](const HttpExchange::Pointer &Exchange) { handle(Exchange); }),
      Timer_(Server_.context()) {
  arm();
  Server_.run();
}

PlatformStore::~PlatformStore() { Server_.stop(); }

void PlatformStore::arm() {
  Timer_.expires_after(toChrono(TickSpan));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    tick();
    arm();
  });
}

void PlatformStore::put(const std::string &Key, const std::string &Value) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Records_.push_back({End_++, Key, Value});
}

void PlatformStore::setDown(bool Down) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Down_ = Down;
}

void PlatformStore::forgetHistory() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  First_ = End_;
}

void PlatformStore::handle(const HttpExchange::Pointer &Exchange) {
  std::string_view Target = Exchange->request().Target_;
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Down_)
    return Exchange->respond(Answer{503, {}, ""});
  if (Target.starts_with("/log-newest"))
    return Exchange->respond(newest());
  if (!Target.starts_with("/log-read"))
    return Exchange->respond(Answer{404, {}, ""});
  int64_t From = queryNumber(Target, "from");
  Millis Wait(static_cast<double>(queryNumber(Target, "wait-ms")));
  if (From < End_ || From < First_)
    return Exchange->respond(recordsFrom(From));
  Waiting_.push_back({Exchange, From, Clock_.now() + Wait});
}

Answer PlatformStore::newest() const {
  std::map<std::string, const Record *> Latest;
  for (const Record &Each : Records_)
    Latest[Each.Key_] = &Each;
  json::array Items;
  for (const auto &[Key, Each] : Latest)
    Items.push_back(json::object{{"key", Key},
                                 {"value", encodeBase64(Each->Value_)},
                                 {"offset", Each->Offset_}});
  json::object Body{{"more", false}, {"end", End_}};
  Body["items"] = std::move(Items);
  return Answer{200, {}, json::serialize(Body)};
}

Answer PlatformStore::recordsFrom(int64_t From) const {
  if (From < First_)
    return Answer{410, {}, json::serialize(json::object{{"first", First_}})};
  std::string Body = bigEndian(static_cast<uint64_t>(End_), 8) +
                     bigEndian(static_cast<uint64_t>(First_), 8);
  for (const Record &Each : Records_) {
    if (Each.Offset_ < From)
      continue;
    std::string Content = bigEndian(Each.Key_.size(), 1);
    Content += Each.Key_ + Each.Value_;
    Body += bigEndian(Content.size(), 4) + Content;
  }
  return Answer{200, {}, std::move(Body)};
}

void PlatformStore::tick() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (auto Each = Waiting_.begin(); Each != Waiting_.end();) {
    bool Due = Each->From_ < End_ || Clock_.now() >= Each->Until_ || Down_;
    if (Due)
      Each->Exchange_->respond(Down_ ? Answer{503, {}, ""}
                                     : recordsFrom(Each->From_));
    Each = Due ? Waiting_.erase(Each) : std::next(Each);
  }
}

} // namespace coltsfoot
