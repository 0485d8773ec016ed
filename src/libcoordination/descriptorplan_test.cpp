#include "descriptorplan.h"

#include "coltsfootpoint/settings.h"

#include <doctest/doctest.h>

using namespace coltsfoot;

namespace {

LimitSettings limits(int Callers, int Reserved) {
  LimitSettings Limits;
  Limits.Callers_ = Callers;
  Limits.ReservedDescriptors_ = Reserved;
  return Limits;
}

} // namespace

TEST_CASE("callers leave the reserved descriptors free") {
  DescriptorPlan Plan = planDescriptors(limits(4096, 1200), 4100);
  CHECK(Plan.Callers_ == 2900);
  CHECK(Plan.KeptCallers_ == 2175);
  CHECK(Plan.OtherCallers_ == 150);
}

TEST_CASE("the configured number of callers is kept where descriptors are "
          "plenty") {
  DescriptorPlan Plan = planDescriptors(limits(4096, 512), 1'000'000);
  CHECK(Plan.Callers_ == 4096);
}

TEST_CASE("half of few descriptors are left to callers") {
  CHECK(planDescriptors(limits(4096, 512), 256).Callers_ == 128);
  CHECK(planDescriptors(limits(4096, 512), 2).Callers_ == 1);
  CHECK(planDescriptors(limits(1, 512), 2).OtherCallers_ == 1);
}

TEST_CASE("configured descriptors come before the limit of the system") {
  LimitSettings Limits = limits(4096, 512);
  Limits.Descriptors_ = 777;
  CHECK(availableDescriptors(Limits) == 777);
  Limits.Descriptors_ = 0;
  CHECK(availableDescriptors(Limits) > 0);
}
