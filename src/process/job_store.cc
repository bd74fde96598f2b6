#include "process/job_store.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

durable_job RecordOf(const place_message& place) {
  durable_job job;
  job.id = place.id;
  job.team = place.team;
  job.kind = place.kind;
  job.urgent = place.urgent;
  job.repeatable = place.repeatable;
  job.tasks = place.tasks;
  job.each = place.each;
  job.declared_run_time = place.run_time;
  job.submitted = std::chrono::system_clock::now();
  job.payload = place.payload;
  job.parts = place.parts;
  job.home = place.home;
  job.plan = place.plan;
  job.done.resize(place.tasks);
  if (place.deadline_left.count() > 0) job.deadline = job.submitted + place.deadline_left;
  return job;
}

restored_job RestoredFrom(const durable_job& job) {
  restored_job restored;
  place_message& place = restored.spec;
  place.id = job.id;
  place.team = job.team;
  place.kind = job.kind;
  place.urgent = job.urgent;
  place.repeatable = job.repeatable;
  place.tasks = job.tasks;
  place.each = job.each;
  place.run_time = job.declared_run_time;
  place.payload = job.payload;
  place.parts = job.parts;
  place.home = job.home;
  place.plan = job.plan;
  if (job.deadline != std::chrono::system_clock::time_point{}) {
    // Not zero after the deadline has passed: zero means that the job has no deadline.
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        job.deadline - std::chrono::system_clock::now());
    place.deadline_left = std::max(left, std::chrono::milliseconds{1});
  }
  restored.fault = job.fault;
  restored.answer = job.answer;
  for (uint32_t i = 0; i < job.done.size(); ++i) {
    if (!job.done[i]) continue;
    if (job.failed[i]) {
      restored.failed.push_back(i);
    } else {
      restored.done.push_back(i);
    }
  }
  return restored;
}

}  // namespace

job_store::job_store(std::string writer, sender send)
    : writer_(std::move(writer)), send_(std::move(send)) {}

void job_store::OnGained(uint32_t number, const std::string& shard_name, uint64_t epoch) {
  job_log_options options;
  options.prefix = absl::StrCat("jobs/", shard_name, "/");
  options.writer = writer_;
  options.epoch = epoch;
  held_log held;
  held.epoch = epoch;
  held.generation = ++generation_;
  held.log = std::make_unique<job_log>(options, tags_);
  logs_[number] = std::move(held);
}

void job_store::OnLost(uint32_t number) { logs_.erase(number); }

std::vector<opened_log> job_store::Tick(monotonic_time now) {
  std::vector<opened_log> opened;
  for (auto& [number, held] : logs_) {
    std::vector<store_request> calls;
    held.log->Tick(now, calls);
    for (const store_request& call : calls) {
      send_(call, [this, shard_number = number, generation = held.generation, tag = call.tag](
                      const store_reply& reply, monotonic_time at) {
        const auto found = logs_.find(shard_number);
        if (found == logs_.end() || found->second.generation != generation) return;
        found->second.log->OnReply(tag, reply, at);
      });
    }
    if (held.opened || held.log->State() != job_log_state::kReady) continue;
    held.opened = true;
    opened_log log{number, held.epoch, {}};
    for (const auto& [id, known] : held.log->Jobs()) log.jobs.push_back(RestoredFrom(known.record));
    opened.push_back(std::move(log));
  }
  return opened;
}

bool job_store::TakeNotices(uint32_t number, shard& to, monotonic_time now) {
  const auto found = logs_.find(number);
  if (found == logs_.end()) return false;
  const std::vector<job_notice> notices = found->second.log->TakeNotices();
  for (const job_notice& notice : notices) {
    if (notice.kind == log_entry_kind::kJob) to.OnRecorded(notice.id, true, now);
    if (notice.kind == log_entry_kind::kTaskDone) {
      to.OnCompletionRecorded(notice.id, notice.index, now);
    }
    if (notice.kind == log_entry_kind::kJobDone) to.OnEndRecorded(notice.id);
  }
  return !notices.empty();
}

void job_store::Record(uint32_t number, const record_action& what, shard& from,
                       monotonic_time now) {
  const auto found = logs_.find(number);
  const place_message* place = from.SpecOf(what.job);
  append_result result = append_result::kNotReady;
  if (found != logs_.end() && place != nullptr) {
    job_log& log = *found->second.log;
    result = what.is_change ? log.Replace(RecordOf(*place)) : log.Append(RecordOf(*place));
  }
  if (what.is_change) return;  // if not queued, the shard is lost: the next owner reads the old one
  if (result == append_result::kKnown) from.OnRecorded(what.job, true, now);
  if (result == append_result::kTooLarge || result == append_result::kNotReady) {
    from.OnRecorded(what.job, false, now);
  }
}

void job_store::Withdraw(uint32_t number, const request_id& id, shard& from, monotonic_time now) {
  const auto found = logs_.find(number);
  if (found != logs_.end() && found->second.log->Withdraw(id)) from.OnRecorded(id, false, now);
}

void job_store::Complete(uint32_t number, const complete_action& what, shard& from,
                         monotonic_time now) {
  const auto found = logs_.find(number);
  if (found == logs_.end()) return;
  job_log& log = *found->second.log;
  if (what.job_ended) {
    if (log.FinishJob(what.task.job) == append_result::kKnown) from.OnEndRecorded(what.task.job);
    return;
  }
  const append_result result =
      log.Complete(what.task.job, what.task.index, !what.succeeded, what.text);
  if (result == append_result::kKnown) {
    from.OnCompletionRecorded(what.task.job, what.task.index, now);
  }
}

}  // namespace catkinford
