#include "closedloopload.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>

namespace coltsfoot {

namespace {

constexpr Millis CallTimeout(10000);
constexpr Millis FailoverDelay(20);
constexpr Millis ThinkTime(5);

std::string responseTag(const HttpReply &Reply) {
  boost::system::error_code Error;
  auto Body = boost::json::parse(Reply.Body_, Error);
  const auto *Fields = Error ? nullptr : Body.if_object();
  const auto *Tag = Fields ? Fields->if_contains("tag") : nullptr;
  return Tag && Tag->is_string() ? std::string(Tag->as_string()) : "";
}

void sleepFor(Millis Duration) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Duration.count()));
}

} // namespace

void EntryList::add(const TestNode &Node) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Entries_.emplace_back(Node.ip(), Node.httpPort());
}

void EntryList::remove(const TestNode &Node) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::erase(Entries_, Entry(Node.ip(), Node.httpPort()));
}

EntryList::Entry EntryList::pick(size_t Index) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Entries_.at(Index % Entries_.size());
}

/// One call of a caller, with all its attempts.
struct ClosedLoopLoad::Call {
  enum class Kind { Read, SlowRead, Booking };
  Kind Kind_ = Kind::Read;
  std::string Tag_;
  std::string Ticket_;

  std::vector<HttpField> fields() const {
    std::vector<HttpField> Fields = requestFields("shop", "caller", Tag_);
    if (Kind_ == Kind::SlowRead)
      Fields.push_back({"X-Work-Ms", "300"});
    if (!Ticket_.empty())
      Fields.push_back({"Coltsfoot-Ticket", Ticket_});
    return Fields;
  }
};

/// One caller with its connection.
class ClosedLoopLoad::Caller {
public:
  Caller(ClosedLoopLoad &Owner, size_t Index)
      : Owner_(Owner), EntryIndex_(Index) {
    connect();
  }

  /// Sends a call until it gets a final answer, and returns that answer, or the
  /// last one if CallTimeout passes first. Returns nothing when an attempt was
  /// sent but got no complete answer.
  std::optional<HttpReply> execute(Call &CurrentCall) {
    const SystemClock Time;
    Millis Deadline = Time.now() + CallTimeout;
    HttpReply LastReply;
    while (Time.now() < Deadline) {
      std::optional<HttpReply> Reply = attempt(CurrentCall);
      if (Reply && (Reply->Status_ == 428 || Reply->Status_ == 503)) {
        LastReply = *Reply;
        std::string NewTicket = Reply->header("Coltsfoot-Ticket");
        if (!NewTicket.empty())
          CurrentCall.Ticket_ = NewTicket;
        if (Reply->Status_ == 428)
          continue;
        if (Reply->header("Coltsfoot-Verdict") != "not-run")
          return Reply;
        Reply.reset();
      } else if (Reply || Interrupted_) {
        return Reply;
      }
      failOver();
    }
    return LastReply;
  }

private:
  std::optional<HttpReply> attempt(const Call &CurrentCall) {
    bool Booking = CurrentCall.Kind_ == Call::Kind::Booking;
    try {
      return Session_->request(
          Booking ? "POST" : "GET", Booking ? "/bookings" : "/items/1",
          CurrentCall.fields(), Booking ? CurrentCall.Tag_ : "");
    } catch (const HttpNotConnected &) {
      return {};
    } catch (const HttpError &Error) {
      Interrupted_ = true;
      std::lock_guard<std::mutex> Lock(Owner_.Mutex_);
      Owner_.Summary_.Interrupted_.push_back(CurrentCall.Tag_ + ": " +
                                             Error.what());
      return {};
    }
  }

  void failOver() {
    {
      std::lock_guard<std::mutex> Lock(Owner_.Mutex_);
      ++Owner_.Summary_.FailedOver_;
    }
    ++EntryIndex_;
    sleepFor(FailoverDelay);
    connect();
  }

  void connect() {
    auto [Ip, Port] = Owner_.Entries_.pick(EntryIndex_);
    Session_.emplace(Ip, Port);
  }

  ClosedLoopLoad &Owner_;
  size_t EntryIndex_;
  std::optional<HttpSession> Session_;
  bool Interrupted_ = false;
};

ClosedLoopLoad::ClosedLoopLoad(const EntryList &Entries, int Count)
    : Entries_(Entries) {
  for (int I = 0; I < Count; ++I)
    Threads_.emplace_back([this, I] { run(I); });
}

ClosedLoopLoad::~ClosedLoopLoad() { finish(); }

LoadSummary ClosedLoopLoad::finish() {
  Stopping_ = true;
  for (std::thread &Thread : Threads_)
    Thread.join();
  Threads_.clear();
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Summary_;
}

size_t ClosedLoopLoad::succeeded() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Summary_.Succeeded_;
}

void ClosedLoopLoad::run(int Index) {
  constexpr std::array<Call::Kind, 3> Kinds = {
      Call::Kind::Read, Call::Kind::SlowRead, Call::Kind::Booking};
  auto UnsignedIndex = static_cast<size_t>(Index);
  size_t Entry = UnsignedIndex / Kinds.size();
  std::optional<Caller> ThisCaller;
  ThisCaller.emplace(*this, Entry);
  for (int I = 0; !Stopping_; ++I) {
    Call CurrentCall{Kinds[UnsignedIndex % Kinds.size()],
                     "caller-" + std::to_string(Index) + "-" +
                         std::to_string(I),
                     {}};
    std::optional<HttpReply> Reply = ThisCaller->execute(CurrentCall);
    recordResult(CurrentCall, Reply);
    if (!Reply)
      ThisCaller.emplace(*this, Entry);
    sleepFor(ThinkTime);
  }
}

void ClosedLoopLoad::recordResult(const Call &CurrentCall,
                                  const std::optional<HttpReply> &Reply) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (CurrentCall.Kind_ == Call::Kind::Booking)
    Summary_.BookingTags_.push_back(CurrentCall.Tag_);
  if (!Reply)
    return;
  if (Reply->Status_ != 200 || responseTag(*Reply) != CurrentCall.Tag_) {
    Summary_.Failed_.push_back(CurrentCall.Tag_ + ": " +
                               std::to_string(Reply->Status_) + " " +
                               Reply->Body_);
    return;
  }
  ++Summary_.Succeeded_;
  Summary_.SlowReadsSucceeded_ +=
      CurrentCall.Kind_ == Call::Kind::SlowRead ? 1 : 0;
  Summary_.BookingsSucceeded_ +=
      CurrentCall.Kind_ == Call::Kind::Booking ? 1 : 0;
}

} // namespace coltsfoot
