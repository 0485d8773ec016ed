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
  auto It = ByService_.find(Service);
  return It == ByService_.end() ? None : It->second;
}

const Member *MemberView::find(std::string_view Node) const {
  auto It = std::lower_bound(
      All_.begin(), All_.end(), Node,
      [](const MemberPtr &A, std::string_view B) { return addressOf(A) < B; });
  if (It == All_.end() || addressOf(*It) != Node)
    return nullptr;
  return &(*It)->Member_;
}

std::vector<MemberPtr> MemberView::logReadersOf(std::string_view Zone,
                                                int Count) const {
  auto It = ByZone_.find(Zone);
  if (It == ByZone_.end())
    return {};
  std::vector<MemberPtr> Readers = It->second;
  auto ReaderCount = std::min(Readers.size(), static_cast<size_t>(Count));
  std::partial_sort(Readers.begin(),
                    Readers.begin() + static_cast<std::ptrdiff_t>(ReaderCount),
                    Readers.end(), [](const MemberPtr &A, const MemberPtr &B) {
                      return stableHash(addressOf(A)) <
                             stableHash(addressOf(B));
                    });
  Readers.resize(ReaderCount);
  return Readers;
}

std::vector<std::string_view> MemberView::zones() const {
  std::vector<std::string_view> Names;
  for (const auto &[Zone, Members] : ByZone_)
    Names.push_back(Zone);
  return Names;
}

} // namespace coltsfoot
