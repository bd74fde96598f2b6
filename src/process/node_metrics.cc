// Counters of a node other than its gauges, and the events they cause.
#include <utility>

#include "absl/strings/str_cat.h"
#include "process/node.h"

namespace catkinford {

void node::CountAnswer(const answered_call& answer, monotonic_time now) {
  for (size_t i = 0; i < answer.outcomes.size(); ++i) {
    metrics_.CountOutcome(answer.kinds[i], answer.outcomes[i]);
  }
  metrics_.ObserveAnswer(std::chrono::duration_cast<std::chrono::microseconds>(now - answer.begun));
}

void node::UpdateCounters(monotonic_time now) {
  uint32_t endpoints = 0;
  uint32_t open = 0;
  for (const auto& [number, held] : shards_) {
    const shard_report report = held->Report();
    endpoints += report.endpoints;
    open += report.summary.open_endpoints;
  }
  metrics_.endpoints.Set(endpoints);
  metrics_.open_endpoints.Set(open);

  const mailbox_counters& mail = mailbox_.Counters();
  metrics_.SetPeerTotals({mail.batches_sent, mail.messages_sent, mail.bytes_sent,
                          mail.bytes_received, peer_auth_.Refused()});
  metrics_.SetLogLinesDropped(log_.DroppedLines());
  metrics_.SetGrantMoves(grants_.Moves());

  if (peer_auth_.Refused() != rejected_batches_) {
    const uint64_t more = peer_auth_.Refused() - rejected_batches_;
    rejected_batches_ += more;
    log_.Emit(event_code::kPeerRefused, now, {}, 0, config_.name, absl::StrCat(more, " calls"));
  }
  budget_->Update(now);
  const budget_counts connections = budget_->Counts();
  metrics_.SetConnections(connections);
  if (const uint64_t before = std::exchange(connections_ended_, connections.Ended());
      before != connections_ended_) {
    log_.Emit(
        event_code::kConnectionsClosed, now, {}, 0, config_.name,
        absl::StrCat(connections_ended_ - before, " ended, ", connections.bytes, " bytes held"));
  }
  if (grants_.Moves() != grant_moves_) {
    grant_moves_ = grants_.Moves();
    log_.Emit(event_code::kGrantsMoved, now, {}, 0, config_.name);
  }
  if (IsReady() != was_ready_) {
    was_ready_ = IsReady();
    if (was_ready_) log_.Emit(event_code::kProcessReady, now, {}, 0, config_.name);
  }
  const std::optional<rejected_version>& rejected = versions_.Order().Refused();
  if (rejected && rejected->version != rejected_version_) {
    rejected_version_ = rejected->version;
    log_.Emit(event_code::kVersionRefused, now, {}, 0, std::to_string(rejected->version),
              rejected->error.path);
  }
}

}  // namespace catkinford
