/// Clients of all machines that send one request after the other.
#pragma once

#include "site.h"

namespace review {

/// Sends safe and unsafe requests by turns to a service until finish().
class Load {
public:
  struct Options {
    std::string Service_;
    size_t Callers_ = 1;
    Milliseconds Deadline_{2500};
  };

  Load(Site &Machines, const Options &Wanted);
  ~Load();
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  /// Waits for the answers and returns what became of the requests. Their ids
  /// begin with the service.
  std::vector<Attempt> finish();

private:
  void run(size_t Number);

  Site &Machines_;
  const Options Options_;
  std::atomic<bool> Stopped_ = false;
  std::mutex Mutex_;
  std::vector<Attempt> Attempts_;
  std::vector<std::thread> Threads_;
};

} // namespace review
