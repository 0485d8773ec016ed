#include "callers.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>

namespace coltsfoot {

namespace {

constexpr Millis CallLimit(10000);
constexpr Millis MovePause(20);
constexpr Millis ThinkTime(5);

std::string tagOf(const HttpReply &Reply) {
  boost::system::error_code Error;
  auto Body = boost::json::parse(Reply.Body_, Error);
  const auto *Fields = Error ? nullptr : Body.if_object();
  const auto *Tag = Fields ? Fields->if_contains("tag") : nullptr;
  return Tag && Tag->is_string() ? std::string(Tag->as_string()) : "";
}

void pause(Millis Span) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Span.count()));
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

EntryList::Entry EntryList::pick(size_t Number) const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Entries_.at(Number % Entries_.size());
}

/// One call of a caller, over as many attempts as it takes.
struct Callers::Call {
  enum class Kind { Read, Slow, Booking };
  Kind Kind_ = Kind::Read;
  std::string Tag_;
  std::string Ticket_;

  std::vector<HttpField> fields() const {
    std::vector<HttpField> Fields = fieldsOf("shop", "caller", Tag_);
    if (Kind_ == Kind::Slow)
      Fields.push_back({"X-Work-Ms", "300"});
    if (!Ticket_.empty())
      Fields.push_back({"Coltsfoot-Ticket", Ticket_});
    return Fields;
  }
};

/// One thread's connection.
class Callers::Caller {
public:
  Caller(Callers &Owner, size_t Number) : Owner_(Owner), Number_(Number) {
    connect();
  }

  /// Carries a call to its end; nothing when an accepted attempt was cut.
  std::optional<HttpReply> carry(Call &Made) {
    const SystemClock Time;
    Millis End = Time.now() + CallLimit;
    HttpReply Last;
    while (Time.now() < End) {
      std::optional<HttpReply> Reply = attempt(Made);
      if (Reply && (Reply->Status_ == 428 || Reply->Status_ == 503)) {
        Last = *Reply;
        std::string Fresh = Reply->header("Coltsfoot-Ticket");
        if (!Fresh.empty())
          Made.Ticket_ = Fresh;
        if (Reply->Status_ == 428)
          continue;
        if (Reply->header("Coltsfoot-Verdict") != "not-run")
          return Reply;
        Reply.reset();
      } else if (Reply || Cut_) {
        return Reply;
      }
      move();
    }
    return Last;
  }

private:
  std::optional<HttpReply> attempt(const Call &Made) {
    bool Booking = Made.Kind_ == Call::Kind::Booking;
    try {
      return Session_->request(Booking ? "POST" : "GET",
                               Booking ? "/bookings" : "/items/1",
                               Made.fields(), Booking ? Made.Tag_ : "");
    } catch (const HttpNotConnected &) {
      return {};
    } catch (const HttpError &Error) {
      Cut_ = true;
      std::lock_guard<std::mutex> Lock(Owner_.Mutex_);
      Owner_.Tally_.Cut_.push_back(Made.Tag_ + ": " + Error.what());
      return {};
    }
  }

  void move() {
    {
      std::lock_guard<std::mutex> Lock(Owner_.Mutex_);
      ++Owner_.Tally_.Moved_;
    }
    ++Number_;
    pause(MovePause);
    connect();
  }

  void connect() {
    auto [Ip, Port] = Owner_.Entries_.pick(Number_);
    Session_.emplace(Ip, Port);
  }

  Callers &Owner_;
  size_t Number_;
  std::optional<HttpSession> Session_;
  bool Cut_ = false;
};

Callers::Callers(const EntryList &Entries, int Count) : Entries_(Entries) {
  for (int I = 0; I < Count; ++I)
    Threads_.emplace_back([this, I] { run(I); });
}

Callers::~Callers() { finish(); }

LoadTally Callers::finish() {
  Stop_ = true;
  for (std::thread &Thread : Threads_)
    Thread.join();
  Threads_.clear();
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Tally_;
}

size_t Callers::whole() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Tally_.Whole_;
}

void Callers::run(int Number) {
  constexpr std::array<Call::Kind, 3> Kinds = {
      Call::Kind::Read, Call::Kind::Slow, Call::Kind::Booking};
  auto Place = static_cast<size_t>(Number);
  size_t Entry = Place / Kinds.size();
  std::optional<Caller> Self;
  Self.emplace(*this, Entry);
  for (int I = 0; !Stop_; ++I) {
    Call Made{Kinds[Place % Kinds.size()],
              "caller-" + std::to_string(Number) + "-" + std::to_string(I),
              {}};
    std::optional<HttpReply> Reply = Self->carry(Made);
    note(Made, Reply);
    if (!Reply)
      Self.emplace(*this, Entry);
    pause(ThinkTime);
  }
}

void Callers::note(const Call &Made, const std::optional<HttpReply> &Reply) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Made.Kind_ == Call::Kind::Booking)
    Tally_.BookingTags_.push_back(Made.Tag_);
  if (!Reply)
    return;
  if (Reply->Status_ != 200 || tagOf(*Reply) != Made.Tag_) {
    Tally_.Failed_.push_back(Made.Tag_ + ": " + std::to_string(Reply->Status_) +
                             " " + Reply->Body_);
    return;
  }
  ++Tally_.Whole_;
  Tally_.SlowWhole_ += Made.Kind_ == Call::Kind::Slow ? 1 : 0;
  Tally_.BookingsWhole_ += Made.Kind_ == Call::Kind::Booking ? 1 : 0;
}

} // namespace coltsfoot
