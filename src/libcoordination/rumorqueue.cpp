#include "rumorqueue.h"

#include "coltsfoot_types.h"
#include "gossipwire.h"

#include <algorithm>

namespace coltsfoot {

namespace {
constexpr size_t MaxRumors = 2048;
} // namespace

void RumorQueue::add(MemberPtr News) {
  Rumor Fresh;
  Fresh.Bytes_ = wireSize(News->Member_);
  Fresh.Member_ = std::move(News);
  const std::string &Node = Fresh.Member_->Member_.Node_;
  auto Older =
      std::find_if(Rumors_.begin(), Rumors_.end(), [&](const Rumor &R) {
        return R.Member_ && R.Member_->Member_.Node_ == Node;
      });
  if (Older != Rumors_.end())
    *Older = std::move(Fresh);
  else
    push(std::move(Fresh));
}

void RumorQueue::add(SpreadRecord News) {
  Rumor Fresh;
  Fresh.Bytes_ = wireSize(News);
  Fresh.Record_ = std::move(News);
  push(std::move(Fresh));
}

void RumorQueue::push(Rumor News) {
  if (Rumors_.size() >= MaxRumors) {
    auto MostSent = std::max_element(
        Rumors_.begin(), Rumors_.end(),
        [](const Rumor &A, const Rumor &B) { return A.Local_ < B.Local_; });
    Rumors_.erase(MostSent);
  }
  Rumors_.push_back(std::move(News));
}

int RumorQueue::Rumor::sends(RumorChannel Channel) const {
  return Channel == RumorChannel::Local ? Local_ : Remote_;
}

bool RumorQueue::Rumor::pending(RumorChannel Channel,
                                const RumorLimits &Limits) const {
  if (Channel == RumorChannel::Remote)
    return Remote_ < Limits.Remote_;
  return Local_ < (Member_ ? Limits.LocalMember_ : Limits.LocalRecord_);
}

int RumorQueue::fill(wire::Datagram &Message, size_t Room, RumorChannel Channel,
                     const RumorLimits &Limits) {
  std::vector<Rumor *> Order;
  for (Rumor &R : Rumors_)
    if (R.pending(Channel, Limits))
      Order.push_back(&R);
  std::stable_sort(Order.begin(), Order.end(),
                   [Channel](const Rumor *A, const Rumor *B) {
                     if (A->sends(Channel) != B->sends(Channel))
                       return A->sends(Channel) < B->sends(Channel);
                     return !A->Member_ && B->Member_;
                   });
  int Added = 0;
  for (Rumor *R : Order) {
    if (R->Bytes_ > Room)
      continue;
    Room -= R->Bytes_;
    if (R->Member_)
      Message.members.push_back(toWire(R->Member_->Member_));
    else
      Message.records.push_back(toWire(R->Record_));
    ++(Channel == RumorChannel::Local ? R->Local_ : R->Remote_);
    ++Added;
  }
  return Added;
}

void RumorQueue::retire(const RumorLimits &Limits) {
  std::erase_if(Rumors_, [&](const Rumor &R) {
    return !R.pending(RumorChannel::Local, Limits) &&
           !R.pending(RumorChannel::Remote, Limits);
  });
}

bool RumorQueue::pending(RumorChannel Channel,
                         const RumorLimits &Limits) const {
  return std::any_of(Rumors_.begin(), Rumors_.end(), [&](const Rumor &R) {
    return R.pending(Channel, Limits);
  });
}

} // namespace coltsfoot
