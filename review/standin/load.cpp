#include "load.h"

namespace review {

Load::Load(Site &Machines, const Options &Wanted)
    : Machines_(Machines), Options_(Wanted) {
  for (size_t I = 0; I < Options_.Callers_; ++I)
    Threads_.emplace_back([this, I] { run(I); });
}

Load::~Load() { finish(); }

std::vector<Attempt> Load::finish() {
  Stopped_ = true;
  for (std::thread &Each : Threads_)
    if (Each.joinable())
      Each.join();
  return Attempts_;
}

void Load::run(size_t Number) {
  Caller Client = Machines_.caller(Number % Machines_.size());
  for (int Count = 0; !Stopped_; ++Count) {
    bool Once = Count % 2 == 0;
    std::string Id = Options_.Service_ + (Once ? "-once-" : "-safe-") +
                     std::to_string(Number) + "-" + std::to_string(Count);
    std::string Path = "/" + Options_.Service_ + (Once ? "-once/x" : "/x");
    Attempt Done = Client.call(Once ? "POST" : "GET", Path, Id,
                               Options_.Deadline_, Once ? "a booking" : "");
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Attempts_.push_back(Done);
    }
    if (Done.Status_ != 200)
      std::this_thread::sleep_for(Milliseconds(50));
  }
}

} // namespace review
