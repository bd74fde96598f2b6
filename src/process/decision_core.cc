#include "process/decision_core.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "process/decision_impl.h"

namespace catkinford {
namespace {

constexpr uint64_t kMaxAmount = UINT32_MAX;

uint32_t Clamp(uint64_t amount) { return static_cast<uint32_t>(std::min(amount, kMaxAmount)); }

}  // namespace

decision_core::decision_core(core_options options) : impl_(std::make_unique<impl>(options)) {}
decision_core::~decision_core() = default;

void decision_core::SetEndpoint(endpoint_index endpoint, const endpoint_shape& shape,
                                endpoint_state state, monotonic_time now) {
  impl_->endpoints.SetEndpoint(endpoint, shape, state);
  impl_->OnEndpointChanged(endpoint, state, now);
}

void decision_core::SetEndpointState(endpoint_index endpoint, endpoint_state state,
                                     monotonic_time now) {
  if (!impl_->endpoints.Knows(endpoint)) return;
  impl_->endpoints.SetState(endpoint, state);
  impl_->OnEndpointChanged(endpoint, state, now);
}

// Handles a new endpoint state: tasks are lost or moved, and limits and shares are recomputed.
void decision_core::impl::OnEndpointChanged(endpoint_index endpoint, endpoint_state state,
                                            monotonic_time now) {
  if (state == endpoint_state::kGone) OnEndpointLost(endpoint, now);
  if (state == endpoint_state::kLeaving) OnEndpointLeaving(endpoint);
  teams.SetShardCapacity(endpoints.OpenCapacity());
  for (team_index team = 0; team < teams.Size(); ++team) TeamChanged(team);
  if (admitted_unchecked && endpoints.UnfencedEndpoints() == 0) recheck_fits = true;
}

void decision_core::SetTeam(team_index team, const team_terms& terms, monotonic_time /*now*/) {
  impl_->teams.SetTerms(team, terms);
  impl_->TeamChanged(team);
}

void decision_core::SetGrant(team_index team, const team_grant& grant, monotonic_time /*now*/) {
  impl_->teams[team].grant = grant;
  impl_->TeamChanged(team);
}

void decision_core::SetUsageElsewhere(team_index team, const resources& running,
                                      std::chrono::milliseconds age, monotonic_time now) {
  impl_->teams.SetElsewhere(team, running, age, now);
  impl_->TeamChanged(team);
}

void decision_core::SetCellCapacity(const resources& capacity) {
  impl_->teams.SetCellCapacity(capacity);
  for (team_index team = 0; team < impl_->teams.Size(); ++team) impl_->TeamChanged(team);
}

admission decision_core::Submit(const job_request& request, monotonic_time now) {
  return impl_->Submit(request, now);
}

admission decision_core::SubmitPart(const job_request& request, const std::vector<uint32_t>& here,
                                    monotonic_time now) {
  return impl_->SubmitPart(request, here, now);
}

void decision_core::TakeOverTask(const request_id& job, uint32_t index) {
  impl_->TakeOverTask(job, index);
}

void decision_core::Resume(const job_request& request, const std::vector<uint32_t>& waiting,
                           monotonic_time now) {
  impl_->Resume(request, waiting, now);
}

bool decision_core::Cancel(const request_id& job, monotonic_time /*now*/) {
  return impl_->Cancel(job);
}

void decision_core::Adopt(const running_task& task, monotonic_time now) { impl_->Adopt(task, now); }

void decision_core::Started(const task_id& task, monotonic_time now) { impl_->Started(task, now); }

void decision_core::StartFailed(const task_id& task, bool endpoint_fault, monotonic_time now) {
  impl_->StartFailed(task, endpoint_fault, now);
}

void decision_core::Finished(const task_id& task, task_end end, std::chrono::milliseconds ran,
                             monotonic_time now) {
  impl_->Finished(task, end, ran, now);
}

void decision_core::Decide(monotonic_time now, std::vector<command>& out) {
  impl_->Decide(now, out);
}

monotonic_time decision_core::NextWake() const { return impl_->NextWake(); }

shard_summary decision_core::Summary() const {
  shard_summary summary;
  summary.free = impl_->endpoints.Open().TotalFree();
  summary.largest_free = impl_->endpoints.Open().LargestFree();
  summary.largest_capacity = impl_->endpoints.LargestCapacity();
  summary.open_endpoints = impl_->endpoints.OpenEndpoints();
  summary.queued_tasks = impl_->teams.QueuedTasks();
  summary.running_tasks = impl_->teams.RunningTasks();
  for (team_index team = 0; team < impl_->teams.Size(); ++team) {
    const waiting_queue& queue = impl_->queues.At({queue_class::kInteractive, team});
    const auto wait = queue.drain_rate.TimeToDrain(queue.tasks + 1, impl_->last_decide);
    if (wait) summary.queue_delay = std::max(summary.queue_delay, *wait);
  }
  return summary;
}

team_usage decision_core::Usage(team_index team) const {
  team_usage usage;
  const team_record* t = impl_->teams.Find(team);
  if (t == nullptr) return usage;
  usage.running = t->running;
  usage.running_tasks = t->running_tasks;
  usage.queued_tasks = t->queued_tasks;
  usage.wanted = {
      Clamp(t->queued[0] + t->running.cpu_milli), Clamp(t->queued[1] + t->running.memory_mb),
      Clamp(t->queued[2] + t->running.accelerators), Clamp(t->queued[3] + t->running.slots)};
  return usage;
}

std::string decision_core::WaitsFor(const request_id& job) const {
  const job_handle handle = impl_->jobs.Find(job);
  if (handle == kNoJob || impl_->jobs[handle].waiting == 0) return {};
  const job_record& j = impl_->jobs[handle];
  if (j.backing_off) return "a backoff after repeated failures";
  if (!j.queued) return "its other tasks to end";
  const uint32_t count = impl_->TasksAtOnce(j);
  const resources& each = j.request.each;
  if (!impl_->teams.WithinGrant(j.request.team, each, count, impl_->endpoints)) {
    if (impl_->endpoints.UnfencedEndpoints() > 0) {
      return absl::StrCat(impl_->endpoints.UnfencedEndpoints(), " endpoints to be listed");
    }
    return "capacity within the team's limit";
  }
  if (j.reservation != kNoReservation) return "reserved endpoints to become free";
  return absl::StrCat("free capacity for ", count, " task(s) of cpu_milli ", each.cpu_milli,
                      ", memory_mb ", each.memory_mb, ", accelerators ", each.accelerators);
}

uint64_t decision_core::Signature() const { return impl_->signature; }

}  // namespace catkinford
