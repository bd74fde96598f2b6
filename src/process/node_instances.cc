// Polls the platform's list of instances.
#include <utility>

#include "process/node.h"

namespace catkinford {

void node::PollInstances(monotonic_time now) {
  if (!instance_polling_.ReadDue(members_.LiveNeighbours(), now)) return;
  instance_polling_.OnReadBegun(now);
  instances_.List([this](instance_reply reply) {
    Post([this, reply = std::move(reply)](monotonic_time at) { OnInstances(reply, at); });
  });
}

void node::OnInstances(const instance_reply& reply, monotonic_time now) {
  if (!reply.ok) return instance_polling_.OnReadFailed();
  const bool is_first = !instance_polling_.HasList();
  const instances_message update = instance_polling_.OnRead(reply.instances, now);
  const bool is_unchanged = !is_first && update.changed.empty() && update.gone.empty();
  if (!is_unchanged) ApplyInstanceList(now);
  metrics_.instance_reads.Increment();
  for (const std::string& name : members_.LiveNeighbours()) Send(name, update, now);
}

void node::ApplyInstanceList(monotonic_time now) {
  const std::vector<instance> list = instance_polling_.List();
  own_endpoints_.clear();
  endpoint_names_.clear();
  cell_capacity_ = {};
  for (const instance& from : list) {
    if (from.role != instance_role::kEndpoint) continue;
    cell_capacity_ += from.shape;
    endpoint_names_.insert(from.name);
    if (from.failure_domain == config_.failure_domain) own_endpoints_.push_back(from);
  }
  members_.OnInstances(list, now);
  UpdatePeers(now);
  for (auto& [number, held] : shards_) {
    held->SetCellCapacity(cell_capacity_);
    AssignEndpoints(*held, now);
  }
}

}  // namespace catkinford
