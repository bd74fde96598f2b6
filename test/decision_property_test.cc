#include <absl/container/flat_hash_map.h>
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "test/decision_fixture.h"
#include "test/property.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kTeams = 3;
constexpr uint32_t kEndpoints = 6;
constexpr uint32_t kGrant = 5;
constexpr uint32_t kEventKinds = 10;

// One generated step: the event, and a number from which its details are derived.
struct step {
  uint32_t what = 0;
  uint32_t detail = 0;
};

// Keeps its own account of started and ended tasks, from the commands alone, and checks the core
// against it.
class checked_core : private decision_fixture {
 public:
  checked_core() {
    AddEndpoints(kEndpoints);
    for (team_index team = 0; team < kTeams; ++team) AddTeam(team, 1.0 + team, kGrant);
    used_.resize(kEndpoints);
    running_.resize(kTeams);
    grants_.resize(kTeams, kGrant);
    states_.resize(kEndpoints, endpoint_state::kOpen);
  }

  void Apply(const step& s) {
    now_ += milliseconds{s.detail % 700};
    switch (s.what % kEventKinds) {
      case 0:
      case 1:
      case 2:
        Submit(s.detail);
        break;
      case 3:
        EndOne(s.detail, task_end::kDone);
        break;
      case 4:
        EndOne(s.detail, s.detail % 3 == 0 ? task_end::kLost : task_end::kFailed);
        break;
      case 5:
        FailStart(s.detail);
        break;
      case 6:
        core_.Cancel({1, s.detail % (jobs_.size() + 1)}, now_);
        break;
      case 7:
        SetGrant(s.detail % kTeams, 1 + s.detail / 3 % kGrant);
        break;
      case 8:
        core_.SetUsageElsewhere(s.detail % kTeams, {1000 * (s.detail % 64), 1024, 0, 1},
                                milliseconds{500}, now_);
        break;
      default:
        ToggleEndpoint(s.detail);
    }
    HandleCommands(Decide());
  }

  // All running tasks end and stops take effect: every waiting job must get its turn.
  void DrainAll() {
    for (endpoint_index e = 0; e < kEndpoints; ++e) SetState(e, endpoint_state::kOpen);
    for (team_index team = 0; team < kTeams; ++team) SetGrant(team, kGrant);
    for (const job_request& job : jobs_) {
      if (job.kind == workload_kind::kService)
        core_.Cancel(job.id, now_);  // a service never ends on its own
    }
    for (int round = 0; round < 4000 && !open_.empty(); ++round) {
      HandleCommands(DecideFor(milliseconds{200}));
      const std::vector<task_id> live = Live();
      for (const task_id& task : live) End(task, task_end::kDone);
    }
    RC_ASSERT(open_.empty());
  }

 private:
  struct run {
    endpoint_index endpoint = 0;
    bool confirmed = false;
  };

  void Submit(uint32_t detail) {
    constexpr std::array kKinds = {workload_kind::kInteractive, workload_kind::kBatch,
                                   workload_kind::kGang, workload_kind::kService};
    const workload_kind kind = kKinds[detail % kKinds.size()];
    const uint32_t tasks = kind == workload_kind::kInteractive ? 1 : 1 + detail / 7 % 4;
    job_request job =
        Job(jobs_.size(), kind, 1000 * (1 + detail / 11 % 16), tasks, detail / 13 % kTeams);
    job.urgent = detail % 17 == 0;
    job.repeatable = detail % 5 != 0;
    job.declared_run_time = milliseconds{detail % 5000};
    if (kind == workload_kind::kInteractive && detail % 2 == 0) {
      job.deadline = now_ + milliseconds{200 + detail % 3000};
    }
    jobs_.push_back(job);
    if (core_.Submit(job, now_).queued) open_.insert(job.id.lo);
  }

  std::vector<task_id> Live() const {
    std::vector<task_id> live;
    live.reserve(runs_.size());
    for (const auto& [task, place] : runs_) live.push_back(task);
    std::sort(live.begin(), live.end());
    return live;
  }

  void End(const task_id& task, task_end end) {
    const job_request& job = jobs_[task.job.lo];
    used_[runs_[task].endpoint] -= job.each;
    --running_[job.team];
    runs_.erase(task);
    if (end == task_end::kLost) lost_.insert(task.job.lo);
    core_.Finished(task, end, milliseconds{300}, now_);
  }

  void EndOne(uint32_t detail, task_end end) {
    const std::vector<task_id> live = Live();
    if (!live.empty()) End(live[detail % live.size()], end);
  }

  void FailStart(uint32_t detail) {
    const std::vector<task_id> live = Live();
    if (live.empty()) return;
    const task_id task = live[detail % live.size()];
    if (runs_[task].confirmed) return;
    const job_request& job = jobs_[task.job.lo];
    used_[runs_[task].endpoint] -= job.each;
    --running_[job.team];
    runs_.erase(task);
    core_.StartFailed(task, detail % 2 == 0, now_);
  }

  void ToggleEndpoint(uint32_t detail) {
    const endpoint_index e = detail % kEndpoints;
    constexpr std::array kStates = {endpoint_state::kSilent, endpoint_state::kOpen,
                                    endpoint_state::kGone, endpoint_state::kOpen,
                                    endpoint_state::kLeaving};
    const endpoint_state state = kStates[detail / 6 % kStates.size()];
    if (state == endpoint_state::kGone) {
      for (const task_id& task : Live()) {
        if (runs_[task].endpoint != e) continue;
        lost_.insert(task.job.lo);
        used_[e] -= jobs_[task.job.lo].each;
        --running_[jobs_[task.job.lo].team];
        runs_.erase(task);
      }
    }
    SetState(e, state);
  }

  void SetState(endpoint_index e, endpoint_state state) {
    states_[e] = state;
    core_.SetEndpointState(e, state, now_);
  }

  // A grant below the running count stops nothing; nothing more may start until the team is back
  // within it.
  void SetGrant(team_index team, uint32_t running) {
    grants_[team] = running;
    core_.SetGrant(team, {{1000000000, 1000000000, 100000, 0}, running}, now_);
  }

  // Only repeatable batch jobs are preempted, or a gang that has lost a task. Some tasks ignore a
  // checkpoint request; none ignores a stop.
  void Stop(const command& c) {
    const job_request& job = jobs_[c.task.job.lo];
    if (c.why == stop_reason::kPreempted) {
      const bool preemptible = job.kind == workload_kind::kBatch && job.repeatable && !job.urgent;
      RC_ASSERT(preemptible || job.kind == workload_kind::kGang);
    }
    if (!runs_.contains(c.task) || (c.checkpoint && c.task.job.lo % 4 == 1)) return;
    End(c.task, c.checkpoint ? task_end::kCheckpointed : task_end::kStopped);
  }

  void HandleCommands(const std::vector<command>& commands) {
    absl::flat_hash_map<uint64_t, uint32_t> started;
    for (const command& c : commands) {
      if (c.kind == command_kind::kStart) {
        ++started[c.task.job.lo];
        Start(c);
      }
      if (c.kind == command_kind::kRefuse || c.kind == command_kind::kEnded) {
        RC_ASSERT(open_.erase(c.task.job.lo) == 1U);  // each job ends once
      }
    }
    // Confirmed, or left unconfirmed for a start that fails later.
    for (const command& c : commands) {
      if (c.kind == command_kind::kStart && c.task.job.lo % 3 != 0) {
        runs_[c.task].confirmed = true;
        core_.Started(c.task, now_);
      }
    }
    for (const command& c : commands) {
      if (c.kind == command_kind::kStop) Stop(c);
    }
    for (const auto& [number, count] : started) CheckGang(number);
  }

  void Start(const command& c) {
    const job_request& job = jobs_[c.task.job.lo];
    RC_ASSERT(job.repeatable || !lost_.contains(c.task.job.lo));
    for (const auto& [task, place] : runs_) {
      RC_ASSERT(task.job != c.task.job || task.index != c.task.index);  // runs on one endpoint only
    }
    RC_ASSERT(states_[c.endpoint] == endpoint_state::kOpen);  // a leaving endpoint gets no new work
    used_[c.endpoint] += job.each;
    RC_ASSERT(Fits(used_[c.endpoint], kWorker));
    RC_ASSERT(++running_[job.team] <= grants_[job.team]);
    runs_[c.task] = {c.endpoint, false};
  }

  // A gang that was started runs all tasks that have not ended.
  void CheckGang(uint64_t number) {
    const job_request& job = jobs_[number];
    if (job.kind != workload_kind::kGang) return;
    const auto waits = core_.WaitsFor(job.id);
    RC_ASSERT(waits.empty() || waits == "its other tasks to end");
  }

  std::vector<job_request> jobs_;
  std::vector<resources> used_;
  std::vector<uint32_t> running_;
  std::vector<uint32_t> grants_;
  std::vector<endpoint_state> states_;
  absl::flat_hash_map<task_id, run> runs_;
  std::set<uint64_t> open_;  // admitted jobs without a reported end
  std::set<uint64_t> lost_;  // jobs that lost a run
};

std::vector<step> DrawSteps() {
  const auto pairs = *rc::gen::container<std::vector<std::pair<uint32_t, uint32_t>>>(rc::gen::pair(
      rc::gen::inRange<uint32_t>(0, kEventKinds), rc::gen::inRange<uint32_t>(0, 100000)));
  std::vector<step> steps;
  steps.reserve(pairs.size());
  for (const auto& [what, detail] : pairs) steps.push_back({what, detail});
  return steps;
}

}  // namespace

// Random order of ends, losses, failed starts, cancellations, lost and leaving endpoints, reduced
// grants, ignored checkpoint requests and new jobs. No endpoint may exceed its capacity or get work
// while leaving, no team exceed its limit, no gang run incompletely, no job be preempted that is
// not preemptible, no job that is not repeatable be started again after a loss, and no job be
// forgotten.
TEST_CASE("decision core, random events, keeps its invariants", "[decisions][property]") {
  const property_run run{1, 1000, 400};
  CHECK(Holds(run, [] {
    checked_core core;
    for (const step& s : DrawSteps()) core.Apply(s);
    core.DrainAll();
  }));
}

TEST_CASE("decision core, same events, gives the same signature", "[decisions][property]") {
  const auto run = [] {
    decision_core core(core_options{7});
    monotonic_time now{seconds{10}};
    const resources limit{1000000, 1000000, 0, 0};
    core.SetTeam(0, {1.0, limit, 1000, 1000}, now);
    core.SetGrant(0, {limit, 1000}, now);
    for (endpoint_index e = 0; e < 8; ++e) {
      core.SetEndpoint(e, {kWorker, e / 2, 0}, endpoint_state::kOpen, now);
    }
    std::vector<command> out;
    for (uint64_t n = 0; n < 200; ++n) {
      job_request job;
      job.id = {1, n};
      job.each = {500 + 100 * static_cast<uint32_t>(n % 7), 1024, 0, 1};
      job.kind = n % 2 == 0 ? workload_kind::kInteractive : workload_kind::kBatch;
      core.Submit(job, now);
      core.Decide(now += milliseconds{3}, out);
    }
    return core.Signature();
  };
  CHECK(run() == run());
}

}  // namespace catkinford
