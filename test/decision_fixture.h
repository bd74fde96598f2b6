// A decision core with a few endpoints, in virtual time.
#ifndef CATKINFORD_TEST_DECISION_FIXTURE_H_
#define CATKINFORD_TEST_DECISION_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "process/decision_core.h"

namespace catkinford {

constexpr resources kWorker{16000, 32768, 0, 8};
constexpr uint32_t kEndpointsInRack = 8;

class decision_fixture {
 public:
  decision_fixture() { AddTeam(0, 1.0); }

 protected:
  void AddEndpoints(uint32_t count, endpoint_state state = endpoint_state::kOpen,
                    const resources& capacity = kWorker) {
    for (uint32_t i = 0; i < count; ++i) {
      core_.SetEndpoint(endpoints_, {capacity, endpoints_ / kEndpointsInRack, 0}, state, now_);
      ++endpoints_;
    }
  }

  void AddTeam(team_index team, double weight, uint32_t running_limit = 100000,
               uint32_t queue_limit = 100000) {
    const resources limit{1000000000, 1000000000, 100000, 0};
    core_.SetTeam(team, {weight, limit, running_limit, queue_limit}, now_);
    core_.SetGrant(team, {limit, running_limit}, now_);
  }

  job_request Job(uint64_t number, workload_kind kind, uint32_t cpu_milli, uint32_t tasks = 1,
                  team_index team = 0) const {
    job_request job;
    job.id = {1, number};
    job.team = team;
    job.kind = kind;
    job.tasks = tasks;
    job.each = {cpu_milli, 1024, 0, 1};
    job.submitted = now_;
    return job;
  }

  // The commands of one round and of all rounds that follow immediately.
  std::vector<command> Decide() {
    std::vector<command> out;
    do {
      core_.Decide(now_, out);
    } while (core_.NextWake() <= now_);
    return out;
  }

  // Runs rounds at each time that NextWake() returns, up to `span` from now.
  std::vector<command> DecideFor(std::chrono::milliseconds span) {
    std::vector<command> out = Decide();
    const monotonic_time end = now_ + span;
    while (core_.NextWake() <= end) {
      now_ = core_.NextWake();
      const std::vector<command> more = Decide();
      out.insert(out.end(), more.begin(), more.end());
    }
    now_ = end;
    return out;
  }

  static std::vector<command> Only(const std::vector<command>& all, command_kind kind) {
    std::vector<command> some;
    for (const command& c : all) {
      if (c.kind == kind) some.push_back(c);
    }
    return some;
  }

  // Submits the job and confirms all starts that follow.
  std::vector<command> Run(const job_request& job) {
    core_.Submit(job, now_);
    std::vector<command> starts = Only(Decide(), command_kind::kStart);
    for (const command& start : starts) core_.Started(start.task, now_);
    return starts;
  }

  monotonic_time now_{std::chrono::hours{1}};
  decision_core core_{core_options{}};
  endpoint_index endpoints_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_TEST_DECISION_FIXTURE_H_
