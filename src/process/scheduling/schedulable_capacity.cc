#include "process/scheduling/schedulable_capacity.h"

#include <algorithm>
#include <limits>

#include "process/scheduling/task_fit.h"

namespace catkinford {
namespace {

uint32_t Saturated(uint64_t amount) {
  return static_cast<uint32_t>(std::min<uint64_t>(amount, std::numeric_limits<uint32_t>::max()));
}

}  // namespace

uint32_t TasksAtOnce(const step_spec& step) { return step.gang ? step.count : 1; }

resources NeedAtOnce(const step_spec& step) {
  const uint64_t tasks = TasksAtOnce(step);
  resources need;
  need.cpu_milli = Saturated(tasks * step.need.cpu_milli);
  need.memory_mb = Saturated(tasks * step.need.memory_mb);
  need.accelerators = Saturated(tasks * step.need.accelerators);
  return need;
}

void schedulable_capacity::Clear(size_t services) {
  services_.resize(services + 1);
  for (instance_group& each : services_) {
    std::vector<const fleet_instance*> members = std::move(each.members);
    members.clear();
    each = {};
    each.members = std::move(members);  // with its memory
  }
  labelled_.clear();
}

void schedulable_capacity::instance_group::Add(const fleet_instance& instance) {
  members.push_back(&instance);
  const resources capacity = instance.WithoutEndlessRuns();
  largest.cpu_milli = std::max(largest.cpu_milli, capacity.cpu_milli);
  largest.memory_mb = std::max(largest.memory_mb, capacity.memory_mb);
  largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
  cpu_milli += instance.report.capacity.cpu_milli;
  used_cpu_milli += instance.used.cpu_milli;
}

void schedulable_capacity::Add(const fleet_instance& instance) {
  services_[instance.service].Add(instance);
}

const schedulable_capacity::instance_group& schedulable_capacity::GroupOf(
    uint32_t service, const std::string& label) {
  if (label.empty()) return services_[service];
  const auto [found, is_new] = labelled_.try_emplace(std::pair(service, label));
  if (!is_new) return found->second;
  for (const fleet_instance* instance : services_[service].members) {
    const std::vector<std::string>& labels = instance->report.labels;
    if (std::find(labels.begin(), labels.end(), label) != labels.end()) {
      found->second.Add(*instance);
    }
  }
  return found->second;
}

bool schedulable_capacity::MostlyIdle(uint32_t service) const {
  if (Empty(service)) return false;
  return services_[service].used_cpu_milli * 2 < services_[service].cpu_milli;
}

bool schedulable_capacity::Empty(uint32_t service) const {
  return service >= services_.size() || services_[service].members.empty();
}

bool schedulable_capacity::CanHold(uint32_t service, const step_spec& step,
                                   const step_advice& advice) {
  if (Empty(service)) return false;
  const instance_group& of = GroupOf(service, step.required_label);
  const resources need = CapacityOf(step);
  if (!Covers(of.largest, need)) return false;
  uint32_t missing = TasksAtOnce(step);
  for (const fleet_instance* instance : of.members) {
    const advice_verdict* verdict = advice.FindVerdict(instance->ordinal);
    if (verdict != nullptr && !verdict->allowed) continue;
    const uint32_t most =
        step.max_per_instance == 0 ? missing : std::min(missing, step.max_per_instance);
    missing -= TasksThatFit(instance->WithoutEndlessRuns(), need, most);
    if (missing == 0) return true;
  }
  return false;
}

}  // namespace catkinford
