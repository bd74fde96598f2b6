// Simulates three shards, one in each failure domain, each with a log and one endpoint, and
// messages between them that are lost, duplicated and delayed. For tests of jobs that are spread
// over shards.
#ifndef CATKINFORD_TEST_PARTS_SIMULATION_H_
#define CATKINFORD_TEST_PARTS_SIMULATION_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "process/shard.h"

namespace catkinford {

constexpr size_t kSites = 3;

class parts_simulation {
 public:
  explicit parts_simulation(uint64_t seed);

  // Places a service of `replicas`, spread evenly, whose home is the first site. May be repeated,
  // as by a caller.
  void Start(uint32_t replicas);
  void Cancel();
  // Lets all shards act and executes their actions.
  void Step(std::chrono::milliseconds time);
  // A new owner with a higher epoch reads the log; the endpoint keeps running. Writes in flight may
  // or may not have taken effect.
  void ReplaceOwner(size_t site);
  // Everything in a site's domain is lost, including its owner; another entry answers for the shard
  // and moves its jobs until ReplaceOwner() gives the shard back to the domain.
  void LoseAndEvacuate(size_t site);
  void CutOff(size_t site, bool cut) { cut_[site] = cut; }
  // Probabilities of faults of messages and records, in percent.
  struct odds {
    int lost = 0;
    int doubled = 0;
    int late = 0;
    int not_recorded = 0;
    int slow_store = 0;
  };
  void SetOdds(const odds& to) { odds_ = to; }
  // Sets how many tasks of a team may be queued in a site.
  void SetQueueLimit(size_t site, uint32_t tasks);

  // For each replica, the number of endpoints where it runs now.
  std::map<uint32_t, int> Running() const;
  std::set<uint32_t> RunningAt(size_t site) const;
  // Whether a replica ever ran at two endpoints at the same time.
  bool RanTwice() const { return ran_twice_; }
  const std::vector<outcome>& Outcomes() const { return outcomes_; }
  bool WasReported(outcome_kind kind) const;
  // Whether the caller was answered that the service is over.
  bool WasReportedOver() const;
  monotonic_time Now() const { return now_; }
  shard& At(size_t site) { return *sites_[site].owner; }
  int Below(int limit) { return static_cast<int>(random_() % static_cast<uint64_t>(limit)); }

 private:
  struct site_state {
    std::string name;
    uint64_t epoch = 1;
    uint64_t next_seq = 1;
    uint32_t queue_limit = 1000;
    bool evacuated = false;
    std::unique_ptr<shard> owner;
    std::map<request_id, place_message> log;
    std::set<task_id> running;
  };
  // A write to a log that is in flight.
  struct log_write {
    size_t site = 0;
    request_id job;
    std::optional<place_message> record;  // absent: the job is over
  };
  using parts_message = std::variant<place_message, cancel_message, part_answer_message>;
  struct sent_message {
    size_t from = 0;
    size_t to = 0;
    uint64_t to_epoch = 0;  // epoch of the process it is addressed to
    parts_message body;
  };

  void Open(size_t site);
  void ChangeOwner(size_t site, bool evacuated);
  std::vector<job_part> SplitAwayFrom(size_t site, uint32_t tasks) const;
  void Configure(size_t site);
  size_t SiteOf(const std::string& shard) const;
  std::string EntryOf(size_t site) const;
  void Send(size_t from, size_t to, uint64_t to_epoch, parts_message body);
  void Deliver();
  void Commit(size_t site);
  void NotifyRecorded(const log_write& done);
  void Handle(const sent_message& sent);
  endpoint_reply ReplyOf(size_t site) const;
  void Execute(size_t site, const fence_action& action);
  void Execute(size_t site, const start_action& action);
  void Execute(size_t site, const stop_action& action);
  void Execute(size_t site, const record_action& action);
  void Execute(size_t site, const complete_action& action);
  void Execute(size_t site, const part_action& action);
  void Execute(size_t site, const part_answer_action& action);
  void Execute(size_t site, const answer_action& action);
  template <typename Other>
  void Execute(size_t /*site*/, const Other& /*action*/) {}

  std::mt19937_64 random_;
  odds odds_;
  team_names teams_;
  std::array<site_state, kSites> sites_;
  std::array<bool, kSites> cut_{};
  std::vector<sent_message> in_flight_;
  std::deque<log_write> writes_;
  std::vector<outcome> outcomes_;
  place_message service_;
  bool ran_twice_ = false;
  monotonic_time now_ = monotonic_time{} + std::chrono::hours{1};
};

}  // namespace catkinford

#endif  // CATKINFORD_TEST_PARTS_SIMULATION_H_
