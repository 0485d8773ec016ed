#include "node.h"

#include "http.h"

#include <csignal>
#include <fcntl.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::string readFile(const std::string &Name) {
  std::ifstream In(Name);
  if (!In)
    throw std::runtime_error("can't read " + Name);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (size_t Position = 0;
       (Position = Text.find(From, Position)) != std::string::npos;
       Position += To.size())
    Text.replace(Position, From.size(), To);
}

/// Replaces the section of the seed nodes by the list of them.
void renderSeeds(std::string &Text, const std::string &Seeds) {
  const std::string Begin = "{{#seed-nodes}}";
  const std::string End = "{{/seed-nodes}}";
  size_t From = Text.find(Begin);
  size_t To = Text.find(End);
  if (From == std::string::npos || To == std::string::npos)
    throw std::runtime_error("the template has no seed nodes");
  std::string List;
  std::istringstream In(Seeds);
  for (std::string Each; std::getline(In, Each, ',');)
    List += (List.empty() ? "\"" : ",\"") + Each + "\"";
  Text.replace(From, To + End.size() - From, List);
}

} // namespace

std::string loopbackAddress(int Number) {
  int Pid = ::getpid();
  return "127." + std::to_string(64 + ((Pid >> 11) & 127)) + "." +
         std::to_string((Pid >> 3) & 255) + "." +
         std::to_string(((Pid & 7) << 5) + Number % 32);
}

Node::Node(const Options &Given, const Folders &Places, Record &Log)
    : Options_(Given), Places_(Places), Log_(Log) {}

Node::~Node() { kill(); }

// The values are those of the users' kaveri-chairs site.
std::string Node::settings() const {
  std::string Text = readFile(Places_.Repository_ + "/deploy/node.toml.in");
  auto At = [&](unsigned short Port) {
    return Options_.Ip_ + ":" + std::to_string(Port);
  };
  renderSeeds(Text, Options_.Seeds_);
  replaceAll(Text, "{{ip}}", Options_.Ip_);
  replaceAll(Text, "{{internal-ports.0}}", std::to_string(InternalPort));
  replaceAll(Text, "{{zone}}", Options_.Zone_);
  replaceAll(Text, "{{region}}", "region-a");
  replaceAll(Text, "{{service}}", Options_.Service_);
  replaceAll(Text, "{{app-address}}", Options_.AppAddress_);
  replaceAll(Text, "{{listen-addresses.outbound}}", At(CallPort));
  replaceAll(Text, "{{listen-addresses.ready}}", At(ReadyPort));
  replaceAll(Text, "{{listen-addresses.control}}", At(ControlPort));
  replaceAll(Text, "{{platform.address}}", Options_.Store_);
  replaceAll(Text, "{{limits.max-file-descriptors}}", "4100");
  replaceAll(Text, "{{bounds.retry-budget-ratio}}", "0.2");
  replaceAll(Text, "{{bounds.retry-budget-slack}}", "49");
  if (Text.find("{{") != std::string::npos)
    throw std::runtime_error("the template has an unknown placeholder");
  return Text;
}

void Node::start() {
  std::string File = Places_.Temporary_ + "/" + Options_.Ip_ + ".toml";
  std::string Output = Places_.Temporary_ + "/" + Options_.Ip_ + ".log";
  std::string Program = Places_.Repository_ + "/target/build/coltsfootd";
  std::ofstream(File) << settings();
  if (::access(Program.c_str(), X_OK) != 0)
    throw std::runtime_error("target/build/coltsfootd is not built");
  Pid_ = ::fork();
  if (Pid_ < 0)
    throw std::runtime_error("can't start a process");
  if (Pid_ == 0) {
    // The node ends with the case, also when the case is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Log = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Log, STDOUT_FILENO);
    ::dup2(Log, STDERR_FILENO);
    ::execl(Program.c_str(), Program.c_str(), "--config", File.c_str(),
            nullptr);
    ::_exit(127);
  }
  Log_.line("node " + Options_.Ip_ + " is started");
}

void Node::terminate() {
  if (Pid_ > 0)
    ::kill(Pid_, SIGTERM);
  Log_.line("node " + Options_.Ip_ + " gets SIGTERM");
}

void Node::kill() {
  if (Pid_ <= 0)
    return;
  ::kill(Pid_, SIGKILL);
  ::waitpid(Pid_, nullptr, 0);
  Pid_ = -1;
  Log_.line("node " + Options_.Ip_ + " is killed");
}

bool Node::running() {
  if (Pid_ <= 0)
    return false;
  int Status = 0;
  if (::waitpid(Pid_, &Status, WNOHANG) != Pid_)
    return true;
  Pid_ = -1;
  Log_.line("node " + Options_.Ip_ + " has ended, status " +
            std::to_string(Status));
  return false;
}

double Node::memoryMb() const {
  if (Pid_ <= 0)
    return 0;
  std::ifstream In("/proc/" + std::to_string(Pid_) + "/statm");
  long Pages = 0;
  In >> Pages >> Pages;
  return static_cast<double>(Pages) *
         static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

bool Node::ready() const {
  constexpr Milliseconds Limit(1000);
  auto Until = Clock::now() + Limit;
  auto Connection = connectTo(Options_.Ip_, ReadyPort, Limit);
  Message Request{"GET /readiness HTTP/1.1", {{"Host", Options_.Ip_}}, ""};
  if (!Connection || !Connection->write(bytesOf(Request), Until))
    return false;
  auto Reply = Connection->read(Until);
  return Reply && Reply->word(1) == "200";
}

} // namespace review
