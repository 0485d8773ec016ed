#include "site.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>
#include <stdexcept>

namespace review {

namespace {

constexpr int StoreNumber = 0;
constexpr int FirstMachineNumber = 1;
constexpr size_t MaxSeeds = 3;
constexpr std::chrono::seconds StartTime(15);
/// The pages' `stability-window`, and a second for the first calls.
constexpr std::chrono::seconds CalmTime(4);

/// A folder that is removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(Pattern.data()) == nullptr)
      throw std::runtime_error("can't make a temporary folder");
    Path_ = Pattern;
  }
  ~TemporaryFolder() {
    std::error_code Ignored;
    std::filesystem::remove_all(Path_, Ignored);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

} // namespace

int runCase(int Argc, char **Argv, int (*Case)(const Setting &)) {
  if (Argc != 3) {
    std::cerr << "usage: " << Argv[0] << " REPOSITORY CASE_FOLDER\n";
    return ExitNotRun;
  }
  const char *Trouble = std::getenv("TROUBLE");
  try {
    TemporaryFolder Folder;
    Record Log(std::string(Argv[2]) + "/record.txt");
    Setting Given{{Argv[1], Folder.path()},
                  Log,
                  Trouble == nullptr || std::string_view(Trouble) != "0"};
    Log.say(Given.Trouble_ ? "with the disruption" : "without the disruption");
    try {
      return Case(Given);
    } catch (const std::exception &Error) {
      Log.say(std::string("the case could not run: ") + Error.what());
    }
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
  }
  return ExitNotRun;
}

Site::Site(const Setting &Given, Options Wanted)
    : Setting_(Given), Options_(std::move(Wanted)),
      Store_(loopbackAddress(StoreNumber)) {
  std::string Seeds = seeds();
  for (const std::string &Service : Options_.Services_) {
    int Number = FirstMachineNumber + static_cast<int>(Nodes_.size());
    std::string Ip = loopbackAddress(Number);
    Upstream::Options Server;
    Server.Ip_ = Ip;
    Server.Service_ = Service;
    Server.Id_ = "i-" + std::to_string(Number);
    Server.Slots_ = Options_.Slots_;
    Server.Work_ = Options_.Work_;
    Upstreams_.push_back(std::make_unique<Upstream>(Server, Given.Record_));
    Node::Options Machine;
    Machine.Ip_ = Ip;
    Machine.Service_ = Service;
    Machine.AppAddress_ = Upstreams_.back()->address();
    Machine.Store_ = Store_.address();
    Machine.Seeds_ = Seeds;
    Nodes_.push_back(
        std::make_unique<Node>(Machine, Given.Folders_, Given.Record_));
  }
}

std::string Site::seeds() const {
  std::string Seeds;
  size_t End = std::min(MaxSeeds, Options_.Services_.size());
  for (size_t I = 0; I < End; ++I)
    Seeds += (I > 0 ? "," : "") +
             loopbackAddress(FirstMachineNumber + static_cast<int>(I)) + ":" +
             std::to_string(Node::ControlPort);
  return Seeds;
}

std::string Site::config(int Version) const {
  std::set<std::string> Names(Options_.Services_.begin(),
                              Options_.Services_.end());
  std::string Services;
  std::string Paths;
  auto AddPath = [&](const std::string &Service, const std::string &Prefix,
                     const std::string &Kind) {
    Paths += (Paths.empty() ? "" : ",") + (R"({"name":"r-)" + Prefix) +
             R"(","path-prefix":"/)" + Prefix + R"(/","kind":")" + Kind +
             R"(","timeout":")" + std::to_string(Options_.Timeout_.count()) +
             R"(ms","target-latency":"1500ms","priority":1,"service":")" +
             Service + R"(","max-attempts":2})";
  };
  for (const std::string &Each : Names) {
    Services += (Services.empty() ? "" : ",") + (R"({"name":")" + Each) +
                R"(","health-path":"/health","max-connections":424,)" +
                R"("protocol":"h1","tls":false})";
    AddPath(Each, Each, "safe");
    AddPath(Each, Each + "-once", "unsafe");
  }
  return R"({"version":)" + std::to_string(Version) + R"(,"services":[)" +
         Services +
         R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,)"
         R"("header-timeout":"3000ms","idle-timeout":"15000ms"},)"
         R"("base-version":0,"virtual-hosts":[{"host":"shop.example",)"
         R"("paths":[)" +
         Paths + "]}]}";
}

void Site::start() {
  Store_.putConfig(config(7));
  for (auto &Each : Nodes_)
    Each->start();
  for (size_t I = 0; I < Nodes_.size(); ++I)
    Upstreams_[I]->startReports(Nodes_[I]->ip(), Node::ControlPort);
  auto Until = Clock::now() + StartTime;
  for (auto &Each : Nodes_)
    while (!Each->ready()) {
      if (Clock::now() > Until)
        throw std::runtime_error("a node is not ready in time");
      std::this_thread::sleep_for(Milliseconds(100));
    }
  Setting_.Record_.line("all nodes are ready");
  std::this_thread::sleep_for(CalmTime);
}

Caller Site::caller(size_t Number) {
  return {Nodes_[Number]->ip(), Node::CallPort, "shop.example",
          Setting_.Record_};
}

} // namespace review
