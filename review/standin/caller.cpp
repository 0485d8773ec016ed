#include "caller.h"

namespace review {

namespace {

constexpr Milliseconds ConnectTime(1000);
/// How long after its deadline a client still reads.
constexpr Milliseconds Patience(1000);

} // namespace

Caller::Caller(std::string Ip, uint16_t Port, std::string Host, Record &Log)
    : Ip_(std::move(Ip)), Port_(Port), Host_(std::move(Host)), Log_(Log) {}

Attempt Caller::call(const std::string &Method, const std::string &Path,
                     const std::string &Id, Milliseconds Deadline,
                     const std::string &Body) {
  Attempt Result{Id, Clock::now(), {}};
  auto Until = Result.Sent_ + Deadline + Patience;
  if (Connection_ && Connection_->ended())
    Connection_ = nullptr;
  Result.Kept_ = Connection_ != nullptr;
  if (!Connection_)
    Connection_ = connectTo(Ip_, Port_, ConnectTime);
  Message Request{Method + " " + Path + " HTTP/1.1",
                  {{"Host", Host_},
                   {"Attempt-Id", Id},
                   {"Deadline-Remaining-Ms", std::to_string(Deadline.count())}},
                  Body};
  std::optional<Message> Reply;
  if (!Connection_)
    Result.Status_ = -2;
  else if (Connection_->write(bytesOf(Request), Until))
    Reply = Connection_->read(Until);
  Result.Ended_ = Clock::now();
  if (Reply) {
    Result.Status_ = std::stoi(Reply->word(1));
    Result.Signed_ = !Reply->field("Server-Signature").empty();
  } else if (Connection_ && Result.Ended_ >= Until) {
    Result.Status_ = -1;
  }
  if (!Reply || Reply->field("Connection") == "close")
    Connection_ = nullptr;
  Log_.line("client at " + Ip_ + " sent " + Method + " " + Path + " " + Id +
            " (" + std::to_string(Body.size()) + " bytes), status " +
            std::to_string(Result.Status_) + " after " +
            std::to_string(
                static_cast<int>(millisBetween(Result.Sent_, Result.Ended_))) +
            " ms");
  return Result;
}

} // namespace review
