#include "descriptors.h"

#include <cerrno>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

using namespace coltsfoot;

namespace {

/// Opened descriptors, closed at the end of the scope.
struct OpenDescriptors {
  std::vector<int> All_;
  OpenDescriptors() = default;
  OpenDescriptors(const OpenDescriptors &) = delete;
  OpenDescriptors &operator=(const OpenDescriptors &) = delete;
  ~OpenDescriptors() {
    for (int Each : All_)
      ::close(Each);
  }

  /// Opens one more; returns whether that was allowed.
  bool open() {
    int Added = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (Added >= 0)
      All_.push_back(Added);
    return Added >= 0;
  }
};

/// Sets another limit on the descriptors for the duration of a scope.
struct LowerLimit {
  rlimit Before_{};
  explicit LowerLimit(rlim_t Allowed) {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &Before_) == 0);
    rlimit Changed{Allowed, Before_.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &Changed) == 0);
  }
  LowerLimit(const LowerLimit &) = delete;
  LowerLimit &operator=(const LowerLimit &) = delete;
  ~LowerLimit() { ::setrlimit(RLIMIT_NOFILE, &Before_); }
};

} // namespace

TEST_CASE("descriptors in use are counted, the last one allowed included") {
  auto Before = descriptorsInUse();
  REQUIRE(Before);
  REQUIRE(*Before > 0);
  const LowerLimit Limit(static_cast<rlim_t>(*Before) + 100);
  CHECK(descriptorLimit() == *Before + 100);
  OpenDescriptors Opened;
  for (int Count = 0; Count < 10; ++Count)
    REQUIRE(Opened.open());
  CHECK(descriptorsInUse() == *Before + 10);
  while (Opened.open()) {
  }
  CHECK(errno == EMFILE);
  CHECK(descriptorsInUse() ==
        *Before + static_cast<int64_t>(Opened.All_.size()));
}
