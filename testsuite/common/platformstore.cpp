#include "platformstore.h"

#include "base64.h"
#include "timer.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <map>

namespace coltsfoot {

namespace json = boost::json;

namespace {

constexpr Millis TickInterval(20);

std::string encodeBigEndian(uint64_t Number, size_t Bytes) {
  std::string Out;
  for (size_t I = Bytes; I > 0; --I)
    Out += static_cast<char>((Number >> (8 * (I - 1))) & 0xffU);
  return Out;
}

/// Returns the text of a query parameter, or an empty one when it is missing.
/// The keys that tests use need no decoding.
std::string queryText(std::string_view Target, const std::string &Name) {
  size_t Position = Target.find("&" + Name + "=");
  if (Position == std::string_view::npos)
    return "";
  std::string_view Text = Target.substr(Position + Name.size() + 2);
  return std::string(Text.substr(0, Text.find('&')));
}

/// Returns the number of a query parameter, or 0 when it is missing.
int64_t queryNumber(std::string_view Target, const std::string &Name) {
  size_t Position = Target.find(Name + "=");
  return Position == std::string_view::npos
             ? 0
             : std::stoll(
                   std::string(Target.substr(Position + Name.size() + 1)));
}

} // namespace

PlatformStore::PlatformStore(const std::string &Ip)
    : Server_(
          Ip,
          [this](const HttpExchange::Pointer &Exchange) { handle(Exchange); }),
      Timer_(Server_.context()) {
  scheduleTick();
  Server_.run();
}

PlatformStore::~PlatformStore() { Server_.stop(); }

void PlatformStore::scheduleTick() {
  Timer_.expires_after(toChrono(TickInterval));
  Timer_.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    tick();
    scheduleTick();
  });
}

void PlatformStore::put(const std::string &Key, const std::string &Value) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Records_.push_back({EndOffset_++, Key, Value});
}

void PlatformStore::putRaw(const std::string &Content) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Records_.push_back({EndOffset_++, "", "", Content});
}

void PlatformStore::addNewestItem(const std::string &Json) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  NewestItems_.push_back(Json);
}

void PlatformStore::setPageSize(size_t Size) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  PageSize_ = Size;
}

void PlatformStore::setCutsRecords(bool Cut) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  CutsRecords_ = Cut;
}

void PlatformStore::setDown(bool Down) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Down_ = Down;
}

void PlatformStore::compact() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  FirstOffset_ = EndOffset_;
}

void PlatformStore::rollBack(size_t Count) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Records_.resize(Records_.size() - std::min(Count, Records_.size()));
  EndOffset_ = Records_.empty() ? 0 : Records_.back().Offset_ + 1;
  FirstOffset_ = std::min(FirstOffset_, EndOffset_);
  ++Era_;
}

void PlatformStore::respond(const HttpExchange::Pointer &Exchange,
                            Answer Reply) const {
  Reply.Fields_.push_back({"Store-Era", std::to_string(Era_)});
  Exchange->respond(std::move(Reply));
}

void PlatformStore::handle(const HttpExchange::Pointer &Exchange) {
  std::string_view Target = Exchange->request().Target_;
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Down_)
    return respond(Exchange, Answer{503, {}, ""});
  if (Target.starts_with("/log-newest"))
    return respond(Exchange, newest(queryText(Target, "after")));
  if (!Target.starts_with("/log-read"))
    return respond(Exchange, Answer{404, {}, ""});
  int64_t From = queryNumber(Target, "from");
  Millis Wait(static_cast<double>(queryNumber(Target, "wait-ms")));
  if (From != EndOffset_ || From < FirstOffset_)
    return respond(Exchange, recordsFrom(From));
  Waiters_.push_back({Exchange, From, Clock_.now() + Wait});
}

Answer PlatformStore::newest(const std::string &After) const {
  std::map<std::string, const Record *> Latest;
  for (const Record &Each : Records_)
    if (!Each.Raw_)
      Latest[Each.Key_] = &Each;
  std::string Items;
  auto Append = [&](const std::string &Json) {
    Items += (Items.empty() ? "" : ",") + Json;
  };
  for (const std::string &Json : NewestItems_)
    Append(Json);
  size_t Count = 0;
  bool More = false;
  for (const auto &[Key, Each] : Latest) {
    if (Key <= After && !After.empty())
      continue;
    More = PageSize_ > 0 && Count == PageSize_;
    if (More)
      break;
    ++Count;
    Append(json::serialize(json::object{{"key", Key},
                                        {"value", encodeBase64(Each->Value_)},
                                        {"offset", Each->Offset_}}));
  }
  for (const std::string &Json : NewestItems_)
    Append(Json);
  return Answer{200,
                {},
                R"({"more":)" + std::string(More ? "true" : "false") +
                    R"(,"end":)" + std::to_string(EndOffset_) +
                    R"(,"items":[)" + Items + "]}"};
}

Answer PlatformStore::recordsFrom(int64_t From) const {
  if (From < FirstOffset_ || From > EndOffset_)
    return Answer{
        410, {}, json::serialize(json::object{{"first", FirstOffset_}})};
  std::string Body = encodeBigEndian(static_cast<uint64_t>(EndOffset_), 8) +
                     encodeBigEndian(static_cast<uint64_t>(FirstOffset_), 8);
  for (const Record &Each : Records_) {
    if (Each.Offset_ < From)
      continue;
    std::string Content = Each.Raw_.value_or(
        encodeBigEndian(Each.Key_.size(), 1) + Each.Key_ + Each.Value_);
    Body += encodeBigEndian(Content.size(), 4) + Content;
  }
  if (CutsRecords_ && From < EndOffset_)
    Body.pop_back();
  return Answer{200, {}, std::move(Body)};
}

void PlatformStore::tick() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (auto Each = Waiters_.begin(); Each != Waiters_.end();) {
    bool WaitIsOver =
        Each->From_ != EndOffset_ || Clock_.now() >= Each->WaitEnd_ || Down_;
    if (WaitIsOver)
      respond(Each->Exchange_,
              Down_ ? Answer{503, {}, ""} : recordsFrom(Each->From_));
    Each = WaitIsOver ? Waiters_.erase(Each) : std::next(Each);
  }
}

} // namespace coltsfoot
