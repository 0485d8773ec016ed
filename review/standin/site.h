/// A small deployment: the store, and machines with an upstream and a node
/// each.
#pragma once

#include "caller.h"
#include "node.h"
#include "store.h"
#include "upstream.h"

namespace review {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

/// What a case gets from its command line and environment.
struct Setting {
  Folders Folders_;
  Record &Record_;
  /// Whether the disruption takes place; not with TROUBLE=0.
  bool Trouble_ = true;
};

/// Runs a case: `PROGRAM REPOSITORY CASE_FOLDER`. Makes the record and a
/// temporary folder; returns the exit status.
int runCase(int Argc, char **Argv, int (*Case)(const Setting &));

/// Machines numbered from 0, in the order of the given services. Each route is
/// `/SERVICE/` (safe) and `/SERVICE-once/` (unsafe) of the host shop.example.
class Site {
public:
  struct Options {
    std::vector<std::string> Services_;
    Milliseconds Work_{100};
    int Slots_ = 54;
    Milliseconds Timeout_{5000};
  };

  Site(const Setting &Given, Options Wanted);

  /// Starts all nodes and reports; waits until all are ready and a while more.
  /// Throws when that takes too long.
  void start();
  size_t size() const { return Nodes_.size(); }
  Upstream &upstream(size_t Number) { return *Upstreams_[Number]; }
  Node &node(size_t Number) { return *Nodes_[Number]; }
  Caller caller(size_t Number);

private:
  std::string config(int Version) const;
  std::string seeds() const;

  const Setting &Setting_;
  const Options Options_;
  Store Store_;
  std::vector<std::unique_ptr<Upstream>> Upstreams_;
  std::vector<std::unique_ptr<Node>> Nodes_;
};

} // namespace review
