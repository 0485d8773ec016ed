#include "fleet.h"

#include <boost/filesystem.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <fstream>
#include <stdexcept>

namespace coltsfoot {

namespace json = boost::json;

namespace {

constexpr Millis StartTimeout(20000);
constexpr std::string_view TestToken = "test-operator-token";

uint16_t portOf(const std::string &Address) {
  return static_cast<uint16_t>(
      std::stoi(Address.substr(Address.rfind(':') + 1)));
}

std::string quoted(const std::string &Text) { return '"' + Text + '"'; }

} // namespace

TestNode::TestNode(const std::string &SettingsFile, std::string Ip,
                   std::string Authorization, uint64_t DescriptorLimit)
    : Ip_(std::move(Ip)), Authorization_(std::move(Authorization)),
      Process_(std::make_unique<Process>(
          NodeProgram, std::vector<std::string>{"--config", SettingsFile},
          DescriptorLimit)) {
  std::string Line = Process_->waitForLine("event=listening", StartTimeout);
  HttpPort_ = portOf(field(Line, "http"));
  Name_ = field(Line, "node");
  PeerPort_ = portOf(field(Line, "peer"));
}

std::string TestNode::httpAddress() const {
  return Ip_ + ":" + std::to_string(HttpPort_);
}

HttpReply TestNode::call(std::string_view Method, std::string_view Target,
                         const std::vector<HttpField> &Fields,
                         std::string_view Body, Millis Timeout) const {
  return request(Ip_, HttpPort_, Method, Target, Fields, Body, Timeout);
}

HttpReply TestNode::requestAsOperator(std::string_view Method,
                                      std::string_view Target,
                                      std::string_view Body,
                                      std::vector<HttpField> Fields) const {
  Fields.push_back({"Authorization", Authorization_});
  return request(Ip_, HttpPort_, Method, Target, Fields, Body, Millis(10000));
}

void TestNode::waitUntilServing(Millis Timeout) const {
  waitUntil([&] { return call("GET", "/healthz").Status_ == 200; }, Timeout,
            "the node answers 200 on /healthz");
}

int TestNode::aliveGateCount(std::string_view Service) const {
  json::value Reply = json::parse(requestAsOperator("GET", "/v1/nodes").Body_);
  int Count = 0;
  for (const json::value &Node : Reply.at("nodes").as_array())
    if (std::string_view(Node.at("service").as_string()) == Service &&
        Node.at("state").as_string() == "alive")
      ++Count;
  return Count;
}

void TestNode::waitForGates(std::string_view Service, int Count,
                            Millis Timeout) const {
  waitUntil([&] { return aliveGateCount(Service) == Count; }, Timeout,
            "the node knows the expected number of alive gates of " +
                std::string(Service));
}

Fleet::Fleet()
    : Folder_((boost::filesystem::temp_directory_path() /
               boost::filesystem::unique_path("coltsfoot-%%%%%%%%%%%%"))
                  .string()) {
  boost::filesystem::create_directories(Folder_);
  writeFile("token", TestToken);
  writeFile("key", TestTicketKey);
}

Fleet::~Fleet() {
  boost::system::error_code Ignored;
  boost::filesystem::remove_all(Folder_, Ignored);
}

std::string Fleet::writeFile(const std::string &Name,
                             std::string_view Text) const {
  std::string Path = Folder_ + "/" + Name;
  std::ofstream Out(Path);
  Out << Text << '\n';
  if (!Out.flush())
    throw std::runtime_error("cannot write file " + Path);
  return Path;
}

std::string Fleet::settingsText(const NodeSpec &Spec) const {
  std::string Text =
      "[node]\naddress = " + quoted(Spec.Ip_) +
      "\nzone = " + quoted(Spec.Zone_) + "\nregion = " + quoted(Spec.Region_) +
      "\nfleet = \"test\"\npeer_port = " + std::to_string(Spec.PeerPort_) +
      "\nworkers = " + std::to_string(Spec.Workers_) +
      "\npolicy = " + quoted(Spec.Policy_) + "\n";
  if (!Spec.Advertise_.empty())
    Text += "advertise = " + quoted(Spec.Advertise_) + "\n";
  Text += "[log_service]\n" + Spec.LogService_;
  if (Spec.UseLog_)
    Text += "address = \"127.0.0.1:" + std::to_string(Log_.port()) + "\"\n";
  Text += "[membership]\n" + Spec.Membership_ + "peers = [";
  for (const std::string &Peer : Spec.Peers_)
    Text += quoted(Peer) + ",";
  Text += "]\n[limits]\n" + Spec.Limits_ + "[timeouts]\n" + Spec.Timeouts_ +
          "[logging]\n" + Spec.Logging_;
  Text += "[security]\nticket_key_file = " + quoted(Folder_ + "/key") +
          "\noperator_token_file = " + quoted(Folder_ + "/token") + "\n";
  return Text;
}

std::unique_ptr<TestNode> Fleet::startNode(const NodeSpec &Spec) {
  std::string File = writeFile("node-" + std::to_string(++Started_) + ".toml",
                               settingsText(Spec));
  return std::make_unique<TestNode>(File, Spec.Ip_,
                                    "Bearer " + std::string(TestToken),
                                    Spec.DescriptorLimit_);
}

std::unique_ptr<BackendServer> Fleet::startBackend(const TestNode &Node,
                                                   BackendOptions Options) {
  Options.Node_ = Node.httpAddress();
  auto Server = std::make_unique<BackendServer>(std::move(Options));
  waitUntil([&] { return Server->announced(); }, StartTimeout,
            "the node accepts the backend server's announcement");
  return Server;
}

int64_t Fleet::putResource(const TestNode &Node, std::string_view KindAndName,
                           std::string_view Json, std::string_view IfMatch) {
  HttpReply Reply =
      Node.requestAsOperator("PUT", "/v1/" + std::string(KindAndName), Json,
                             {{"If-Match", std::string(IfMatch)}});
  if (Reply.Status_ != 200)
    throw std::runtime_error("PUT " + std::string(KindAndName) +
                             " was answered with status " +
                             std::to_string(Reply.Status_) + " " + Reply.Body_);
  return json::parse(Reply.Body_).at("version").as_int64();
}

std::string shopServiceJson(int DeadlineMs) {
  std::string Deadline = R"(,"deadline_ms":)" + std::to_string(DeadlineMs);
  return R"({"routes":[)"
         R"({"name":"items","method":"GET","path":"/items*","kind":"lookup")" +
         Deadline +
         R"(},{"name":"report","method":"GET","path":"/report*",)"
         R"("kind":"report","rank":"low")" +
         Deadline +
         R"(},{"name":"book","method":"POST","path":"/bookings*",)"
         R"("kind":"booking","rank":"urgent","protected":true)" +
         Deadline + "}]}";
}

std::vector<HttpField> requestFields(const std::string &Service,
                                     const std::string &Client,
                                     const std::string &Tag) {
  return {{"Coltsfoot-Service", Service},
          {"Coltsfoot-Client", Client},
          {"X-Request-Tag", Tag}};
}

HttpReply callWithTicket(const TestNode &Node, const std::string &Service,
                         const std::string &Target, const std::string &Client,
                         const std::string &Tag, std::string_view Body,
                         std::string *Ticket) {
  std::vector<HttpField> Fields = requestFields(Service, Client, Tag);
  HttpReply FirstReply = Node.call("POST", Target, Fields, Body);
  if (FirstReply.Status_ != 428)
    return FirstReply;
  if (Ticket)
    *Ticket = FirstReply.header("Coltsfoot-Ticket");
  Fields.push_back({"Coltsfoot-Ticket", FirstReply.header("Coltsfoot-Ticket")});
  return Node.call("POST", Target, Fields, Body);
}

} // namespace coltsfoot
