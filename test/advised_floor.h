// A scheduler with instances that answer at once and a policy that allows every instance. Runs end
// after a time that the test sets for each job.
#ifndef CATKINFORD_TEST_ADVISED_FLOOR_H_
#define CATKINFORD_TEST_ADVISED_FLOOR_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"

namespace catkinford {

class advised_floor {
 public:
  explicit advised_floor(resources workspace_maximum = {}) {
    queue_config urgent;
    urgent.name = "urgent";
    urgent.jobs.service = "service";
    urgent.jobs.max_attempts = 2;
    urgent.jobs.needs_advice = true;
    urgent.advice = advice_timing{std::chrono::milliseconds{20}, std::chrono::microseconds{500},
                                  std::chrono::seconds{2}};
    queue_config patient = urgent;
    patient.name = "patient";
    patient.jobs.priority = 2;
    owner.SetVersion(std::make_shared<const site_configuration>(
        1, std::vector<queue_config>{urgent, patient},
        std::vector<workspace_config>{{"first", {}, kAmpleWeight, workspace_maximum},
                                      {"second", {}, kAmpleWeight, {}}},
        std::vector<service_config>{}, caller_limits{}));
    owner.SetUnrecordedStarts(true);
  }

  void AddInstances(size_t count, resources capacity, const std::string& label = "") {
    for (size_t i = 0; i < count; ++i) {
      instance_report report = SmallInstance(absl::StrCat("instance-", reports.size()));
      report.capacity = capacity;
      if (!label.empty()) report.labels = {label};
      reports.push_back(report);
    }
    Register();
  }
  // What the instance's runs leave free, as the instance itself knows.
  resources FreeAt(const instance_report& report) const {
    resources free = report.capacity;
    const auto found = at_work_.find(report.id);
    if (found == at_work_.end()) return free;
    for (const run& each : found->second) free -= NeedOf(each.start.key);
    return free;
  }
  size_t RunsAt(const std::string& instance) const {
    const auto found = at_work_.find(instance);
    return found == at_work_.end() ? 0 : found->second.size();
  }
  size_t RunsAt(const std::string& instance, uint32_t job) const {
    const auto found = at_work_.find(instance);
    if (found == at_work_.end()) return 0;
    return static_cast<size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const run& each) { return each.start.key.job == JobId(job); }));
  }
  // Those with the label are gone from the registry; what they ran has ended with them.
  void RemoveInstances(const std::string& label) {
    std::erase_if(reports, [&](const instance_report& report) {
      return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
    });
    Register();
  }
  void Register() {
    owner.OnRegistry(reports, now);
    Decide();
    owner.OnFleetStored(owner.Fleet());
  }

  // The first queue comes before the second one.
  void SubmitUrgent(uint32_t number, step_spec step, std::chrono::milliseconds runs_for) {
    Submit("urgent", "first", number, std::move(step), runs_for);
  }
  void SubmitPatient(uint32_t number, step_spec step, std::chrono::milliseconds runs_for) {
    Submit("patient", "second", number, std::move(step), runs_for);
  }
  void Submit(const std::string& queue, const std::string& workspace, uint32_t number,
              step_spec step, std::chrono::milliseconds runs_for) {
    graph_job job = Job(number, {std::move(step)});
    job.queue = queue;
    job.workspace = workspace;
    SubmitJob(std::move(job), runs_for);
  }
  // Of a queue that the configuration does not name, its tasks need no tickets.
  void SubmitJob(graph_job job, std::chrono::milliseconds runs_for) {
    SubmitJob(std::move(job), [runs_for](const task_key&) { return runs_for; });
  }
  void SubmitJob(graph_job job,
                 std::function<std::chrono::milliseconds(const task_key&)> duration) {
    durations_[job.id] = std::move(duration);
    for (const step_spec& step : job.steps) needs_[job.id].push_back(step.need);
    owner.OnJob(std::move(job), "", false, wall_time{}, now);
  }

  void Decide() {
    scheduler_commands commands = owner.Decide(wall_time{}, now);
    // Each answer may release the next start.
    for (std::vector<start_command> more = std::move(commands.starts); !more.empty();
         more = owner.TakeStarts(now)) {
      Answer(std::move(more));
    }
    for (const list_command& listing : commands.listings) Answer(listing);
    for (const advice_query& query : commands.advice) Answer(query);
  }
  void Answer(std::vector<start_command> commands) {
    for (start_command& start : commands) {
      owner.OnStartAnswer(start, {command_result::kDone, Clock()}, now);
      started_.insert(start.key.job);
      ++starts_;
      const monotonic_time ends = now + durations_.at(start.key.job)(start.key);
      std::vector<run>& runs = at_work_[start.to.instance];
      runs.push_back({std::move(start), ends});
    }
  }
  void Answer(const advice_query& query) {
    advice_answer answer;
    answer.answered = true;
    answer.valid = std::chrono::seconds{2};
    for (const std::string& id : query.instances) {
      if (!excluded.contains(id)) answer.allowed.emplace_back(id, "ticket");
    }
    owner.OnAdvice(query, answer, now);
  }
  void Run(std::chrono::milliseconds duration) {
    for (const monotonic_time end = now + duration; now < end;) {
      now += std::chrono::milliseconds(20);
      Decide();
    }
  }
  bool Started(uint32_t job) const { return started_.contains(JobId(job)); }
  size_t RunsOf(uint32_t job) const {
    size_t count = 0;
    for (const auto& [id, runs] : at_work_) {
      count += static_cast<size_t>(std::count_if(runs.begin(), runs.end(), [&](const run& each) {
        return each.start.key.job == JobId(job);
      }));
    }
    return count;
  }
  size_t Starts() const { return starts_; }

  monotonic_time now{std::chrono::seconds(100)};
  job_scheduler owner{scheduler_options{}, 1, monotonic_time{}};
  std::vector<instance_report> reports;
  std::set<std::string> excluded;  // instances that the policy does not allow

 private:
  // Jobs a second: none is beyond its workspace's share.
  static constexpr double kAmpleWeight = 1e6;

  struct run {
    start_command start;
    monotonic_time ends{};
  };

  resources NeedOf(const task_key& key) const { return needs_.at(key.job).at(key.step); }
  int64_t Clock() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  }
  void Answer(const list_command& request) {
    const std::string& id = request.to.instance;
    std::vector<run>& runs = at_work_[id];
    std::vector<ended_row>& ends = ended_[id];
    std::erase_if(ends, [&](const ended_row& row) { return row.number <= request.ends_seen; });
    for (const run& each : runs) {
      if (now < each.ends) continue;
      ends.push_back({++last_end_[id], each.start.key, each.start.run, run_end::kDone, ""});
    }
    std::erase_if(runs, [&](const run& each) { return now >= each.ends; });
    instance_listing listing;
    listing.clock_ms = Clock();
    listing.incarnation = 1;
    listing.ended = ends;
    const auto percent = static_cast<uint32_t>(Clock() / 100 % 100);
    for (const run& each : runs) {
      listing.running.push_back({each.start.key, each.start.run, "", percent, 0});
    }
    owner.OnListing(request, listing, now, now);
  }

  // By job.
  std::map<std::string, std::function<std::chrono::milliseconds(const task_key&)>> durations_;
  std::map<std::string, std::vector<resources>> needs_;  // by job and step
  std::set<std::string> started_;                        // jobs
  size_t starts_ = 0;
  std::map<std::string, std::vector<run>> at_work_;  // by instance
  std::map<std::string, std::vector<ended_row>> ended_;
  std::map<std::string, uint64_t> last_end_;
};

}  // namespace catkinford

#endif  // CATKINFORD_TEST_ADVISED_FLOOR_H_
