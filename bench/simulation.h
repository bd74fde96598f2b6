// Drives a scheduler at its interface, in virtual time, over generated work. It is a bench of the
// decisions and no model of a cluster: starts take no time, endpoints never fail, nothing lags.
#ifndef CATKINFORD_BENCH_SIMULATION_H_
#define CATKINFORD_BENCH_SIMULATION_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "bench/latency.h"
#include "bench/workload.h"
#include "process/decision_core.h"
#include "process/free_index.h"

namespace catkinford {

template <typename T>
concept simulated_scheduler = requires(T& s, const job_request& job, const task_id& task,
                                       monotonic_time now, std::vector<command>& out) {
  { s.Submit(job, now) } -> std::same_as<admission>;
  s.Finished(task, task_end::kDone, std::chrono::milliseconds{}, now);
  s.Decide(now, out);
  { s.NextWake() } -> std::same_as<monotonic_time>;
};

using wait_samples = latency_samples<std::chrono::milliseconds>;

struct simulation_result {
  std::array<wait_samples, 4> waits;  // by kind: from submission to the start of a task
  wait_samples urgent_waits;
  std::vector<wait_samples> caller_waits;  // by team: of interactive work, from its last try
  uint64_t started = 0;
  uint64_t in_time = 0;                 // interactive work that ended by its deadline
  uint64_t refused = 0;                 // each try counts
  uint64_t first_returns = 0;           // refused callers who came back for the first time
  uint64_t served_at_first_return = 0;  // of them, those whose work then started
  uint64_t preempted = 0;
  uint64_t cut_short = 0;      // preempted and stopped without a checkpoint
  uint64_t never_started = 0;  // jobs submitted in the first half of which no task started
  uint64_t over_capacity = 0;  // starts that did not fit: a fault of the scheduler
  double packing = 0;          // of the scarcest amount, up to the last time anything waited
  double share_error = 0;      // mean over time of the largest distance from share, as a part of 1
  uint64_t signature = 0;
};

struct simulation_options {
  uint64_t seed = 1;
  bool measure_share = false;
  std::chrono::milliseconds checkpoint_time{300};  // from a stop to the end of the run
  std::chrono::milliseconds stop_time{20};         // the same without a checkpoint
  double ignoring = 0;                          // part of the tasks that never write a checkpoint
  std::chrono::milliseconds share_from{10000};  // shares count from then on
  uint32_t most_returns = 0;  // how often a refused caller comes back when it was told to
};

template <simulated_scheduler scheduler>
class simulation {
 public:
  simulation(const workload& work, simulation_options options)
      : work_(work), options_(options), scheduler_(core_options{options.seed}) {
    free_.reserve(work.endpoints.size());
    for (const endpoint_shape& shape : work.endpoints) {
      scheduler_.SetEndpoint(static_cast<endpoint_index>(free_.size()), shape,
                             endpoint_state::kOpen, kStart);
      free_.push_back(shape.capacity);
      capacity_ += shape.capacity;
    }
    constexpr resources kUnlimited{UINT32_MAX / 2, UINT32_MAX / 2, UINT32_MAX / 2, 0};
    for (team_index t = 0; t < work.teams.size(); ++t) {
      const generated_team& team = work.teams[t];
      scheduler_.SetTeam(t, {team.weight, kUnlimited, team.running_limit, 1000000}, kStart);
      scheduler_.SetGrant(t, {kUnlimited, team.running_limit}, kStart);
      weights_ += team.weight;
    }
    team_used_.resize(work.teams.size());
    result_.caller_waits.resize(work.teams.size());
    tries_.resize(work.jobs.size());
  }

  simulation_result Run() {
    const monotonic_time end = kStart + work_.length;
    size_t next = 0;
    while (now_ < end) {
      while (next < work_.jobs.size() && Arrival(next) <= now_) Submit(next++);
      while (!returns_.empty() && returns_.top().first <= now_) SubmitReturned();
      while (!ends_.empty() && ends_.top().at <= now_) EndTop();
      Round();
      Account();
      monotonic_time wake = std::min(end, scheduler_.NextWake());
      if (next < work_.jobs.size()) wake = std::min(wake, Arrival(next));
      if (!ends_.empty()) wake = std::min(wake, ends_.top().at);
      if (!returns_.empty()) wake = std::min(wake, returns_.top().first);
      Advance(std::max(wake, now_));
    }
    Close();
    return std::move(result_);
  }

 private:
  struct ending {
    monotonic_time at{};
    uint64_t order = 0;
    task_id task;
    task_end how = task_end::kDone;
    bool operator>(const ending& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct running {
    endpoint_index endpoint = 0;
    monotonic_time started{};
    bool stopping = false;
  };
  struct job_state {
    size_t job = 0;
    monotonic_time submitted{};
    uint32_t started = 0;
    std::vector<std::chrono::milliseconds> left;
  };

  static constexpr monotonic_time kStart{std::chrono::hours{1}};

  monotonic_time Arrival(size_t job) const {
    return kStart + work_.jobs[job].request.submitted.time_since_epoch();
  }

  void Submit(size_t number) {
    const generated_job& job = work_.jobs[number];
    job_request request = job.request;
    request.submitted = now_;
    if (request.deadline != monotonic_time{}) {
      request.deadline = now_ + (job.request.deadline - job.request.submitted);
    }
    const uint32_t attempt = ++tries_[number];
    result_.first_returns += attempt == 2 ? 1 : 0;
    const admission admitted = scheduler_.Submit(request, now_);
    if (!admitted.queued) {
      Refused(number, admitted.retry_after);
      return;
    }
    waiting_ += request.tasks;
    states_[request.id] = {number, now_, 0, job.run_times};
  }

  void Refused(size_t number, std::chrono::milliseconds retry_after) {
    ++result_.refused;
    if (retry_after.count() == 0 || tries_[number] > options_.most_returns) return;
    returns_.push({now_ + retry_after, number});
  }

  void SubmitReturned() {
    const size_t number = returns_.top().second;
    returns_.pop();
    Submit(number);
  }

  void Round() {
    do {
      scheduler_.Decide(now_, commands_);
      for (const command& c : commands_) {
        if (c.kind == command_kind::kStart) Start(c);
        if (c.kind == command_kind::kStop) Stop(c);
        if (c.kind == command_kind::kRefuse) Refuse(c);
      }
      commands_.clear();
    } while (scheduler_.NextWake() <= now_);
  }

  void Start(const command& c) {
    job_state& state = states_[c.task.job];
    const job_request& request = work_.jobs[state.job].request;
    if (!Fits(c.amount, free_[c.endpoint])) ++result_.over_capacity;
    free_[c.endpoint] = SubtractOrZero(free_[c.endpoint], c.amount);
    used_ += c.amount;
    team_used_[request.team] += c.amount;
    runs_[c.task] = {c.endpoint, now_, false};
    scheduler_.Started(c.task, now_);
    if (c.task.attempt == 1) {
      const auto wait =
          std::chrono::duration_cast<std::chrono::milliseconds>(now_ - state.submitted);
      (request.urgent ? result_.urgent_waits : result_.waits[static_cast<size_t>(request.kind)])
          .Add(wait);
      if (request.kind == workload_kind::kInteractive) {
        result_.caller_waits[request.team].Add(wait);
      }
      ++result_.started;
      result_.served_at_first_return += tries_[state.job] == 2 ? 1 : 0;
    }
    ++state.started;
    --waiting_;
    ends_.push({now_ + state.left[c.task.index], ++order_, c.task, task_end::kDone});
  }

  void Stop(const command& c) {
    const auto found = runs_.find(c.task);
    if (found == runs_.end()) return;
    result_.preempted += found->second.stopping ? 0 : 1;
    found->second.stopping = true;
    if (!c.checkpoint) {
      ++result_.cut_short;
      ends_.push({now_ + options_.stop_time, ++order_, c.task, task_end::kStopped});
    } else if (!Ignores(c.task)) {
      ends_.push({now_ + options_.checkpoint_time, ++order_, c.task, task_end::kCheckpointed});
    }
  }

  bool Ignores(const task_id& task) const {
    constexpr uint64_t kSteps = 1000;
    const uint64_t drawn = (task.job.lo * 31 + task.index) * 0x9e3779b97f4a7c15ULL >> 32;
    return static_cast<double>(drawn % kSteps) < options_.ignoring * kSteps;
  }

  void Refuse(const command& c) {
    const auto found = states_.find(c.task.job);
    if (found == states_.end()) return;
    const size_t number = found->second.job;
    waiting_ -= work_.jobs[number].request.tasks;
    states_.erase(found);
    Refused(number, c.retry_after);
  }

  void EndTop() {
    const ending end = ends_.top();
    ends_.pop();
    const auto found = runs_.find(end.task);
    if (found == runs_.end()) return;  // it ended before its stop took effect
    const running run = found->second;
    runs_.erase(found);
    job_state& state = states_[end.task.job];
    const job_request& request = work_.jobs[state.job].request;
    const auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - run.started);
    free_[run.endpoint] += request.each;
    used_ -= request.each;
    team_used_[request.team] -= request.each;
    if (end.how == task_end::kStopped) {
      ++waiting_;
    } else if (end.how == task_end::kCheckpointed) {
      state.left[end.task.index] -= std::min(ran, state.left[end.task.index]);
      ++waiting_;
    } else if (request.kind == workload_kind::kInteractive) {
      const monotonic_time due = state.submitted + (request.deadline - request.submitted);
      result_.in_time += now_ <= due ? 1 : 0;
    }
    scheduler_.Finished(end.task, end.how, ran, now_);
  }

  // Distances from share, once in each virtual second.
  void Account() {
    if (!options_.measure_share || now_ < next_account_) return;
    next_account_ = now_ + std::chrono::seconds{1};
    if (now_ - kStart < options_.share_from) return;
    double total = 0;
    std::vector<double> parts;
    parts.reserve(team_used_.size());
    for (const resources& used : team_used_) parts.push_back(DominantShare(used, capacity_));
    for (const double part : parts) total += part;
    double worst = 0;
    for (size_t t = 0; t < parts.size(); ++t) {
      const double due = work_.teams[t].weight / weights_;
      worst = std::max(worst, std::abs(parts[t] / total - due));
    }
    share_sum_ += worst;
    ++share_count_;
  }

  void Advance(monotonic_time to) {
    const std::chrono::duration<double> span = to - now_;
    for (size_t a = 0; a < kAmounts; ++a) volume_[a] += AmountOf(used_, a) * span.count();
    now_ = to;
    if (waiting_ == 0) return;
    waited_until_ = now_;
    waited_volume_ = volume_;
  }

  void Close() {
    const std::chrono::duration<double> span = waited_until_ - kStart;
    for (size_t a = 0; a < kAmounts; ++a) {
      const double whole = AmountOf(capacity_, a) * span.count();
      if (whole > 0) result_.packing = std::max(result_.packing, waited_volume_[a] / whole);
    }
    if (share_count_ > 0) result_.share_error = share_sum_ / share_count_;
    const monotonic_time half = kStart + work_.length / 2;
    for (const auto& [id, state] : states_) {
      const bool early = Arrival(state.job) < half;
      result_.never_started += early && state.started == 0 ? 1 : 0;
    }
    result_.signature = scheduler_.Signature();
  }

  const workload& work_;
  simulation_options options_;
  scheduler scheduler_;
  simulation_result result_;
  monotonic_time now_ = kStart;
  std::vector<command> commands_;
  std::vector<resources> free_;
  std::vector<resources> team_used_;
  resources capacity_;
  resources used_;
  double weights_ = 0;
  absl::flat_hash_map<request_id, job_state> states_;
  absl::flat_hash_map<task_id, running> runs_;
  std::priority_queue<ending, std::vector<ending>, std::greater<>> ends_;
  using returning = std::pair<monotonic_time, size_t>;  // when, and number of the job
  std::priority_queue<returning, std::vector<returning>, std::greater<>> returns_;
  std::vector<uint32_t> tries_;  // by number of the job
  uint64_t order_ = 0;
  int64_t waiting_ = 0;
  std::array<double, kAmounts> volume_{};
  std::array<double, kAmounts> waited_volume_{};
  monotonic_time waited_until_ = kStart;
  monotonic_time next_account_ = kStart;
  double share_sum_ = 0;
  uint32_t share_count_ = 0;
};

template <simulated_scheduler scheduler>
simulation_result Simulate(const workload& work, const simulation_options& options) {
  return simulation<scheduler>(work, options).Run();
}

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_SIMULATION_H_
