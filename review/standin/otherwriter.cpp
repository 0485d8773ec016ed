#include "otherwriter.h"

#include "http.h"

namespace review {

void sendForeignReport(const Node &To, const std::string &Instance,
                       const std::string &Body, Record &Log) {
  constexpr Milliseconds Limit(1000);
  Message Report{"POST /instances/" + Instance + "/heartbeat HTTP/1.1",
                 {{"Host", To.ip()}, {"Content-Type", "application/json"}},
                 Body};
  auto Until = Clock::now() + Limit;
  auto Connection = connectTo(To.ip(), Node::ControlPort, Limit);
  std::optional<Message> Reply;
  if (Connection && Connection->write(bytesOf(Report), Until))
    Reply = Connection->read(Until);
  Log.say("another writer's report for " + Instance + ": " + Body);
  Log.say("it is answered with " + (Reply ? Reply->word(1) : "nothing"));
}

std::string bornNow() {
  return std::to_string(std::chrono::duration_cast<Milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count());
}

} // namespace review
