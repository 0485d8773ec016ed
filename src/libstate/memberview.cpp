#include "memberview.h"

#include <algorithm>

namespace coltsfoot {

namespace {

std::string_view addressOf(const MemberPtr &Record) {
  return Record->Member_.Node_;
}

} // namespace

MemberView::MemberView(const MemberTable &Table)
    : All_(Table.records()), PresentCount_(Table.presentCount()),
      Version_(Table.version()) {
  std::sort(All_.begin(), All_.end(),
            [](const MemberPtr &A, const MemberPtr &B) {
              return addressOf(A) < addressOf(B);
            });
  for (const MemberPtr &Record : All_) {
    const Member &M = Record->Member_;
    if (M.State_ <= MemberState::Leaving && !M.Service_.empty())
      ByService_[M.Service_].push_back(Record);
    if (M.State_ == MemberState::Alive)
      ByZone_[M.Zone_].push_back(Record);
  }
}

const std::vector<MemberPtr> &
MemberView::gatesOf(std::string_view Service) const {
  static const std::vector<MemberPtr> None;
  auto Where = ByService_.find(Service);
  return Where == ByService_.end() ? None : Where->second;
}

const Member *MemberView::find(std::string_view Node) const {
  auto Where = std::lower_bound(
      All_.begin(), All_.end(), Node,
      [](const MemberPtr &A, std::string_view B) { return addressOf(A) < B; });
  if (Where == All_.end() || addressOf(*Where) != Node)
    return nullptr;
  return &(*Where)->Member_;
}

std::vector<MemberPtr> MemberView::readersOf(std::string_view Zone,
                                             int Count) const {
  auto Where = ByZone_.find(Zone);
  if (Where == ByZone_.end())
    return {};
  std::vector<MemberPtr> Readers = Where->second;
  auto Lowest = std::min(Readers.size(), static_cast<size_t>(Count));
  std::partial_sort(
      Readers.begin(), Readers.begin() + static_cast<std::ptrdiff_t>(Lowest),
      Readers.end(), [](const MemberPtr &A, const MemberPtr &B) {
        return stableHash(addressOf(A)) < stableHash(addressOf(B));
      });
  Readers.resize(Lowest);
  return Readers;
}

} // namespace coltsfoot
