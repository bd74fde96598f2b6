#include "standin/endpoint_model.h"

#include <algorithm>
#include <utility>

#include "standin/json_fields.h"

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kStopDuration{5};            // from a stop command to the end of the task
constexpr milliseconds kMaxSyncWait{60000};         // longest wait of one sync
constexpr milliseconds kUnansweredHoldTime{30000};  // until an unanswered call gets its late error
constexpr milliseconds kUsageAge{500};              // reported as the age of the usage figures
constexpr size_t kMaxWorkLabelLength = 64;          // of the caller's label that is recorded
constexpr milliseconds kDefaultLease{10000};
constexpr milliseconds kDefaultRetention{30000};

nlohmann::json StatusOf(const std::string& id, const nlohmann::json& spec, const char* state) {
  nlohmann::json status = ToJson(ResourcesOf(spec));
  status["id"] = id;
  status["state"] = state;
  status["kind"] = TextOf(spec, "kind", "");
  status["team"] = TextOf(spec, "team", "");
  return status;
}

int64_t MillisecondsBetween(monotonic_time from, monotonic_time to) {
  return duration_cast<milliseconds>(to - from).count();
}

}  // namespace

endpoint_model::endpoint_model(endpoint_options options, run_record& record)
    : options_(std::move(options)), record_(record), incarnation_(options_.incarnation) {}

void endpoint_model::Record(monotonic_time now, const char* event, const std::string& id,
                            uint64_t epoch, const nlohmann::json& spec, const std::string& result) {
  nlohmann::json line = ToJson(ResourcesOf(spec));
  line["endpoint"] = options_.name;
  line["event"] = event;
  line["id"] = id;
  line["epoch"] = epoch;
  line["kind"] = TextOf(spec, "kind", "");
  line["team"] = TextOf(spec, "team", "");
  line["work"] = TextOf(spec, "work", "");
  line["result"] = result;
  record_.Append(now, std::move(line));
}

void endpoint_model::Handle(const std::string& verb, http_server::token token,
                            const nlohmann::json& body, monotonic_time now, due_replies& replies) {
  if (Unresponsive()) return HoldUnanswered(token, 503, now);
  Tick(now, replies);
  if (waiting_.size() >= options_.connection_limit) {
    replies.emplace_back(token, ErrorReply(503, "connections"));
    return;
  }
  if (verb == "sync") return Sync(token, body, now, replies);
  http_response answer = Dispatch(verb, body, now, replies);
  if (mode_ == endpoint_mode::kLoseReplies) return HoldUnanswered(token, 504, now);
  replies.emplace_back(token, std::move(answer));
}

http_response endpoint_model::Dispatch(const std::string& verb, const nlohmann::json& body,
                                       monotonic_time now, due_replies& replies) {
  if (verb == "list") return List(now);
  const auto epoch = static_cast<uint64_t>(IntOf(body, "epoch", 0));
  if (Fenced(epoch)) {
    if (verb == "start") {
      for (const nlohmann::json& task : ChildOf(body, "tasks")) {
        Record(now, "refuse", TextOf(task, "id", ""), epoch, task, "fenced");
      }
    }
    return FencedReply();
  }
  RaiseEpoch(epoch, replies);
  if (verb == "fence") return List(now);
  if (verb == "start") return Start(body, now, replies);
  if (verb == "stop") return Stop(body, now);
  if (verb == "throttle") return Throttle(body);
  return ErrorReply(404, "no_such_call");
}

http_response endpoint_model::FencedReply() const {
  return JsonReply(409, {{"error", "fenced"}, {"epoch", epoch_}});
}

// Ends the waiting syncs of lower epochs, so that a former owner learns of its successor at once
// and not only when its sync times out.
void endpoint_model::RaiseEpoch(uint64_t epoch, due_replies& replies) {
  if (epoch <= epoch_) return;
  epoch_ = epoch;
  if (!options_.fencing) return;
  std::erase_if(waiting_, [&](const waiting_sync& sync) {
    if (sync.epoch >= epoch_) return false;
    replies.emplace_back(sync.token, FencedReply());
    return true;
  });
}

http_response endpoint_model::List(monotonic_time now) const {
  nlohmann::json tasks = nlohmann::json::array();
  for (const auto& [id, task] : running_) {
    nlohmann::json status = StatusOf(id, task.spec, "running");
    status["ran_ms"] = MillisecondsBetween(task.started, now);
    tasks.push_back(std::move(status));
  }
  for (const finished_task& task : finished_) {
    nlohmann::json status = StatusOf(task.id, task.spec, "finished");
    status["ran_ms"] = task.ran_ms;
    status["seq"] = task.seq;
    status["result"] = task.result;
    status["answer"] = task.answer;
    tasks.push_back(std::move(status));
  }
  return JsonReply(200, {{"incarnation", incarnation_},
                         {"epoch", epoch_},
                         {"shape", ToJson(options_.shape)},
                         {"leaving", mode_ == endpoint_mode::kLeaving},
                         {"tasks", std::move(tasks)}});
}

http_response endpoint_model::Start(const nlohmann::json& body, monotonic_time now,
                                    due_replies& replies) {
  const auto epoch = static_cast<uint64_t>(IntOf(body, "epoch", 0));
  nlohmann::json results = nlohmann::json::array();
  for (const nlohmann::json& task : ChildOf(body, "tasks")) {
    const std::string id = TextOf(task, "id", "");
    const std::string result = StartTask(task, epoch, now);
    if (result != "started") Record(now, "refuse", id, epoch, task, result);
    results.push_back({{"id", id}, {"result", result}});
  }
  Tick(now, replies);
  return JsonReply(200, {{"results", std::move(results)}});
}

std::string endpoint_model::StartTask(const nlohmann::json& task, uint64_t epoch,
                                      monotonic_time now) {
  const std::string id = TextOf(task, "id", "");
  if (running_.contains(id) || finished_seq_.contains(id)) return "already";
  if (IntOf(task, "not_after_ms", 1) <= 0) return "late";
  if (mode_ == endpoint_mode::kBroken) return "broken";
  const resources amount = ResourcesOf(task);
  if (!Fits(used_ + amount, options_.shape)) return "no_room";
  const std::string payload = TextOf(task, "payload", "");
  const nlohmann::json work = nlohmann::json::parse(payload, nullptr, false, true);
  running_task run;
  run.spec = task;
  run.spec.erase("payload");
  run.spec["work"] = TextOf(work, "echo", "").substr(0, kMaxWorkLabelLength);
  run.amount = amount;
  run.epoch = epoch;
  run.started = now;
  const bool fails = mode_ == endpoint_mode::kFailAll || TextOf(work, "result", "ok") == "fail";
  run.result = fails ? "failed" : "ok";
  run.answer = TextOf(work, "echo", payload);
  run.ends = mode_ == endpoint_mode::kFailAll
                 ? now
                 : now + MillisecondsOf(work, "run_ms", milliseconds{0});
  run.checkpoint = MillisecondsOf(work, "checkpoint_ms", kStopDuration);
  run.lease_until = now + MillisecondsOf(task, "lease_ms", kDefaultLease);
  run.retention = MillisecondsOf(task, "retain_ms", kDefaultRetention);
  used_ += amount;
  Record(now, "start", id, epoch, run.spec, "started");
  running_.emplace(id, std::move(run));
  return "started";
}

http_response endpoint_model::Stop(const nlohmann::json& body, monotonic_time now) {
  const bool checkpoint = BoolOf(body, "checkpoint", false);
  nlohmann::json results = nlohmann::json::array();
  for (const nlohmann::json& item : ChildOf(body, "ids")) {
    const std::string id = item.is_string() ? item.get<std::string>() : "";
    const char* result = "absent";
    if (const auto found = running_.find(id); found != running_.end()) {
      running_task& run = found->second;
      const monotonic_time stopped = now + (checkpoint ? run.checkpoint : kStopDuration);
      if (stopped < run.ends) {
        run.ends = stopped;
        run.result = checkpoint ? "checkpointed" : "stopped";
      }
      result = "stopping";
    } else if (finished_seq_.contains(id)) {
      result = "finished";
    }
    results.push_back({{"id", id}, {"result", result}});
  }
  return JsonReply(200, {{"results", std::move(results)}});
}

http_response endpoint_model::Throttle(const nlohmann::json& body) {
  const auto found = running_.find(TextOf(body, "id", ""));
  if (found == running_.end()) return ErrorReply(404, "absent");
  found->second.spec["throttled_cpu_milli"] = IntOf(body, "cpu_milli", 0);
  return JsonReply(200, nlohmann::json::object());
}

void endpoint_model::Sync(http_server::token token, const nlohmann::json& body, monotonic_time now,
                          due_replies& replies) {
  const auto epoch = static_cast<uint64_t>(IntOf(body, "epoch", 0));
  if (Fenced(epoch)) {
    replies.emplace_back(token, FencedReply());
    return;
  }
  RaiseEpoch(epoch, replies);
  // A cursor of another incarnation is meaningless here.
  const bool same_incarnation =
      static_cast<uint64_t>(IntOf(body, "incarnation", 0)) == incarnation_;
  const uint64_t cursor = same_incarnation ? static_cast<uint64_t>(IntOf(body, "cursor", 0)) : 0;
  Acknowledge(cursor);
  EvictFinished(now);
  const monotonic_time lease_until = now + MillisecondsOf(body, "lease_ms", kDefaultLease);
  for (auto& [id, task] : running_) task.lease_until = std::max(task.lease_until, lease_until);
  if (mode_ == endpoint_mode::kLoseReplies) return HoldUnanswered(token, 504, now);
  const milliseconds wait =
      std::min(MillisecondsOf(body, "wait_ms", milliseconds{0}), kMaxSyncWait);
  if (!same_incarnation || last_seq_ > cursor || wait <= milliseconds{0}) {
    replies.emplace_back(token, SyncReply(cursor, now));
    return;
  }
  waiting_.push_back({token, epoch, cursor, now + wait});
}

http_response endpoint_model::SyncReply(uint64_t cursor, monotonic_time /*now*/) const {
  nlohmann::json finished = nlohmann::json::array();
  // Sorted by seq: scans backwards, so that only entries after the cursor are visited.
  auto first = finished_.end();
  while (first != finished_.begin() && std::prev(first)->seq > cursor) --first;
  for (auto task = first; task != finished_.end(); ++task) {
    finished.push_back({{"id", task->id},
                        {"seq", task->seq},
                        {"result", task->result},
                        {"ran_ms", task->ran_ms},
                        {"answer", task->answer}});
  }
  return JsonReply(200, {{"incarnation", incarnation_},
                         {"cursor", std::max(last_seq_, cursor)},
                         {"finished", std::move(finished)},
                         {"running", running_.size()},
                         {"usage",
                          {{"cpu_milli", used_.cpu_milli},
                           {"memory_mb", used_.memory_mb},
                           {"age_ms", kUsageAge.count()}}},
                         {"leaving", mode_ == endpoint_mode::kLeaving}});
}

void endpoint_model::Acknowledge(uint64_t cursor) {
  acknowledged_ = std::max(acknowledged_, std::min(cursor, last_seq_));
}

void endpoint_model::EvictFinished(monotonic_time now) {
  while (!finished_.empty() && finished_.front().seq <= acknowledged_ &&
         finished_.front().evictable_at <= now) {
    finished_seq_.erase(finished_.front().id);
    finished_.pop_front();
  }
}

void endpoint_model::AnswerWaitingSyncs(monotonic_time now, due_replies& replies) {
  std::erase_if(waiting_, [&](const waiting_sync& sync) {
    if (last_seq_ <= sync.cursor && sync.until > now) return false;
    replies.emplace_back(sync.token, SyncReply(sync.cursor, now));
    return true;
  });
}

void endpoint_model::FinishTask(const std::string& id, const std::string& result,
                                monotonic_time now) {
  const auto found = running_.find(id);
  running_task task = std::move(found->second);
  running_.erase(found);
  used_ -= task.amount;
  Record(now, "end", id, task.epoch, task.spec, result);
  finished_.push_back({id, ++last_seq_, result, std::move(task.answer),
                       MillisecondsBetween(task.started, now), std::move(task.spec),
                       now + task.retention});
  finished_seq_[id] = last_seq_;
}

void endpoint_model::Tick(monotonic_time now, due_replies& replies) {
  std::erase_if(unanswered_, [&](const unanswered_call& call) {
    if (call.respond_at > now) return false;
    replies.emplace_back(call.token, ErrorReply(call.status, "dropped"));
    return true;
  });
  std::vector<std::pair<monotonic_time, std::string>> due_tasks;
  for (const auto& [id, task] : running_) {
    const monotonic_time end = std::min(task.ends, task.lease_until);
    if (end <= now) due_tasks.emplace_back(end, id);
  }
  std::sort(due_tasks.begin(), due_tasks.end());
  for (const auto& [end, id] : due_tasks) {
    const running_task& task = running_.at(id);
    FinishTask(id, task.lease_until < task.ends ? "lease_lapsed" : task.result, now);
  }
  if (!Unresponsive()) AnswerWaitingSyncs(now, replies);
}

monotonic_time endpoint_model::NextWake() const {
  monotonic_time next = monotonic_time::max();
  for (const auto& [id, task] : running_) {
    next = std::min(next, std::min(task.ends, task.lease_until));
  }
  for (const waiting_sync& sync : waiting_) next = std::min(next, sync.until);
  for (const unanswered_call& call : unanswered_) next = std::min(next, call.respond_at);
  return next;
}

void endpoint_model::HoldUnanswered(http_server::token token, int status, monotonic_time now) {
  unanswered_.push_back({token, now + kUnansweredHoldTime, status});
}

void endpoint_model::SetMode(endpoint_mode mode, monotonic_time now, due_replies& replies) {
  Tick(now, replies);
  if (mode == mode_) return;
  if (mode == endpoint_mode::kDead) {
    std::vector<std::string> ids;
    for (const auto& [id, task] : running_) ids.push_back(id);
    for (const std::string& id : ids) FinishTask(id, "killed", now);
  }
  if (mode == endpoint_mode::kDead || mode == endpoint_mode::kSilent ||
      mode == endpoint_mode::kLoseReplies) {
    for (const waiting_sync& sync : waiting_) HoldUnanswered(sync.token, 503, now);
    waiting_.clear();
  }
  if (mode_ == endpoint_mode::kDead) {
    // A restart loses all state: epoch, retained tasks and sequence numbers start again.
    ++incarnation_;
    epoch_ = 0;
    last_seq_ = 0;
    acknowledged_ = 0;
    finished_.clear();
    finished_seq_.clear();
  }
  mode_ = mode;
  Record(now, mode == endpoint_mode::kLeaving ? "leaving" : "mode", "", epoch_, {}, "");
  AnswerWaitingSyncs(now, replies);
}

}  // namespace catkinford
