#include "rumorqueue.h"

#include "coltsfoot_types.h"
#include "gossipwire.h"

#include <algorithm>

namespace coltsfoot {

namespace {
constexpr size_t MaxRumors = 2048;
} // namespace

void RumorQueue::add(MemberPtr Update) {
  Rumor NewRumor;
  NewRumor.Bytes_ = wireSize(Update->Member_);
  NewRumor.Member_ = std::move(Update);
  const std::string &Node = NewRumor.Member_->Member_.Node_;
  auto Older =
      std::find_if(Rumors_.begin(), Rumors_.end(), [&](const Rumor &R) {
        return R.Member_ && R.Member_->Member_.Node_ == Node;
      });
  if (Older != Rumors_.end())
    *Older = std::move(NewRumor);
  else
    push(std::move(NewRumor));
}

void RumorQueue::add(GossipRecord Update) {
  Rumor NewRumor;
  NewRumor.Bytes_ = wireSize(Update);
  NewRumor.Record_ = std::move(Update);
  push(std::move(NewRumor));
}

void RumorQueue::announce(int64_t Offset) {
  std::erase_if(Rumors_, [](const Rumor &R) { return R.announces(); });
  add(GossipRecord{Offset, {}});
}

void RumorQueue::push(Rumor Update) {
  if (Rumors_.size() >= MaxRumors) {
    auto MostSent = std::max_element(Rumors_.begin(), Rumors_.end(),
                                     [](const Rumor &A, const Rumor &B) {
                                       return A.LocalSends_ < B.LocalSends_;
                                     });
    Rumors_.erase(MostSent);
  }
  Rumors_.push_back(std::move(Update));
}

int RumorQueue::Rumor::sends(RumorChannel Channel) const {
  return Channel == RumorChannel::Local ? LocalSends_ : RemoteSends_;
}

bool RumorQueue::Rumor::pending(RumorChannel Channel,
                                const RumorSendLimits &Limits) const {
  if (Channel == RumorChannel::Remote)
    return RemoteSends_ < Limits.RemoteSends_;
  if (announces())
    return LocalSends_ < Limits.LocalAnnouncementSends_;
  return LocalSends_ <
         (Member_ ? Limits.LocalMemberSends_ : Limits.LocalRecordSends_);
}

int RumorQueue::fill(wire::Datagram &Message, size_t AvailableBytes,
                     RumorChannel Channel, const RumorSendLimits &Limits) {
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
    if (R->Bytes_ > AvailableBytes)
      continue;
    AvailableBytes -= R->Bytes_;
    if (R->Member_)
      Message.members.push_back(toWire(R->Member_->Member_));
    else
      Message.records.push_back(toWire(R->Record_));
    ++(Channel == RumorChannel::Local ? R->LocalSends_ : R->RemoteSends_);
    ++Added;
  }
  return Added;
}

void RumorQueue::retire(const RumorSendLimits &Limits) {
  std::erase_if(Rumors_, [&](const Rumor &R) {
    return !R.pending(RumorChannel::Local, Limits) &&
           !R.pending(RumorChannel::Remote, Limits);
  });
}

bool RumorQueue::pending(RumorChannel Channel,
                         const RumorSendLimits &Limits) const {
  return std::any_of(Rumors_.begin(), Rumors_.end(), [&](const Rumor &R) {
    return R.pending(Channel, Limits);
  });
}

} // namespace coltsfoot
