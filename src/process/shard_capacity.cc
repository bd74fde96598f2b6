#include "process/shard_capacity.h"

#include <absl/strings/str_cat.h>

#include <array>

namespace catkinford {
namespace {

constexpr double kAllRunsDecay = 0.999;  // covers about the last thousand runs of the shard

}  // namespace

void shard_capacity::CountState(const endpoint_record& e, bool in) {
  const uint32_t one = in ? 1U : UINT32_MAX;  // adds or subtracts one
  const auto count = [in](resources& sum, const resources& amount) {
    in ? sum += amount : sum -= amount;
  };
  if (e.state != endpoint_state::kGone) present_ += one;
  if (e.state == endpoint_state::kOpen) {
    open_endpoints_ += one;
    count(open_capacity_, e.capacity);
  }
  if (e.state == endpoint_state::kUnfenced) {
    unfenced_endpoints_ += one;
    if (e.capacity.slots == 0) unfenced_without_slots_ += one;
    count(unfenced_, e.capacity);
  }
}

void shard_capacity::CountShape(const resources& capacity, bool in) {
  for (shape_count& shape : shapes_) {
    if (shape.capacity != capacity) continue;
    shape.present += in ? 1U : UINT32_MAX;
    shape.most = std::max(shape.most, shape.present);
    return;
  }
  if (in) shapes_.push_back({capacity, 1, 1});
}

void shard_capacity::SetEndpoint(endpoint_index endpoint, const endpoint_shape& shape,
                                 endpoint_state state) {
  if (endpoint >= endpoints_.size()) endpoints_.resize(endpoint + 1);
  endpoint_record& e = endpoints_[endpoint];
  if (e.known) {
    CountState(e, false);
    if (e.state != endpoint_state::kGone) CountShape(e.capacity, false);
  }
  if (racks_.size() <= shape.rack) racks_.resize(shape.rack + 1);
  racks_[e.rack] -= e.interactive;
  racks_[shape.rack] += e.interactive;
  e.known = true;
  e.capacity = shape.capacity;
  e.rack = shape.rack;
  e.failure_domain = shape.failure_domain;
  e.state = state;
  largest_ = LargestOf(largest_, shape.capacity);
  CountState(e, true);
  if (state != endpoint_state::kGone) CountShape(e.capacity, true);
  Refresh(endpoint);
}

void shard_capacity::SetState(endpoint_index endpoint, endpoint_state state) {
  endpoint_record& e = endpoints_[endpoint];
  if (e.state == state) return;
  CountState(e, false);
  if (e.state != endpoint_state::kGone) CountShape(e.capacity, false);
  e.state = state;
  CountState(e, true);
  if (state != endpoint_state::kGone) CountShape(e.capacity, true);
  Refresh(endpoint);
}

void shard_capacity::Refresh(endpoint_index endpoint) {
  endpoint_record& e = endpoints_[endpoint];
  const bool is_healthy = e.health.State() == health_state::kGood ||
                          (e.health.State() == health_state::kProbation && e.tasks.empty());
  const bool open = e.state == endpoint_state::kOpen && is_healthy && !e.cooling &&
                    e.reservation == kNoReservation;
  if (!open) {
    open_.Remove(endpoint);
    preemptible_.Remove(endpoint);
    return;
  }
  const resources free = e.Free();
  const bool more = !open_.Contains(endpoint) || !Fits(free, open_.FreeOf(endpoint));
  open_.Set(endpoint, free, e.capacity);
  preemptible_.Set(endpoint, e.FreeWithoutBatch(), e.capacity);
  if (more) freed_.push_back(endpoint);
}

uint32_t shard_capacity::Add(endpoint_index endpoint, const task_ref& task,
                             const job_request& job) {
  endpoint_record& e = endpoints_[endpoint];
  e.used += job.each;
  if (IsPreemptible(job)) e.preemptible += job.each;
  if (EndsByItself(job)) e.self_ending += job.each;
  if (job.kind == workload_kind::kInteractive) {
    ++e.interactive;
    interactive_use_ += job.each;
    ++interactive_tasks_;
    ++racks_[e.rack];
  }
  e.tasks.push_back(task);
  Refresh(endpoint);
  return static_cast<uint32_t>(e.tasks.size() - 1);
}

task_ref shard_capacity::Remove(endpoint_index endpoint, uint32_t position,
                                const job_request& job) {
  endpoint_record& e = endpoints_[endpoint];
  e.used -= job.each;
  if (IsPreemptible(job)) e.preemptible -= job.each;
  if (EndsByItself(job)) e.self_ending -= job.each;
  if (job.kind == workload_kind::kInteractive) {
    --e.interactive;
    interactive_use_ -= job.each;
    --interactive_tasks_;
    --racks_[e.rack];
  }
  const bool last = position + 1 == e.tasks.size();
  e.tasks[position] = e.tasks.back();
  e.tasks.pop_back();
  Refresh(endpoint);
  return last ? task_ref{} : e.tasks[position];
}

void shard_capacity::Reserve(endpoint_index endpoint, uint32_t reservation) {
  endpoints_[endpoint].reservation = reservation;
  Refresh(endpoint);
}

void shard_capacity::SetCooling(endpoint_index endpoint, bool cooling) {
  endpoints_[endpoint].cooling = cooling;
  Refresh(endpoint);
}

bool shard_capacity::RecordRun(endpoint_index endpoint, bool fault, monotonic_time now) {
  endpoint_record& e = endpoints_[endpoint];
  all_runs_.Add(fault, kAllRunsDecay);
  const bool bad = e.health.Note(fault, all_runs_);
  const bool eject =
      bad && (e.health.State() == health_state::kProbation || ejected_ < EjectionLimit(present_));
  if (eject) {
    ++ejected_;
    e.health.Eject(now);
  }
  Refresh(endpoint);
  return eject;
}

void shard_capacity::EndEjection(endpoint_index endpoint, monotonic_time now) {
  endpoint_record& e = endpoints_[endpoint];
  if (e.health.State() != health_state::kEjected || e.health.EjectedUntil() > now) return;
  --ejected_;
  e.health.BeginProbation();
  Refresh(endpoint);
}

bool shard_capacity::CanEverHold(const resources& each, uint32_t count) const {
  uint64_t fitting = 0;
  for (const shape_count& shape : shapes_) {
    fitting += uint64_t{CountFitting(each, shape.capacity)} * shape.most;
  }
  return fitting >= count;
}

std::string shard_capacity::ExplainNeverFits(const resources& each) const {
  static constexpr std::array<const char*, kAmounts> kNames = {"cpu_milli", "memory_mb",
                                                               "accelerators", "slots"};
  for (size_t amount = 0; amount < kAmounts; ++amount) {
    const uint32_t need = AmountOf(each, amount);
    const uint32_t most = AmountOf(largest_, amount);
    if (need > most) {
      return absl::StrCat(kNames[amount], " ", need, " exceeds the largest endpoint's ", most);
    }
  }
  return "no endpoint has all the amounts at once, or too few endpoints have them";
}

}  // namespace catkinford
