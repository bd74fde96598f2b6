// Admission of a simulated floor, under each load that it answers: one service, a few entries, an
// owner that makes figures, and workspaces that send jobs.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/admission/admission_gate.h"
#include "process/admission/figures_source.h"
#include "process/scheduling/arrival_rate_limit.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A job: ten tasks on two processors for one second. Its objective is 1.75 s, so it may start up
// to 4.25 s after its arrival.
constexpr double kJobProcessors = 20;
constexpr milliseconds kJobRun{1000};
constexpr milliseconds kJobUseful{4250};
constexpr double kShare = 2;  // jobs per second, of each workspace

class admission_floor {
 public:
  struct count {
    int accepted = 0;
    int shed = 0;
    int useless = 0;  // accepted and not started in time
  };

  explicit admission_floor(size_t workspaces, double capacity, size_t entries = 10)
      : capacity_(capacity), rates_(workspaces, kShare), due_(workspaces), limits_(workspaces) {
    for (size_t i = 0; i < entries; ++i) {
      gates_.push_back(std::make_unique<admission_gate>(
          gate_options{absl::StrCat("entry-", i), milliseconds(2000), milliseconds(3000)}));
    }
  }

  void SetRate(size_t workspace, double rate) { rates_[workspace] = rate; }
  void SetCapacity(double capacity) { capacity_ = capacity; }
  void Run(milliseconds time) {
    for (const auto until = now_ + time; now_ < until; now_ += kTick) Step();
  }
  count Total(size_t workspace) const {
    count out = counts_[workspace];
    for (const job& waiting : beyond_) {
      if (waiting.workspace == workspace && now_ - waiting.at > kJobUseful) ++out.useless;
    }
    return out;
  }
  count TakeCounts(size_t workspace) { return std::exchange(counts_[workspace], count{}); }
  // While the capacity for another job was free.
  int ShedWithFreeCapacity() const { return shed_with_free_; }
  milliseconds Wait() const { return source_.Waits().at("queue"); }

 private:
  static constexpr milliseconds kTick{10};
  struct job {
    std::string id;
    size_t workspace = 0;
    monotonic_time at{};
  };

  double Free() const {
    return std::max(0.0, capacity_ - kJobProcessors * static_cast<double>(running_.size()));
  }

  void Step() {
    while (!running_.empty() && running_.front() <= now_) running_.pop_front();
    for (std::deque<job>* queue : {&within_, &beyond_}) {
      while (!queue->empty() && Free() >= kJobProcessors) StartFirst(*queue);
    }
    for (size_t i = 0; i < rates_.size(); ++i) {
      due_[i] += rates_[i] * std::chrono::duration<double>(kTick).count();
      for (; due_[i] >= 1; due_[i] -= 1) Submit(i);
    }
    const auto since = now_ - kBegin;
    if (since % milliseconds(200) == monotonic_time::duration{0}) {
      source_.Update({Load()}, gates_.size(), now_);
    }
    if (since % milliseconds(500) != monotonic_time::duration{0}) return;
    for (size_t i = 0; i < gates_.size(); ++i) {
      gates_[i]->OnFigures(source_.For(absl::StrCat("entry-", i), now_), now_);
    }
  }

  void StartFirst(std::deque<job>& queue) {
    // Jobs that are of no use any more come last.
    const auto first = std::find_if(queue.begin(), queue.end(), [&](const job& waiting) {
      return now_ - waiting.at <= kJobUseful;
    });
    const auto chosen = first == queue.end() ? queue.begin() : first;
    if (now_ - chosen->at > kJobUseful) ++counts_[chosen->workspace].useless;
    source_.OnStart(chosen->id, now_);
    queue.erase(chosen);
    running_.push_back(now_ + kJobRun);
  }

  void Submit(size_t workspace) {
    // A third of the callers use the first entry.
    const size_t number = ++last_job_;
    const size_t entry = number % 3 == 0 ? 0 : number % gates_.size();
    submission asked;
    asked.id = absl::StrCat("job-", number);
    asked.queue = "queue";
    asked.workspace = absl::StrCat("workspace-", workspace);
    asked.useful = kJobUseful;
    asked.largest.cpu_milli = 2000;
    count& counts = counts_[workspace];
    const auto decision = gates_[entry]->Judge(asked, 1, now_);
    if (!decision.verdict.accept) {
      ++counts.shed;
      const double waiting = static_cast<double>(within_.size() + beyond_.size());
      if (Free() >= kJobProcessors * (1 + waiting)) ++shed_with_free_;
      return;
    }
    ++counts.accepted;
    const wall_time wall(std::chrono::duration_cast<milliseconds>(now_ - kBegin) +
                         std::chrono::hours(1));
    const bool beyond = limits_[workspace].Exceeds(kShare, wall);
    const typical_step step{{2000, 0, 0, 0}, 10};
    source_.OnJob({asked.id, "queue", "service", asked.workspace, absl::StrCat("entry-", entry), 0,
                   kShare, beyond, false, kJobUseful, kJobProcessors, step},
                  now_);
    if (!beyond) arrived_within_ += kJobProcessors;
    (beyond ? beyond_ : within_).push_back({asked.id, workspace, now_});
  }

  service_load Load() const {
    service_load out;
    out.service = "service";
    out.waiting_within = kJobProcessors * static_cast<double>(within_.size());
    for (const job& waiting : beyond_) {
      if (now_ - waiting.at <= kJobUseful) out.waiting_beyond[0] += kJobProcessors;
    }
    out.waiting_processors = out.waiting_within + out.waiting_beyond[0];
    out.arrived_within = arrived_within_;
    out.busy = kJobProcessors * static_cast<double>(running_.size());
    out.capacity = capacity_;
    out.free.push_back({static_cast<uint32_t>(Free() * 1000), 0, 0, 0});
    out.largest = {16000, 0, 0, 0};
    return out;
  }

  static constexpr monotonic_time kBegin{std::chrono::hours(1)};
  monotonic_time now_ = kBegin;
  double capacity_;
  std::vector<double> rates_;
  std::vector<double> due_;
  std::vector<arrival_rate_limit> limits_;
  std::vector<std::unique_ptr<admission_gate>> gates_;
  figures_source source_{1};
  std::deque<job> within_;
  std::deque<job> beyond_;
  std::deque<monotonic_time> running_;  // their ends
  mutable std::map<size_t, count> counts_;
  double arrived_within_ = 0;
  size_t last_job_ = 0;
  int shed_with_free_ = 0;
};

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
