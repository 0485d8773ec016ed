#include "store.h"

namespace review {

namespace {

constexpr std::string_view Key = "config";

/// Returns the number after `NAME=` in the target, or 0.
size_t queryNumber(const std::string &Target, const std::string &Name) {
  size_t Position = Target.find(Name + "=");
  return Position == std::string::npos
             ? 0
             : std::stoull(Target.substr(Position + Name.size() + 1));
}

std::string bigEndian(uint64_t Number, int Bytes) {
  std::string Out;
  for (int I = Bytes - 1; I >= 0; --I)
    Out += static_cast<char>((Number >> (8 * I)) & 0xffU);
  return Out;
}

std::string base64(const std::string &Bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Group = 0;
    for (size_t J = 0; J < 3; ++J)
      Group = (Group << 8U) |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (size_t J = 0; J < 4; ++J)
      Out +=
          I + J <= Bytes.size() ? Digits[(Group >> (18 - 6 * J)) & 63U] : '=';
  }
  return Out;
}

} // namespace

Store::Store(const std::string &Ip)
    : Ip_(Ip), Server_(Ip, 0, [this](Stream &Each) { serve(Each); }) {}

Store::~Store() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Stopped_ = true;
  Changed_.notify_all();
}

std::string Store::address() const {
  return Ip_ + ":" + std::to_string(Server_.port());
}

void Store::putConfig(const std::string &Json) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Configs_.push_back(Json);
  Changed_.notify_all();
}

void Store::serve(Stream &Connection) {
  constexpr std::chrono::minutes Limit(5);
  while (auto Request = Connection.read(Clock::now() + Limit))
    if (!Connection.write(bytesOf(answer(*Request)), Clock::now() + Limit))
      return;
}

Message Store::answer(const Message &Request) {
  std::string Target = Request.word(1);
  Message Reply{"HTTP/1.1 200 OK", {}, ""};
  std::unique_lock<std::mutex> Lock(Mutex_);
  if (Target.starts_with("/log-newest")) {
    Reply.Fields_.emplace_back("Content-Type", "application/json");
    Reply.Body_ = newest();
    return Reply;
  }
  if (!Target.starts_with("/log-read")) {
    Reply.Start_ = "HTTP/1.1 404 Not Found";
    return Reply;
  }
  size_t From = queryNumber(Target, "from");
  Changed_.wait_for(Lock, Milliseconds(queryNumber(Target, "wait-ms")),
                    [&] { return Stopped_ || Configs_.size() > From; });
  Reply.Body_ = recordsFrom(From);
  return Reply;
}

std::string Store::newest() const {
  std::string Items;
  if (!Configs_.empty())
    Items = R"({"key":"config","value":")" + base64(Configs_.back()) +
            R"(","offset":)" + std::to_string(Configs_.size() - 1) + "}";
  return R"({"items":[)" + Items + R"(],"more":false,"end":)" +
         std::to_string(Configs_.size()) + "}";
}

std::string Store::recordsFrom(size_t From) const {
  std::string Out = bigEndian(Configs_.size(), 8) + bigEndian(0, 8);
  for (size_t I = From; I < Configs_.size(); ++I) {
    std::string Record = bigEndian(Key.size(), 1);
    Record += Key;
    Record += Configs_[I];
    Out += bigEndian(Record.size(), 4) + Record;
  }
  return Out;
}

} // namespace review
