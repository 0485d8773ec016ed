#include "configcatchup.h"

#include <algorithm>

namespace coltsfoot {

namespace {
constexpr size_t MaxHolders = 16;
} // namespace

void ConfigCatchUp::onNews(const std::string &Peer, int64_t Offset,
                           Millis Now) {
  if (Offset <= Applied_)
    return;
  if (!BehindSince_)
    BehindSince_ = Now;
  std::erase_if(Holders_,
                [&](const Holder &Each) { return Each.Peer_ == Peer; });
  Holders_.insert(Holders_.begin(), Holder{Peer, Offset});
  Holders_.resize(std::min(Holders_.size(), MaxHolders));
}

void ConfigCatchUp::onApplied(int64_t Offset) {
  if (Offset <= Applied_)
    return;
  Applied_ = Offset;
  std::erase_if(Holders_,
                [&](const Holder &Each) { return Each.Offset_ <= Applied_; });
  LastAsked_.reset();
  if (Holders_.empty())
    BehindSince_.reset();
}

void ConfigCatchUp::onAnswered(const std::string &Peer, bool HadConfig) {
  std::erase(Asked_, Peer);
  if (!HadConfig)
    std::erase_if(Holders_,
                  [&](const Holder &Each) { return Each.Peer_ == Peer; });
}

bool ConfigCatchUp::isAsked(const std::string &Peer) const {
  return std::find(Asked_.begin(), Asked_.end(), Peer) != Asked_.end();
}

const ConfigCatchUp::Holder *ConfigCatchUp::findPeer() const {
  auto Found =
      std::find_if(Holders_.begin(), Holders_.end(),
                   [&](const Holder &Each) { return !isAsked(Each.Peer_); });
  return Found == Holders_.end() ? nullptr : &*Found;
}

bool ConfigCatchUp::lacksPeers() const { return behind() && !findPeer(); }

Millis ConfigCatchUp::startTime() const {
  return SourceLost_ ? *BehindSince_ : *BehindSince_ + Options_.GracePeriod_;
}

std::vector<std::string> ConfigCatchUp::takePeers(Millis Now) {
  std::optional<Millis> Due = nextTime();
  if (!Due || Now < *Due)
    return {};
  size_t Count = LastAsked_ ? 1 : Options_.PeersAtOnce_;
  std::vector<std::string> Taken;
  while (Taken.size() < Count && Asked_.size() < Options_.MaxAsked_) {
    const Holder *Next = findPeer();
    if (!Next)
      break;
    Taken.push_back(Next->Peer_);
    Asked_.push_back(Next->Peer_);
  }
  if (!Taken.empty())
    LastAsked_ = Now;
  return Taken;
}

std::optional<Millis> ConfigCatchUp::nextTime() const {
  if (!behind() || !findPeer() || Asked_.size() >= Options_.MaxAsked_)
    return {};
  if (LastAsked_)
    return *LastAsked_ + Options_.NextPeerInterval_;
  return startTime();
}

} // namespace coltsfoot
