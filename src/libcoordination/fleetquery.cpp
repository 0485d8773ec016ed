#include "fleetquery.h"

#include "coltsfoot_types.h"
#include "memberview.h"
#include "peerpool.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace coltsfoot {

namespace asio = boost::asio;

namespace {

constexpr size_t MaxInFlight = 64;
constexpr std::chrono::milliseconds TimeLimit(3000);

/// One query in progress; everything runs on its strand.
class FleetQuery : public std::enable_shared_from_this<FleetQuery> {
public:
  FleetQuery(asio::io_context &Context, PeerPool &Peers,
             std::vector<std::string> Nodes, std::string QueryKind,
             std::string Argument, std::function<void(FleetAnswers)> OnEnd)
      : Peers_(Peers), Nodes_(std::move(Nodes)),
        QueryKind_(std::move(QueryKind)), Argument_(std::move(Argument)),
        OnEnd_(std::move(OnEnd)), Strand_(asio::make_strand(Context)),
        Timer_(Strand_) {}

  void start() {
    asio::post(Strand_, [Self = shared_from_this()] {
      Self->Timer_.expires_after(TimeLimit);
      Self->Timer_.async_wait([Self](const boost::system::error_code &Error) {
        if (!Error)
          Self->finish();
      });
      Self->sendMore();
    });
  }

private:
  void sendMore() {
    while (Next_ < Nodes_.size() && InFlight_ < MaxInFlight) {
      ++InFlight_;
      sendTo(Nodes_[Next_++]);
    }
    if (Completed_ == Nodes_.size())
      finish();
  }

  void sendTo(const std::string &Node) {
    wire::StatusFetch Fetch;
    Fetch.what = QueryKind_;
    Fetch.argument = Argument_;
    wire::Frame Message;
    Message.__set_status_fetch(Fetch);
    Peers_.call(Node, Peers_.reserve(), std::move(Message), {},
                [Self = shared_from_this()](PeerResult Result) {
                  asio::post(Self->Strand_, [Self, Result = std::move(Result)] {
                    Self->onResult(Result);
                  });
                });
  }

  void onResult(const PeerResult &Result) {
    ++Completed_;
    --InFlight_;
    if (const auto *Frame =
            std::get_if<std::shared_ptr<const wire::Frame>>(&Result))
      Answers_.JsonTexts_.push_back((*Frame)->status_batch.json);
    sendMore();
  }

  void finish() {
    if (!OnEnd_)
      return;
    Timer_.cancel();
    Answers_.MissingMembers_ =
        static_cast<int>(Nodes_.size() - Answers_.JsonTexts_.size());
    std::exchange(OnEnd_, nullptr)(std::move(Answers_));
  }

  PeerPool &Peers_;
  const std::vector<std::string> Nodes_;
  const std::string QueryKind_;
  const std::string Argument_;
  std::function<void(FleetAnswers)> OnEnd_;
  asio::strand<asio::io_context::executor_type> Strand_;
  asio::steady_timer Timer_;
  FleetAnswers Answers_;
  size_t Next_ = 0;
  size_t InFlight_ = 0;
  size_t Completed_ = 0;
};

} // namespace

void queryFleet(asio::io_context &Context, PeerPool &Peers,
                const MemberView &Members, const std::string &QueryKind,
                const std::string &Argument,
                std::function<void(FleetAnswers)> OnEnd) {
  std::vector<std::string> Nodes;
  for (const auto &MemberEntry : Members.all())
    if (MemberEntry->Member_.State_ != MemberState::Dead)
      Nodes.push_back(MemberEntry->Member_.Node_);
  std::make_shared<FleetQuery>(Context, Peers, std::move(Nodes), QueryKind,
                               Argument, std::move(OnEnd))
      ->start();
}

} // namespace coltsfoot
