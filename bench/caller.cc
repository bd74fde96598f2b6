#include "bench/caller.h"

#include <algorithm>
#include <utility>

#include "nlohmann/json.hpp"
#include "standin/json_fields.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A caller gives up when the answer is this much later than its deadline and run time allow.
constexpr milliseconds kPatience{5000};
// An entry may take long to learn how a cancelled job ended, and answers `unknown` then.
constexpr milliseconds kCancelPatience{15000};

nlohmann::json BodyOf(const call_spec& spec) {
  nlohmann::json work = {{"run_ms", spec.run_time.count()}, {"echo", spec.work}};
  if (spec.checkpoint.count() > 0) work["checkpoint_ms"] = spec.checkpoint.count();
  nlohmann::json body = {{"kind", ToText(spec.kind)},
                         {"tasks", spec.tasks},
                         {"cpu_milli", spec.each.cpu_milli},
                         {"memory_mb", spec.each.memory_mb},
                         {"accelerators", spec.each.accelerators},
                         {"urgent", spec.urgent},
                         {"repeatable", spec.repeatable},
                         {"run_time_ms", spec.run_time.count()},
                         {"payload", work.dump()}};
  if (spec.keyed) body["idempotency_key"] = spec.work;
  if (spec.kind == workload_kind::kInteractive) body["deadline_ms"] = spec.deadline.count();
  return body;
}

}  // namespace

bool ReadOutcome(const std::string& body, call_record& record) {
  const nlohmann::json read = nlohmann::json::parse(body, nullptr, false);
  const std::optional<outcome_kind> kind = ParseOutcomeKind(TextOf(read, "outcome", ""));
  const std::string error = TextOf(read, "error", "");
  const bool refused = (record.status >= 400 && record.status < 500) || record.status == 503;
  if (!kind && refused && !error.empty()) {
    // Turned away before it became a request; a caller takes that, too, as "did not run".
    record.outcome = outcome_kind::kRefused;
    record.reason = ParseRejectionReason(error).value_or(rejection_reason::kNone);
    return true;
  }
  if (!kind) return false;
  record.outcome = *kind;
  record.reason =
      ParseRejectionReason(TextOf(read, "reason", "")).value_or(rejection_reason::kNone);
  record.retry_after = MillisecondsOf(read, "retry_after_ms", milliseconds{0});
  record.answer = TextOf(read, "answer", "");
  record.id = TextOf(read, "id", "");
  return true;
}

caller::caller(size_t clients) {
  for (size_t i = 0; i < clients; ++i) {
    clients_.push_back(std::make_unique<http_client>(0));
    clients_.back()->Start();
  }
}

caller::~caller() {
  for (const auto& client : clients_) client->Stop();
}

void caller::Submit(const std::string& entry, const std::string& url, const team_access& team,
                    const call_spec& spec, monotonic_time scheduled, on_answer then) {
  http_call call{"POST", url + "/v1/jobs", BodyOf(spec).dump(), team.secret};
  call.timeout = spec.deadline + spec.run_time + kPatience;
  pending_call pending;
  pending.then = std::move(then);
  call_record& record = pending.record;
  record.work = spec.work;
  record.team = team.team;
  record.key = team.key_name;
  record.entry = entry;
  record.kind = spec.kind;
  record.repeatable = spec.repeatable;
  record.tasks = spec.tasks;
  record.run_time = spec.run_time;
  record.scheduled = scheduled;
  record.sent = steady_clock::now();
  http_client* client = nullptr;
  {
    const std::lock_guard lock(mutex_);
    ++pending_;
    client = clients_[next_client_++ % clients_.size()].get();
  }
  client->Send(std::move(call), [this, kept = std::move(pending)](const http_result& result) {
    Finish(kept, result);
  });
}

void caller::Finish(pending_call call, const http_result& result) {
  call_record& record = call.record;
  record.answered = steady_clock::now();
  record.surely_not_sent = result.status == transfer_status::kNotSent;
  record.status = result.code;
  record.has_answer = result.status == transfer_status::kDone && ReadOutcome(result.body, record);
  if (call.then) call.then(record);
  const std::lock_guard lock(mutex_);
  records_.push_back(std::move(record));
  --pending_;
  if (pending_ == 0) idle_.notify_all();
}

void caller::Cancel(const std::string& entry, const std::string& url, const team_access& team,
                    const std::string& work) {
  std::string id;
  {
    const std::lock_guard lock(mutex_);
    for (const call_record& record : records_) {
      if (record.work == work) id = record.id;
    }
    if (id.empty()) return;
    cancelled_.push_back(work);
    ++pending_;
  }
  pending_call pending;
  pending.record.work = work;
  pending.record.team = team.team;
  pending.record.key = team.key_name;
  pending.record.entry = entry;
  pending.record.is_cancel = true;
  pending.record.sent = pending.record.scheduled = steady_clock::now();
  http_call call{"POST", url + "/v1/jobs/" + id + "/cancel", "{}", team.secret};
  call.timeout = kCancelPatience;
  clients_.front()->Send(std::move(call), [this, kept = std::move(pending)](
                                              const http_result& result) { Finish(kept, result); });
}

size_t caller::Pending() const {
  const std::lock_guard lock(mutex_);
  return pending_;
}

bool caller::WaitIdle(milliseconds limit) {
  std::unique_lock lock(mutex_);
  return idle_.wait_for(lock, limit, [this] { return pending_ == 0; });
}

std::vector<call_record> caller::Records() const {
  const std::lock_guard lock(mutex_);
  std::vector<call_record> records = records_;
  for (call_record& record : records) {
    record.cancelled =
        std::find(cancelled_.begin(), cancelled_.end(), record.work) != cancelled_.end();
  }
  return records;
}

}  // namespace catkinford
