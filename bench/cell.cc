#include "bench/cell.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <queue>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "bench/random_source.h"
#include "process/decision_core.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr resources kWorker{16000, 32768, 0, 8};
constexpr resources kEach{2000, 4096, 0, 1};
constexpr std::array<double, 6> kParts = {30, 25, 20, 10, 10, 5};
constexpr team_index kTeams = kParts.size();
constexpr team_index kLargest = 0;
constexpr milliseconds kRunTime{200};
constexpr milliseconds kSettle{10000};
constexpr milliseconds kWindow{5000};
constexpr uint32_t kDomains = 3;
constexpr double kGoal = 2.0;  // percentage points

class cell {
 public:
  explicit cell(const cell_options& options) : options_(options), random_(options.seed) {
    for (uint32_t s = 0; s < options_.shards; ++s) AddShard(s);
    for (team_index team = 0; team < kTeams; ++team) Begin(team);
  }

  cell_phase Run(bool all_present) {
    const bool comes_back = all_present && !present_[kLargest];
    present_[kLargest] = all_present;
    if (comes_back) Begin(kLargest);
    begin_ = now_;
    const monotonic_time end = now_ + options_.length;
    cell_phase phase;
    std::array<double, kTeams> late{};
    double last_off = 0;
    for (monotonic_time until = now_ + kWindow; until <= end; until += kWindow) {
      received_.fill(0);
      RunUntil(until);
      phase.windows.push_back(Distance(received_));
      const double at = std::chrono::duration<double>(until - begin_).count();
      if (phase.windows.back() > kGoal) last_off = at;
      if (until - begin_ <= kSettle) continue;
      for (team_index team = 0; team < kTeams; ++team) late[team] += received_[team];
    }
    phase.worst_after_10s = Distance(late);
    phase.settled_s = last_off;
    return phase;
  }

 private:
  enum class happening : uint8_t { kEnd, kReport, kHear };
  struct event {
    monotonic_time at{};
    uint64_t order = 0;
    happening what = happening::kEnd;
    uint32_t shard = 0;
    task_id task;
    std::array<resources, kTeams> use{};
    bool operator>(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct shard_state {
    std::unique_ptr<decision_core> core;
    std::array<resources, kTeams> reported{};  // as all others heard it last
  };

  void AddShard(uint32_t number) {
    shard_state s;
    s.core = std::make_unique<decision_core>(core_options{options_.seed + number});
    for (endpoint_index e = 0; e < options_.endpoints; ++e) {
      s.core->SetEndpoint(e, {kWorker, 0, 0}, endpoint_state::kOpen, now_);
    }
    const uint32_t all = options_.endpoints * options_.shards;
    s.core->SetCellCapacity({kWorker.cpu_milli * all, kWorker.memory_mb * all, 0, 8 * all});
    const resources limit{UINT32_MAX / 2, UINT32_MAX / 2, 0, 0};
    for (team_index team = 0; team < kTeams; ++team) {
      s.core->SetTeam(team, {kParts[team], limit, 1000000, 1000000}, now_);
      s.core->SetGrant(team, {limit, 1000000}, now_);
    }
    shards_.push_back(std::move(s));
    Push(milliseconds{random_.Below(static_cast<uint32_t>(options_.news.count()))},
         happening::kReport, number);
  }

  event& Push(milliseconds in, happening what, uint32_t shard) {
    pending_.at = now_ + in;
    pending_.order = ++order_;
    pending_.what = what;
    pending_.shard = shard;
    if (what != happening::kEnd) events_.push(pending_);
    return pending_;
  }

  void Begin(team_index team) {
    for (uint32_t i = 0; i < options_.outstanding * options_.shards; ++i) Submit(team);
  }

  // To a shard by the hash of its identity; work of every other team may be tied to one domain.
  void Submit(team_index team) {
    job_request job;
    job.id = {team, ++last_job_};
    job.team = team;
    job.kind = workload_kind::kInteractive;
    job.each = kEach;
    job.submitted = now_;
    uint32_t to = random_.Below(options_.shards);
    if (options_.uneven && team % 2 == 1) to = to / kDomains * kDomains;
    shards_[to].core->Submit(job, now_);
    Decide(to);
  }

  void Decide(uint32_t number) {
    decision_core& core = *shards_[number].core;
    commands_.clear();
    do {
      core.Decide(now_, commands_);
    } while (core.NextWake() <= now_);
    for (const command& c : commands_) {
      if (c.kind != command_kind::kStart) continue;
      core.Started(c.task, now_);
      const uint32_t half = static_cast<uint32_t>(kRunTime.count()) / 2;
      event& end = Push(milliseconds{half + random_.Below(2 * half)}, happening::kEnd, number);
      end.task = c.task;
      events_.push(end);
      const std::chrono::duration<double> run = end.at - now_;
      received_[c.task.job.hi] += run.count();
    }
  }

  void RunUntil(monotonic_time until) {
    while (!events_.empty() && events_.top().at <= until) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      if (next.what == happening::kEnd) End(next);
      if (next.what == happening::kReport) Report(next.shard);
      if (next.what == happening::kHear) shards_[next.shard].reported = next.use;
    }
    now_ = until;
  }

  void End(const event& end) {
    const auto team = static_cast<team_index>(end.task.job.hi);
    shards_[end.shard].core->Finished(end.task, task_end::kDone, kRunTime, now_);
    if (present_[team]) Submit(team);
    Decide(end.shard);
  }

  // Tells the others what runs here, and takes in what they told.
  void Report(uint32_t number) {
    pending_.use = {};
    for (team_index team = 0; team < kTeams; ++team) {
      pending_.use[team] = shards_[number].core->Usage(team).running;
    }
    Push(options_.lag, happening::kHear, number);
    Push(options_.news, happening::kReport, number);
    for (team_index team = 0; team < kTeams; ++team) {
      resources others;
      for (uint32_t s = 0; s < shards_.size(); ++s) {
        if (s != number) others += shards_[s].reported[team];
      }
      shards_[number].core->SetUsageElsewhere(team, others, options_.news / 2 + options_.lag, now_);
    }
    Decide(number);
  }

  double Distance(const std::array<double, kTeams>& received) const {
    double all = 0;
    double shares = 0;
    for (team_index team = 0; team < kTeams; ++team) {
      if (!present_[team]) continue;
      all += received[team];
      shares += kParts[team];
    }
    double worst = 0;
    for (team_index team = 0; team < kTeams; ++team) {
      if (!present_[team]) continue;
      worst = std::max(worst, std::abs(received[team] / all - kParts[team] / shares) * 100);
    }
    return worst;
  }

  cell_options options_;
  random_source random_;
  monotonic_time now_{std::chrono::hours{1}};
  monotonic_time begin_ = now_;
  std::vector<shard_state> shards_;
  std::array<bool, kTeams> present_{true, true, true, true, true, true};
  std::array<double, kTeams> received_{};  // processor time of what was started, by team
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  event pending_;
  uint64_t order_ = 0;
  uint64_t last_job_ = 0;
  std::vector<command> commands_;
};

}  // namespace

std::vector<cell_phase> RunCell(const cell_options& options) {
  cell all(options);
  std::vector<cell_phase> phases;
  for (const bool present : {true, false, true}) phases.push_back(all.Run(present));
  return phases;
}

}  // namespace catkinford
