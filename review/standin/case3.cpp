/// A status report of another writer, with fields missing, under the id of an
/// upstream.

#include "load.h"
#include "otherwriter.h"

#include <algorithm>
#include <set>
#include <stdexcept>

using namespace review;

namespace {

int play(const Setting &Given) {
  Record &Log = Given.Record_;
  Site::Options Wanted;
  Wanted.Services_ = {"alpha", "alpha", "beta"};
  Wanted.Work_ = Milliseconds(50);
  Site Machines(Given, Wanted);
  Machines.start();
  Load Alpha(Machines, {.Service_ = "alpha", .Callers_ = 3});
  Load Beta(Machines, {.Service_ = "beta", .Callers_ = 3});
  std::this_thread::sleep_for(std::chrono::seconds(3));

  // The fields zone, version, cold-remaining and born are missing.
  Upstream &Named = Machines.upstream(0);
  if (Given.Trouble_)
    sendForeignReport(Machines.node(0), Named.id(),
                      R"({"service":"beta","address":")" + Named.address() +
                          R"(","slots":54,"state":"ready","sequence":1000})",
                      Log);
  std::this_thread::sleep_for(std::chrono::seconds(10));
  std::vector<Attempt> OfAlpha = Alpha.finish();
  std::vector<Attempt> OfBeta = Beta.finish();

  int Foreign = 0;
  std::set<std::string> ForeignIds;
  for (size_t I = 0; I < Machines.size(); ++I)
    for (const Upstream::Run &Each : Machines.upstream(I).runs())
      if (!Each.Attempt_.starts_with(Machines.upstream(I).service())) {
        ++Foreign;
        ForeignIds.insert(Each.Attempt_);
      }
  auto Answered =
      std::count_if(OfBeta.begin(), OfBeta.end(), [&](const Attempt &Each) {
        return Each.Status_ == 200 && ForeignIds.contains(Each.Id_);
      });
  for (size_t I = 0; I < Machines.size(); ++I)
    if (!Machines.node(I).running())
      throw std::runtime_error("a node has ended by itself");
  Log.say("requests sent for alpha: " + std::to_string(OfAlpha.size()) +
          ", for beta: " + std::to_string(OfBeta.size()));
  Log.say("requests run by a service that no configuration allows: " +
          std::to_string(Foreign) + "; " + std::to_string(Answered) +
          " of them were answered with 200 to the client");
  Log.say(Foreign > 0 ? "ROUTE is broken" : "ROUTE held");
  return Foreign > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Argc, char **Argv) { return runCase(Argc, Argv, play); }
