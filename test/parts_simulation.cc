#include "parts_simulation.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr std::array kDomains = {"sapporo-ch", "otaru", "asahikawa"};
constexpr char kCaller[] = "caller";

}  // namespace

parts_simulation::parts_simulation(uint64_t seed) : random_(seed) {
  for (size_t site = 0; site < kSites; ++site) {
    sites_[site].name = absl::StrCat(kDomains[site], "/0");
    Open(site);
  }
  Step(milliseconds{1});
}

void parts_simulation::Open(size_t site) {
  site_state& at = sites_[site];
  shard_options options;
  options.name = at.name;
  options.epoch = at.epoch;
  options.is_evacuated = at.evacuated;
  at.owner = std::make_unique<shard>(options, teams_);
  Configure(site);
  std::vector<restored_job> jobs;
  jobs.reserve(at.log.size());
  for (const auto& [id, spec] : at.log) jobs.push_back({spec, {}, {}});
  at.owner->Restore(std::move(jobs), now_);
  if (at.evacuated) return;
  instance endpoint;
  endpoint.name = absl::StrCat(kDomains[site], "-ep-0");
  endpoint.rack = "rack";
  endpoint.address = "http://127.0.0.1:1";
  endpoint.shape = {16000, 32768, 0, 8};
  at.owner->SetEndpoints({endpoint}, now_);
  at.owner->SetIncarnations({{endpoint.name, 1}}, now_);
}

void parts_simulation::Configure(size_t site) {
  configuration config;
  config.workspaces.resize(1);
  team_contract team;
  team.name = "booking";
  team.limit = {100000, 100000, 0, 0};
  team.running_limit = 100;
  team.queue_limit = sites_[site].queue_limit;
  config.workspaces[0].teams.push_back(team);
  sites_[site].owner->SetConfiguration(config, now_);
  grant_entry grant;
  grant.team = "booking";
  grant.shard = sites_[site].name;
  grant.grant = {{100000, 100000, 0, 100}, 100};
  sites_[site].owner->SetGrants({grant}, now_);
}

void parts_simulation::SetQueueLimit(size_t site, uint32_t tasks) {
  sites_[site].queue_limit = tasks;
  Configure(site);
}

void parts_simulation::Start(uint32_t replicas) {
  place_message place;
  place.id = {7, 7};
  place.shard = sites_[0].name;
  place.team = "booking";
  place.kind = workload_kind::kService;
  place.each = {100, 100, 0, 1};
  place.tasks = replicas;
  place.fresh = true;
  uint32_t first = 0;
  for (size_t site = 0; site < kSites; ++site) {
    const auto number = static_cast<uint32_t>(site);
    const uint32_t tasks = replicas / kSites + (number < replicas % kSites ? 1 : 0);
    place.parts.push_back({sites_[site].name, first, tasks});
    first += tasks;
  }
  service_ = place;
  sites_[0].owner->Place(kCaller, std::move(place), now_);
}

void parts_simulation::Cancel() {
  At(0).Cancel(kCaller, {service_.id, sites_[0].name, "", 0}, now_);
}

void parts_simulation::ReplaceOwner(size_t site) { ChangeOwner(site, false); }

void parts_simulation::LoseAndEvacuate(size_t site) {
  sites_[site].running.clear();
  ChangeOwner(site, true);
}

void parts_simulation::ChangeOwner(size_t site, bool evacuated) {
  const bool was_applied = Below(2) == 0;
  for (const log_write& write : std::exchange(writes_, {})) {
    if (write.site != site) {
      writes_.push_back(write);
    } else if (was_applied && write.record) {
      sites_[site].log[write.job] = *write.record;
    } else if (was_applied) {
      sites_[site].log.erase(write.job);
    }
  }
  ++sites_[site].epoch;
  sites_[site].evacuated = evacuated;
  Open(site);
  for (size_t other = 0; other < kSites; ++other) {
    if (other != site) At(other).OnNewOwner(sites_[site].name, now_);
  }
}

// Splits evenly over the other sites that have endpoints.
std::vector<job_part> parts_simulation::SplitAwayFrom(size_t site, uint32_t tasks) const {
  std::vector<job_part> parts;
  for (size_t other = 0; other < kSites; ++other) {
    if (other != site && !sites_[other].evacuated) parts.push_back({sites_[other].name, 0, 0});
  }
  for (uint32_t i = 0; i < tasks && !parts.empty(); ++i) ++parts[i % parts.size()].tasks;
  return parts;
}

void parts_simulation::Step(milliseconds time) {
  now_ += time;
  for (size_t site = 0; site < kSites; ++site) {
    if (Below(100) >= odds_.slow_store) Commit(site);
    std::vector<shard_action> actions;
    if (sites_[site].evacuated) {
      At(site).Evacuate(
          [&](const place_message&, uint32_t tasks) { return SplitAwayFrom(site, tasks); }, now_);
    }
    sites_[site].owner->Act(now_, actions);
    for (const shard_action& action : actions) {
      std::visit([&](const auto& what) { Execute(site, what); }, action);
    }
  }
  Deliver();
}

size_t parts_simulation::SiteOf(const std::string& shard) const {
  size_t site = 0;
  while (sites_[site].name != shard) ++site;
  return site;
}

std::string parts_simulation::EntryOf(size_t site) const {
  return absl::StrCat(site, "@", sites_[site].epoch);
}

void parts_simulation::Send(size_t from, size_t to, uint64_t to_epoch, parts_message body) {
  if (cut_[from] || cut_[to] || Below(100) < odds_.lost) return;
  in_flight_.push_back({from, to, to_epoch, body});
  if (Below(100) < odds_.doubled) in_flight_.push_back({from, to, to_epoch, std::move(body)});
}

void parts_simulation::Deliver() {
  std::vector<sent_message> messages = std::exchange(in_flight_, {});
  std::shuffle(messages.begin(), messages.end(), random_);
  for (sent_message& sent : messages) {
    if (Below(100) < odds_.late) {
      in_flight_.push_back(std::move(sent));
    } else {
      Handle(sent);
    }
  }
}

void parts_simulation::Handle(const sent_message& sent) {
  site_state& at = sites_[sent.to];
  if (at.epoch != sent.to_epoch || cut_[sent.to]) return;  // its process is lost
  if (const auto* place = std::get_if<place_message>(&sent.body)) {
    at.owner->Place(EntryOf(sent.from), *place, now_);
  } else if (const auto* cancel = std::get_if<cancel_message>(&sent.body)) {
    at.owner->Cancel(EntryOf(sent.from), *cancel, now_);
  } else {
    at.owner->OnPartAnswer(std::get<part_answer_message>(sent.body), now_);
  }
}

endpoint_reply parts_simulation::ReplyOf(size_t /*site*/) const {
  endpoint_reply reply;
  reply.status = endpoint_status::kDone;
  reply.incarnation = 1;
  return reply;
}

void parts_simulation::Execute(size_t site, const fence_action& action) {
  endpoint_reply reply = ReplyOf(site);
  for (const task_id& id : sites_[site].running) {
    task_status status;
    status.id = id;
    status.amount = service_.each;
    status.kind = workload_kind::kService;
    status.team = service_.team;
    reply.tasks.push_back(status);
  }
  At(site).OnFence(action.endpoint, action.token, reply, now_);
}

void parts_simulation::Execute(size_t site, const start_action& action) {
  endpoint_reply reply = ReplyOf(site);
  for (const start_task& task : action.tasks) {
    ran_twice_ = ran_twice_ || Running().contains(task.id.index);
    sites_[site].running.insert(task.id);
    reply.results.push_back({task.id, call_result::kStarted});
  }
  At(site).OnStart(action.endpoint, action.token, action.tasks, reply, now_);
}

void parts_simulation::Execute(size_t site, const stop_action& action) {
  endpoint_reply reply = ReplyOf(site);
  for (const task_id& id : action.ids) {
    if (sites_[site].running.erase(id) == 0) continue;
    reply.cursor = sites_[site].next_seq++;
    reply.finished.push_back({id, reply.cursor, task_result::kStopped, milliseconds{5}, ""});
  }
  At(site).OnSync(action.endpoint, action.token, reply, now_);
}

void parts_simulation::Execute(size_t site, const record_action& action) {
  if (!action.is_change && Below(100) < odds_.not_recorded) {
    At(site).OnRecorded(action.job, false, now_);
    return;
  }
  writes_.push_back({site, action.job, *At(site).SpecOf(action.job)});
}

void parts_simulation::Execute(size_t site, const complete_action& action) {
  if (action.job_ended) writes_.push_back({site, action.task.job, std::nullopt});
}

// Commits all writes of one shard that are in flight.
void parts_simulation::Commit(size_t site) {
  for (const log_write& write : std::exchange(writes_, {})) {
    if (write.site == site) {
      NotifyRecorded(write);
    } else {
      writes_.push_back(write);
    }
  }
}

void parts_simulation::NotifyRecorded(const log_write& done) {
  if (done.record) {
    sites_[done.site].log[done.job] = *done.record;
    At(done.site).OnRecorded(done.job, true, now_);
  } else {
    sites_[done.site].log.erase(done.job);
    At(done.site).OnEndRecorded(done.job);
  }
}

void parts_simulation::Execute(size_t site, const part_action& action) {
  const size_t to = SiteOf(action.call.shard);
  if (action.call.is_cancel) {
    Send(site, to, sites_[to].epoch,
         cancel_message{action.call.id, action.call.shard, sites_[site].name, action.call.send});
    return;
  }
  const place_message* job = At(site).SpecOf(action.call.id);
  if (job == nullptr) return;
  place_message part = *job;
  part.shard = action.call.shard;
  part.home = sites_[site].name;
  part.send = action.call.send;
  Send(site, to, sites_[to].epoch, std::move(part));
}

void parts_simulation::Execute(size_t site, const part_answer_action& action) {
  const size_t to = SiteOf(action.answer.home);
  const uint64_t epoch = EntryOf(to) == action.entry ? sites_[to].epoch : 0;
  Send(site, to, epoch, action.answer);
}

void parts_simulation::Execute(size_t /*site*/, const answer_action& action) {
  if (action.entry == kCaller) outcomes_.push_back(action.result);
}

std::map<uint32_t, int> parts_simulation::Running() const {
  std::map<uint32_t, int> running;
  for (const site_state& at : sites_) {
    for (const task_id& id : at.running) ++running[id.index];
  }
  return running;
}

std::set<uint32_t> parts_simulation::RunningAt(size_t site) const {
  std::set<uint32_t> running;
  for (const task_id& id : sites_[site].running) running.insert(id.index);
  return running;
}

bool parts_simulation::WasReported(outcome_kind kind) const {
  return std::any_of(outcomes_.begin(), outcomes_.end(),
                     [&](const outcome& one) { return one.kind == kind; });
}

bool parts_simulation::WasReportedOver() const {
  return std::any_of(outcomes_.begin(), outcomes_.end(), [](const outcome& one) {
    return one.kind == outcome_kind::kFailed || one.reason == rejection_reason::kCancelled;
  });
}

}  // namespace catkinford
