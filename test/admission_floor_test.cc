// Admission of a whole floor, under each load that it answers.
#include "admission_floor.h"

#include <catch2/catch.hpp>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Eight workspaces with a share of two jobs a second; the floor can run 20 a second.
constexpr size_t kWorkspaces = 8;
constexpr double kCapacity = 400;

class floor_fixture {
 protected:
  int ShedOfOthers(size_t first) const {
    int out = 0;
    for (size_t i = first; i < kWorkspaces; ++i) out += floor_.Total(i).shed;
    return out;
  }
  admission_floor floor_{kWorkspaces, kCapacity};
};

}  // namespace

// Guards against jobs that are accepted and run when nobody waits for them any more.
TEST_CASE_METHOD(floor_fixture, "admission, one workspace at many times its share, is rejected",
                 "[admission]") {
  floor_.Run(seconds(10));
  floor_.SetRate(0, 7.5 * kShare);
  floor_.Run(seconds(20));
  const auto storm = floor_.Total(0);
  CHECK(ShedOfOthers(1) == 0);
  CHECK(floor_.ShedWithFreeCapacity() == 0);
  CHECK(storm.shed > 80);
  // Its share and what the others leave are 6 of the 15 jobs a second, 140 with the 20 before.
  CHECK(storm.accepted > 130);
  CHECK(storm.accepted < 210);
  CHECK(storm.useless < 35);
}

// Guards against a forecast that holds for one workspace and is granted to each of several.
TEST_CASE_METHOD(floor_fixture, "admission, two workspaces beyond their share, both are rejected",
                 "[admission]") {
  floor_.Run(seconds(10));
  floor_.SetRate(0, 6 * kShare);
  floor_.SetRate(1, 6 * kShare);
  floor_.Run(seconds(20));
  CHECK(ShedOfOthers(2) == 0);
  CHECK(floor_.ShedWithFreeCapacity() == 0);
  for (const size_t workspace : {0, 1}) {
    const auto total = floor_.Total(workspace);
    CHECK(total.shed > 60);
    CHECK(total.accepted >= 30 * kShare);
    CHECK(total.useless < 30);
  }
}

// Guards against the rejection of jobs that the workspaces are entitled to.
TEST_CASE("admission, all workspaces within their shares on a full floor, rejects nobody",
          "[admission]") {
  admission_floor floor(kWorkspaces, kCapacity / 2);
  floor.Run(seconds(30));
  for (size_t i = 0; i < kWorkspaces; ++i) CHECK(floor.Total(i).shed == 0);
}

// Guards against the rejection of the part that a workspace far beyond its share is entitled to.
TEST_CASE_METHOD(floor_fixture, "admission, no capacity beyond the shares, grants the share",
                 "[admission]") {
  floor_.Run(seconds(10));
  floor_.SetCapacity(kCapacity / 2);
  floor_.SetRate(0, 7.5 * kShare);
  floor_.Run(seconds(10));
  floor_.TakeCounts(0);
  floor_.Run(seconds(30));
  CHECK(ShedOfOthers(1) == 0);
  CHECK(floor_.Total(0).accepted >= 30 * kShare);
  CHECK(floor_.Total(0).accepted <= 30 * 2 * kShare);
}

// Guards against rejections where the workspace is far beyond its share but capacity is free.
TEST_CASE("admission, capacity is free, rejects nobody", "[admission]") {
  admission_floor floor(kWorkspaces, 3 * kCapacity);
  floor.Run(seconds(5));
  floor.SetRate(0, 15 * kShare);
  floor.Run(seconds(20));
  CHECK(floor.Total(0).shed == 0);
}

// Guards against figures that follow a loss or a return of capacity only after seconds.
TEST_CASE_METHOD(floor_fixture, "admission, half of the capacity lost and back, follows at once",
                 "[admission]") {
  floor_.SetRate(0, 2 * kShare);
  floor_.Run(seconds(20));
  CHECK(floor_.Total(0).shed == 0);
  floor_.SetCapacity(kCapacity / 2);
  floor_.Run(milliseconds(2200));
  CHECK(floor_.Wait() > kJobUseful);
  CHECK(floor_.Total(0).shed > 0);
  floor_.SetCapacity(kCapacity);
  floor_.Run(milliseconds(700));
  CHECK(floor_.Wait() <= kJobUseful);
  floor_.TakeCounts(0);
  floor_.Run(seconds(10));
  CHECK(floor_.Total(0).shed == 0);
  CHECK(ShedOfOthers(1) == 0);
}

}  // namespace catkinford
