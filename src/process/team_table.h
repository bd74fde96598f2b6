// Usage, limits and share of each team in this shard.
#ifndef CATKINFORD_PROCESS_TEAM_TABLE_H_
#define CATKINFORD_PROCESS_TEAM_TABLE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

#include "process/decision_core.h"
#include "process/free_index.h"
#include "process/shard_capacity.h"
#include "process/usage_forecast.h"

namespace catkinford {

struct team_record {
  team_terms terms;
  team_grant grant;
  resources running;
  usage_forecast elsewhere;  // running in other shards
  resources interactive;     // the part of `running` used by interactive tasks
  std::array<uint64_t, kAmounts> queued{};
  uint32_t running_tasks = 0;
  uint32_t interactive_tasks = 0;
  uint32_t queued_tasks = 0;
  bool known = false;
  double ratio = 0;  // dominant share of the cell divided by the weight: the lowest is served first
};

class team_table {
 public:
  // The team's record, created on first use.
  team_record& operator[](team_index team);
  const team_record* Find(team_index team) const {
    return team < teams_.size() ? &teams_[team] : nullptr;
  }
  size_t Size() const { return teams_.size(); }

  void SetTerms(team_index team, const team_terms& terms);
  void SetCellCapacity(const resources& capacity);
  // The base for computing shares while the capacity of the cell is unknown.
  void SetShardCapacity(const resources& capacity);
  // Records what the team ran in all other shards, `age` ago on average.
  void SetElsewhere(team_index team, const resources& running, std::chrono::milliseconds age,
                    monotonic_time now);

  void AddRunning(team_index team, const job_request& job);
  void RemoveRunning(team_index team, const job_request& job);
  void AddQueued(team_index team, const resources& each, uint32_t tasks);
  void RemoveQueued(team_index team, const resources& each, uint32_t tasks);

  // Whether `count` more tasks of `each` stay within the team's grant in this shard. Capacity that
  // is not fenced yet counts as if this team used all of it: a former owner may have started tasks
  // there for any team, and the limit could be exceeded unnoticed.
  bool WithinGrant(team_index team, const resources& each, uint32_t count,
                   const shard_capacity& endpoints) const;
  // Whether the team is at or below the fraction of the cell that its weight gives it among the
  // teams with running or waiting tasks.
  bool WithinShare(team_index team) const { return !BeyondShare(team, 1.0); }
  // Whether it runs more than `times` that fraction.
  bool BeyondShare(team_index team, double times) const;

  uint32_t RunningTasks() const { return running_tasks_; }
  uint32_t QueuedTasks() const { return queued_tasks_; }

 private:
  void UpdateRatio(team_record& team) const;
  void UpdateActive(const team_record& team, bool was_active);
  void UpdateRelativeSizes();

  std::vector<team_record> teams_;
  resources cell_;
  resources shard_;
  usage_forecast::relative_sizes others_{};  // rest of the cell, relative to this shard
  double active_weight_ = 0;
  uint32_t active_teams_ = 0;
  uint32_t running_tasks_ = 0;
  uint32_t queued_tasks_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_TEAM_TABLE_H_
