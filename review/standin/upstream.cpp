#include "upstream.h"

namespace review {

namespace {

constexpr Milliseconds Heartbeat(1500);
/// An ack counts only within this time.
constexpr Milliseconds AckTime(1000);
constexpr std::string_view HealthPath = "/health";

long long wallMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns how long the path says that its work takes, else Usual.
Milliseconds workOf(const std::string &Path, Milliseconds Usual) {
  constexpr std::string_view Key = "work-ms=";
  size_t Position = Path.find(Key);
  return Position == std::string::npos
             ? Usual
             : Milliseconds(std::stoi(Path.substr(Position + Key.size())));
}

} // namespace

Upstream::Upstream(const Options &Given, Record &Log)
    : Options_(Given), Born_(wallMilliseconds()), Log_(Log),
      Server_(Given.Ip_, 0, [this](Stream &Each) { serve(Each); }) {}

Upstream::~Upstream() { end(); }

std::string Upstream::address() const {
  return Options_.Ip_ + ":" + std::to_string(Server_.port());
}

void Upstream::startReports(const std::string &ControlIp,
                            uint16_t ControlPort) {
  ControlIp_ = ControlIp;
  ControlPort_ = ControlPort;
  Reporter_ = std::thread([this] {
    std::unique_lock<std::mutex> Lock(Mutex_);
    while (!ReportsStopped_) {
      Lock.unlock();
      report("ready");
      Lock.lock();
      Changed_.wait_for(Lock, Heartbeat, [&] { return ReportsStopped_; });
    }
  });
}

void Upstream::stopReports() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ReportsStopped_ = true;
    Changed_.notify_all();
  }
  if (Reporter_.joinable())
    Reporter_.join();
}

std::optional<Clock::time_point> Upstream::reportDraining() {
  constexpr int Tries = 4;
  stopReports();
  Leaving_ = true;
  for (int I = 0; I < Tries; ++I)
    if (auto Acked = report("draining"))
      return Acked;
  return {};
}

std::optional<Clock::time_point> Upstream::report(const std::string &State) {
  int Sequence = ++Sequence_;
  std::string Body =
      R"({"service":")" + Options_.Service_ + R"(","address":")" + address() +
      R"(","zone":")" + Options_.Zone_ + R"(","version":"v1","slots":)" +
      std::to_string(Options_.Slots_) + R"(,"state":")" + State +
      R"(","cold-remaining":"0ms","sequence":)" + std::to_string(Sequence) +
      R"(,"born":)" + std::to_string(Born_) + "}";
  return post("heartbeat", Body,
              State + " sequence " + std::to_string(Sequence));
}

std::optional<Clock::time_point> Upstream::post(const std::string &Operation,
                                                const std::string &Body,
                                                const std::string &Text) {
  auto Until = Clock::now() + AckTime;
  auto Connection = connectTo(ControlIp_, ControlPort_, AckTime);
  Message Request{"POST /instances/" + Options_.Id_ + "/" + Operation +
                      " HTTP/1.1",
                  {{"Host", ControlIp_}, {"Content-Type", "application/json"}},
                  Body};
  std::optional<Message> Reply;
  if (Connection && Connection->write(bytesOf(Request), Until))
    Reply = Connection->read(Until);
  std::string Status = Reply ? Reply->word(1) : "none";
  Log_.line("upstream " + Options_.Id_ + " reports " + Text + ", answer " +
            Status);
  bool Acked = Status.starts_with('2');
  return Acked ? std::optional(Clock::now()) : std::nullopt;
}

void Upstream::end() {
  stopReports();
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (std::exchange(Ended_, true))
      return;
    Changed_.notify_all();
  }
  Server_.stop();
  Log_.line("upstream " + Options_.Id_ + " has ended");
}

std::vector<Upstream::Run> Upstream::runs() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Runs_;
}

void Upstream::serve(Stream &Connection) {
  constexpr std::chrono::seconds IdleTime(10);
  while (auto Request = Connection.read(Clock::now() + IdleTime)) {
    bool Health = Request->word(1) == HealthPath;
    if (Health && !Connection.write(bytesOf(health()),
                                    Clock::now() + std::chrono::seconds(5)))
      return;
    if (!Health && !run(Connection, *Request))
      return;
  }
}

Message Upstream::health() const {
  bool Good = !Leaving_;
  Message Reply{Good ? "HTTP/1.1 200 OK" : "HTTP/1.1 503 Service Unavailable",
                {{"Instance-Id", Options_.Id_}},
                ""};
  std::lock_guard<std::mutex> Lock(Mutex_);
  Reply.Fields_.emplace_back("Server-Load",
                             std::to_string(Running_) + ",0," +
                                 std::to_string(Options_.Slots_));
  Log_.line("upstream " + Options_.Id_ + " answers a health check with " +
            Reply.word(1));
  return Reply;
}

bool Upstream::run(Stream &Connection, const Message &Request) {
  constexpr std::chrono::seconds WriteTime(10);
  std::string Attempt = Request.field("Attempt-Id");
  Message Reply{"HTTP/1.1 200 OK", {{"Attempt-Id", Attempt}}, ""};
  std::string Expected = Request.field("Expected-Instance");
  if (!Expected.empty() && Expected != Options_.Id_) {
    Reply.Start_ = "HTTP/1.1 421 Misdirected Request";
    Reply.Fields_.emplace_back("Instance-Id", Options_.Id_);
    return Connection.write(bytesOf(Reply), Clock::now() + WriteTime);
  }
  size_t Number = 0;
  bool Full = false;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Full = Running_ >= Options_.Slots_;
    if (!Full) {
      ++Running_;
      Number = Runs_.size();
      Runs_.push_back({Attempt, Request.word(0), Clock::now()});
    }
  }
  if (Full) {
    Reply.Start_ = "HTTP/1.1 503 Service Unavailable";
    Reply.Fields_.emplace_back("Request-Not-Executed", "1");
    return Connection.write(bytesOf(Reply), Clock::now() + WriteTime);
  }
  Log_.line("upstream " + Options_.Id_ + " runs " + Attempt);
  bool Done = work(Connection, workOf(Request.word(1), Options_.Work_));
  if (Done) {
    Reply.Fields_.emplace_back("Server-Signature", "s." + Attempt);
    Reply.Body_ = "answer to " + Attempt;
    Done = Connection.write(bytesOf(Reply), Clock::now() + WriteTime);
  }
  std::lock_guard<std::mutex> Lock(Mutex_);
  --Running_;
  Runs_[Number].Answered_ = Done;
  return Done;
}

// Work is dropped when its connection or the process ends.
bool Upstream::work(const Stream &Connection, Milliseconds Duration) {
  constexpr Milliseconds Step(20);
  auto Until = Clock::now() + Duration;
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (!Ended_ && Clock::now() < Until && !Connection.ended())
    Changed_.wait_until(Lock, std::min(Until, Clock::now() + Step),
                        [&] { return Ended_; });
  return !Ended_ && !Connection.ended();
}

} // namespace review
