// A simulated floor for the tests of admission: one service, a few entries, an owner that makes
// figures, and workspaces that send jobs. Time is simulated; there is no network.
#ifndef CATKINFORD_TEST_ADMISSION_FLOOR_H_
#define CATKINFORD_TEST_ADMISSION_FLOOR_H_

#include <algorithm>
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

// A job: ten tasks on two processors for one second. Its objective is 1.75 s, so it may start up
// to 4.25 s after its arrival.
inline constexpr double kJobProcessors = 20;
inline constexpr std::chrono::milliseconds kJobRun{1000};
inline constexpr std::chrono::milliseconds kJobUseful{4250};
inline constexpr double kShare = 2;  // jobs per second, of each workspace

class admission_floor {
 public:
  struct count {
    int sent = 0;
    int accepted = 0;
    int shed = 0;
    int useless = 0;  // accepted and not started in time
  };

  explicit admission_floor(size_t workspaces, double capacity, size_t entries = 10)
      : capacity_(capacity), rates_(workspaces, kShare), due_(workspaces), limits_(workspaces) {
    for (size_t i = 0; i < entries; ++i) {
      gates_.push_back(std::make_unique<admission_gate>(
          gate_options{absl::StrCat("entry-", i), std::chrono::milliseconds(2000),
                       std::chrono::milliseconds(3000)}));
    }
  }

  void SetRate(size_t workspace, double rate) { rates_[workspace] = rate; }
  void SetCapacity(double capacity) { capacity_ = capacity; }
  void Run(std::chrono::milliseconds time) {
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
  // Jobs rejected while the capacity for another one was free.
  int ShedWithFreeCapacity() const { return shed_with_free_; }
  std::chrono::milliseconds Wait() const { return source_.Waits().at("queue"); }

 private:
  static constexpr std::chrono::milliseconds kTick{10};
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
    if (since % std::chrono::milliseconds(200) == monotonic_time::duration{0}) {
      source_.Update({Load()}, gates_.size(), now_);
    }
    if (since % std::chrono::milliseconds(500) != monotonic_time::duration{0}) return;
    for (size_t i = 0; i < gates_.size(); ++i) Exchange(i);
  }

  void Exchange(size_t entry) {
    gates_[entry]->OnFigures(source_.For(absl::StrCat("entry-", entry), now_), now_);
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
    ++counts.sent;
    const auto decision = gates_[entry]->Judge(asked, 1, now_);
    if (!decision.verdict.accept) {
      ++counts.shed;
      const double waiting = static_cast<double>(within_.size() + beyond_.size());
      if (Free() >= kJobProcessors * (1 + waiting)) ++shed_with_free_;
      return;
    }
    ++counts.accepted;
    const wall_time wall(std::chrono::duration_cast<std::chrono::milliseconds>(now_ - kBegin) +
                         std::chrono::hours(1));
    accepted_job arrived;
    arrived.id = asked.id;
    arrived.queue = asked.queue;
    arrived.service = "service";
    arrived.workspace = asked.workspace;
    arrived.entry = absl::StrCat("entry-", entry);
    arrived.share = kShare;
    arrived.beyond = limits_[workspace].Exceeds(kShare, wall);
    arrived.useful = kJobUseful;
    arrived.work = kJobProcessors;
    arrived.step = {{2000, 0, 0, 0}, 10};
    source_.OnJob(arrived, now_);
    if (!arrived.beyond) arrived_within_ += kJobProcessors;
    (arrived.beyond ? beyond_ : within_).push_back({asked.id, workspace, now_});
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

}  // namespace catkinford

#endif  // CATKINFORD_TEST_ADMISSION_FLOOR_H_
