#include "bench/scenario_faults.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kShortFault{4000};
constexpr milliseconds kLongFault{6000};
constexpr milliseconds kListed{1000};      // until the platform notices that an instance is gone
constexpr milliseconds kNoticed{3000};     // until members' leases have lapsed and peers are missed
constexpr milliseconds kEvacuated{18000};  // until task leases are waited out and jobs run again
constexpr int kEvacuatedJobs = 40;
constexpr int kSilences = 3;
constexpr int kRaces = 8;
constexpr int kWave = 1000;
constexpr int kAsks = 200;
constexpr int kAskRounds = 3;
constexpr int kLongTasks = 100;
constexpr int kSlowRequests = 30;
constexpr milliseconds kUnderWay{700};
constexpr milliseconds kSilence{8000};  // an owner takes 6 s to be sure of it
constexpr uint32_t kLoweredLimit = 10;

size_t PickDomain(scenario_run& run) {
  return run.Random()() % run.Fleet().Options().domains.size();
}

// A partition either loses what is sent or delivers it late; both happen.
link_rule PickCut(scenario_run& run) {
  constexpr std::array kStates = {link_state::kBlackhole, link_state::kStall, link_state::kCut};
  link_rule rule;
  rule.state = kStates[run.Random()() % kStates.size()];
  return rule;
}

void OwnerKilled(scenario_run& run) {
  const size_t domain = PickDomain(run);
  const size_t owner = run.OwnerSlot(domain);
  run.TimeNextPlacement(domain);
  run.KillEntry(owner);
  run.Sleep(kListed);
  run.Fleet().Unlist(owner);
  run.Sleep(kShortFault);
}

void OwnerPaused(scenario_run& run) {
  const size_t domain = PickDomain(run);
  const size_t owner = run.OwnerSlot(domain);
  run.TimeNextPlacement(domain);
  run.PauseEntry(owner);
  run.Sleep(kShortFault);
  run.ResumeEntry(owner);
}

void ReplacementWave(scenario_run& run) {
  for (size_t slot = 0; slot < run.Fleet().Entries(); ++slot) {
    run.ReplaceEntry(slot);
    run.Fleet().WaitReady(slot, kLongFault);
    run.Sleep(milliseconds{500});
  }
}

void StoreDown(scenario_run& run) {
  run.Fleet().SetStore({{"mode", "down"}});
  for (size_t slot = 0; slot < run.Fleet().Entries(); ++slot) run.CutFromNews(slot);
  run.Sleep(kLongFault);
  run.Fleet().SetStore({{"mode", "up"}});
  for (size_t slot = 0; slot < run.Fleet().Entries(); ++slot) run.Healed(slot);
}

void StoreSlowLostReplies(scenario_run& run) {
  run.Fleet().SetStore({{"mode", "slow"}, {"delay_ms", 300}});
  run.Sleep(kShortFault);
  run.Fleet().SetStore({{"mode", "lose_replies"}, {"ratio", 0.5}});
  run.Sleep(kShortFault);
  run.Fleet().SetStore({{"mode", "up"}});
}

void SetPlatformLinks(scenario_run& run, size_t domain, const link_rule& rule) {
  for (const size_t slot : run.SlotsOf(domain)) {
    run.Fleet().SetStoreLink(slot, rule);
    run.Fleet().SetInstancesLink(slot, rule);
  }
}

void SetOutsideLinks(scenario_run& run, size_t domain, const link_rule& rule) {
  const size_t domains = run.Fleet().Options().domains.size();
  for (size_t other = 0; other < domains; ++other) {
    if (other == domain) continue;
    for (const size_t inside : run.SlotsOf(domain)) {
      run.Fleet().SetEndpointLink(inside, other, rule);
      for (const size_t outside : run.SlotsOf(other)) {
        run.Fleet().SetPeerLink(inside, outside, rule);
        run.Fleet().SetPeerLink(outside, inside, rule);
        run.Fleet().SetEndpointLink(outside, domain, rule);
      }
    }
  }
}

void DomainCutFromPlatform(scenario_run& run) {
  const size_t domain = PickDomain(run);
  for (const size_t slot : run.SlotsOf(domain)) run.CutFromNews(slot);
  SetPlatformLinks(run, domain, PickCut(run));
  run.Sleep(kLongFault);
  SetPlatformLinks(run, domain, {});
  for (const size_t slot : run.SlotsOf(domain)) run.Healed(slot);
}

void DomainCutOff(scenario_run& run) {
  const size_t domain = PickDomain(run);
  for (const size_t slot : run.SlotsOf(domain)) run.CutFromNews(slot);
  const link_rule cut = PickCut(run);
  SetPlatformLinks(run, domain, cut);
  SetOutsideLinks(run, domain, cut);
  run.Sleep(kLongFault);
  SetPlatformLinks(run, domain, {});
  SetOutsideLinks(run, domain, {});
  for (const size_t slot : run.SlotsOf(domain)) run.Healed(slot);
}

void LoseDomain(scenario_run& run, size_t domain) {
  for (const size_t slot : run.SlotsOf(domain)) run.KillEntry(slot);
  for (const std::string& endpoint : run.Fleet().EndpointsOf(domain)) {
    run.Fleet().SetEndpointMode(endpoint, "dead");
  }
}

// New entries, and endpoints that know nothing.
void BringBack(scenario_run& run, size_t domain) {
  for (const std::string& endpoint : run.Fleet().EndpointsOf(domain)) {
    run.Fleet().SetEndpointMode(endpoint, "up");
  }
  for (const size_t slot : run.SlotsOf(domain)) run.ReplaceEntry(slot);
  for (const size_t slot : run.SlotsOf(domain)) run.Fleet().WaitReady(slot, kLongFault);
}

// All that a domain has is gone at once: entries, endpoints and what runs there.
void DomainLost(scenario_run& run) {
  const size_t domain = PickDomain(run);
  LoseDomain(run, domain);
  run.Sleep(kLongFault);
  run.MarkFaultEnd();
  BringBack(run, domain);
}

// Jobs that still run when the domain is lost, and may run again.
void SubmitLongBatch(scenario_run& run) {
  const std::vector<load_target> targets = run.InBalancer();
  for (int i = 0; i < kEvacuatedJobs && !targets.empty(); ++i) {
    call_spec spec;
    spec.work = absl::StrCat("long-", i);
    spec.kind = workload_kind::kBatch;
    spec.tasks = 3;
    spec.run_time = kLongFault;
    const load_target& target = targets[static_cast<size_t>(i) % targets.size()];
    const team_access& team = run.Teams()[static_cast<size_t>(i) % run.Teams().size()];
    run.Callers().Submit(target.entry, target.url, team, spec, steady_clock::now());
  }
  run.Sleep(milliseconds{2000});
}

// The same, but an operator gives the domain up. It comes back all the same, in the end.
void DomainEvacuated(scenario_run& run) {
  const size_t domain = PickDomain(run);
  const size_t elsewhere = run.SlotsOf((domain + 1) % run.Fleet().Options().domains.size()).front();
  SubmitLongBatch(run);
  LoseDomain(run, domain);
  run.Sleep(kNoticed);
  run.Evacuate(elsewhere, domain);
  run.Sleep(kEvacuated);
  run.MarkFaultEnd();
  run.Evacuate(elsewhere, domain);  // how far it is
  BringBack(run, domain);
  run.Sleep(kShortFault);
}

// Every link between regions is lost, while each region still reaches the platform.
void RegionsApart(scenario_run& run) {
  const link_rule cut = PickCut(run);
  const size_t domains = run.Fleet().Options().domains.size();
  for (size_t domain = 0; domain < domains; ++domain) SetOutsideLinks(run, domain, cut);
  run.Sleep(kLongFault);
  for (size_t domain = 0; domain < domains; ++domain) SetOutsideLinks(run, domain, {});
}

void SilentConnections(scenario_run& run) {
  const size_t domains = run.Fleet().Options().domains.size();
  for (int round = 0; round < kSilences; ++round) {
    for (size_t slot = 0; slot < run.Fleet().Entries(); ++slot) {
      for (size_t domain = 0; domain < domains; ++domain) {
        run.Fleet().SilenceEndpointConnections(slot, domain);
      }
      for (size_t other = 0; other < run.Fleet().Entries(); ++other) {
        run.Fleet().SilencePeerConnections(slot, other);
      }
    }
    run.Sleep(milliseconds{2000});
  }
}

void EndpointDrain(scenario_run& run) {
  const std::vector<std::string> endpoints = run.Fleet().EndpointsOf(PickDomain(run));
  run.Fleet().SetEndpointLeaving(endpoints[0]);
  run.Fleet().SetEndpointLeaving(endpoints[1]);
  run.Drain(endpoints[2]);
  run.Sleep(kLongFault);
}

// Work that is under way for long enough that a fault strikes in the middle of it.
void SubmitLong(scenario_run& run, int count, call_spec spec) {
  const std::vector<load_target> targets = run.InBalancer();
  for (int i = 0; i < count && !targets.empty(); ++i) {
    const auto number = static_cast<size_t>(i);
    spec.work = absl::StrCat("long-", i);
    const load_target& target = targets[number % targets.size()];
    run.Callers().Submit(target.entry, target.url, run.Teams()[number % run.Teams().size()], spec,
                         steady_clock::now());
  }
  run.Sleep(kUnderWay);
}

// The endpoints of a domain, those with the most long work first.
std::vector<std::string> BusiestEndpoints(scenario_run& run, size_t domain) {
  std::map<std::string, int> tasks;
  for (const run_event& event : run.Fleet().Events()) {
    if (event.event == "start" && event.work.starts_with("long-")) ++tasks[event.endpoint];
  }
  std::vector<std::string> endpoints = run.Fleet().EndpointsOf(domain);
  std::stable_sort(endpoints.begin(), endpoints.end(),
                   [&](const auto& a, const auto& b) { return tasks[a] > tasks[b]; });
  return endpoints;
}

// The silent one goes on with what it runs. Nothing of that may be started elsewhere before its
// lease has lapsed.
void EndpointKilled(scenario_run& run) {
  call_spec batch;
  batch.kind = workload_kind::kBatch;
  batch.run_time = milliseconds{9000};
  SubmitLong(run, kLongTasks, batch);
  const std::vector<std::string> busiest = BusiestEndpoints(run, PickDomain(run));
  const std::vector<std::string> endpoints = {busiest[1], busiest[2], busiest[0]};
  run.Fleet().SetEndpointMode(endpoints[0], "dead");
  run.Fleet().SetEndpointMode(endpoints[1], "dead");
  run.Fleet().SetEndpointMode(endpoints[2], "silent");
  run.Sleep(kSilence);
  run.Fleet().SetEndpointMode(endpoints[0], "up");
  run.Fleet().SetEndpointMode(endpoints[2], "up");
}

void FailingEndpoint(scenario_run& run) {
  const std::vector<std::string> endpoints = run.Fleet().EndpointsOf(PickDomain(run));
  run.Fleet().SetEndpointMode(endpoints[0], "fail_all");
  run.Fleet().SetEndpointMode(endpoints[1], "broken");
  run.Sleep(kShortFault);
  run.Fleet().SetEndpointMode(endpoints[0], "up");
  run.Fleet().SetEndpointMode(endpoints[1], "up");
}

// Some requests take longer than the hand-over of the shard: the process has to wait for them.
void GracefulShutdown(scenario_run& run) {
  const size_t domain = PickDomain(run);
  const size_t owner = run.OwnerSlot(domain);
  call_spec slow;
  slow.run_time = milliseconds{3000};
  slow.deadline = milliseconds{8000};
  SubmitLong(run, kSlowRequests, slow);
  run.TimeNextPlacement(domain);
  run.StopGracefully(owner);
  run.Sleep(milliseconds{2000});
}

void ShutdownStoreDown(scenario_run& run) {
  run.Fleet().SetStore({{"mode", "down"}});
  for (size_t slot = 0; slot < run.Fleet().Entries(); ++slot) run.CutFromNews(slot);
  run.Sleep(milliseconds{1000});
  run.StopGracefully(run.OwnerSlot(PickDomain(run)));
  run.Sleep(milliseconds{1000});
  run.Fleet().SetStore({{"mode", "up"}});
  for (size_t slot = 0; slot < run.Fleet().Entries(); ++slot) run.Healed(slot);
}

void KeyWithdrawn(scenario_run& run) {
  run.WithdrawKey(run.Teams().front());
  run.Sleep(milliseconds{8000});
}

void LimitLowered(scenario_run& run) {
  run.LowerLimit(run.Teams().front().team, kLoweredLimit, milliseconds{5000});
  run.Sleep(milliseconds{9000});
}

// Two operators at two entries read the same version and send conflicting changes at once.
void OperatorsRace(scenario_run& run) {
  for (int round = 0; round < kRaces; ++round) {
    std::vector<std::thread> operators;
    for (uint32_t number = 0; number < 2; ++number) {
      const size_t slot = (static_cast<size_t>(round) + size_t{number} * 3) % run.Fleet().Entries();
      operators.emplace_back([&run, slot, number, round] {
        auto present = run.ReadConfig(slot);
        if (!present) return;
        const auto shift = static_cast<uint32_t>(round) * 2 + number;
        present->config.workspaces[number].teams[0].queue_limit = 10000 + shift;
        run.PutConfig(slot, present->version, present->config);
      });
    }
    for (std::thread& one : operators) one.join();
    run.Sleep(milliseconds{300});
  }
  run.Sleep(milliseconds{3000});
}

void CancelWave(scenario_run& run) {
  const std::vector<load_target> targets = run.InBalancer();
  if (targets.empty()) return;
  std::vector<std::pair<size_t, std::string>> jobs;  // team and mark
  for (int i = 0; i < kWave; ++i) {
    call_spec spec;
    spec.work = absl::StrCat("wave-", i);
    spec.kind = workload_kind::kBatch;
    spec.run_time = milliseconds{60000};
    const size_t team = static_cast<size_t>(i) % run.Teams().size();
    const load_target& target = targets[static_cast<size_t>(i) % targets.size()];
    run.Callers().Submit(target.entry, target.url, run.Teams()[team], spec, steady_clock::now());
    jobs.emplace_back(team, spec.work);
  }
  run.Sleep(milliseconds{2500});
  for (size_t i = 0; i < jobs.size(); ++i) {
    const load_target& target = targets[(i + 1) % targets.size()];
    run.Callers().Cancel(target.entry, target.url, run.Teams()[jobs[i].first], jobs[i].second);
  }
  run.Sleep(milliseconds{2000});
}

// Callers that got no answer soon enough ask again at another entry, with the same key; one of the
// entries dies in the middle.
void CallerAsksAgain(scenario_run& run) {
  const std::vector<load_target> targets = run.InBalancer();
  if (targets.empty()) return;
  const size_t killed = run.OwnerSlot(PickDomain(run));
  for (int i = 0; i < kAsks; ++i) {
    call_spec spec;
    spec.work = absl::StrCat("again-", i);
    spec.repeatable = false;
    spec.run_time = milliseconds{50};
    const team_access& team = run.Teams()[static_cast<size_t>(i) % run.Teams().size()];
    for (size_t ask = 0; ask < 3; ++ask) {
      const load_target& target = targets[(static_cast<size_t>(i) + ask) % targets.size()];
      run.Callers().Submit(target.entry, target.url, team, spec, steady_clock::now());
      run.Sleep(milliseconds{static_cast<int64_t>(run.Random()() % 8)});
    }
    if (i == kAsks / 2) run.KillEntry(killed);
  }
  run.Sleep(milliseconds{2000});
}

// An owner dies, and before the next one has listed the endpoints they restart and forget what they
// ran. Callers that wait, or that lost their answer with the owner, ask again with the same keys.
void EndpointsRestartInTakeover(scenario_run& run) {
  const std::vector<load_target> targets = run.InBalancer();
  if (targets.empty()) return;
  const size_t domain = PickDomain(run);
  const auto ask = [&](int i, size_t target) {
    call_spec spec;
    spec.work = absl::StrCat("lost-", i);
    spec.repeatable = false;
    spec.run_time = milliseconds{50};
    const load_target& at = targets[target % targets.size()];
    run.Callers().Submit(at.entry, at.url, run.Teams()[static_cast<size_t>(i) % run.Teams().size()],
                         spec, steady_clock::now());
  };
  for (int i = 0; i < kAsks; ++i) {
    ask(i, static_cast<size_t>(i));
    run.Sleep(milliseconds{1});
  }
  run.KillEntry(run.OwnerSlot(domain));
  for (const std::string& endpoint : run.Fleet().EndpointsOf(domain)) {
    run.Fleet().SetEndpointMode(endpoint, "dead");
    run.Fleet().SetEndpointMode(endpoint, "up");
  }
  for (int round = 0; round < kAskRounds; ++round) {
    run.Sleep(kShortFault / kAskRounds);
    for (int i = 0; i < kAsks; ++i) ask(i, static_cast<size_t>(i + round) + 1);
  }
}

void NeedLinks(scenario_options& options) { options.fleet.proxied = true; }

void NeedServices(scenario_options& options) {
  options.services = 24;
  options.replicas = 6;
}

void NeedRegions(scenario_options& options) {
  options.fleet.proxied = true;
  options.fleet.region_delay = milliseconds{40};
}

// Longer than the run waits for an exit: an entry that only ends at its limit counts as stuck.
void NeedLateLimit(scenario_options& options) { options.fleet.timing["shutdown_limit"] = "120s"; }

void NeedLongBatch(scenario_options& options) {
  options.fleet.team_running_limit = 60;
  options.load.rate = 150;
  options.load.shortest_run = milliseconds{300};
  options.load.longest_run = milliseconds{600};
}

// Of which two_faults draws. The list stays as it is, so that a seed names the same pair for ever.
constexpr std::array<std::string_view, 17> kPaired = {
    "owner_killed",    "owner_paused_past_lease",  "entry_replacement_wave",
    "store_down",      "store_slow_lost_replies",  "domain_cut_from_platform",
    "domain_cut_off",  "silent_connections",       "endpoint_drain",
    "endpoint_killed", "failing_endpoint",         "graceful_shutdown",
    "key_withdrawn",   "limit_lowered_under_load", "operators_race",
    "cancel_wave",     "caller_asks_again"};
constexpr std::array kScenarios = std::to_array<scenario_info>({
    {"owner_killed", "SIGKILL to the owner of a shard", nullptr, &OwnerKilled},
    {"owner_paused_past_lease", "SIGSTOP for longer than its lease, then SIGCONT", nullptr,
     &OwnerPaused},
    {"entry_replacement_wave", "each entry killed and replaced, one after the other", nullptr,
     &ReplacementWave},
    {"store_down", "the store refuses everything, leases lapse meanwhile", nullptr, &StoreDown},
    {"store_slow_lost_replies", "300 ms a call, then half of the writes' replies lost", nullptr,
     &StoreSlowLostReplies},
    {"domain_cut_from_platform", "a failure domain reaches neither store nor instance list",
     &NeedLinks, &DomainCutFromPlatform},
    {"domain_cut_off", "a failure domain reaches neither the platform nor the others", &NeedLinks,
     &DomainCutOff},
    {"domain_lost", "entries and endpoints of a failure domain die, and come back new",
     &NeedServices, &DomainLost},
    {"domain_evacuated", "a failure domain dies, an operator moves its jobs; it comes back new",
     &NeedServices, &DomainEvacuated},
    {"silent_connections", "all open connections go silent for good, three times", &NeedLinks,
     &SilentConnections},
    {"endpoint_drain", "two endpoints leave, one is drained by an operator", nullptr,
     &EndpointDrain},
    {"endpoint_killed", "two endpoints die, one goes silent; two come back", nullptr,
     &EndpointKilled},
    {"failing_endpoint", "an endpoint fails all it starts, another starts nothing", nullptr,
     &FailingEndpoint},
    {"graceful_shutdown", "SIGTERM to the owner of a shard", nullptr, &GracefulShutdown},
    {"key_withdrawn", "an operator withdraws a team's only key", nullptr, &KeyWithdrawn},
    {"limit_lowered_under_load", "a team's running limit is lowered below what it runs",
     &NeedLongBatch, &LimitLowered},
    {"operators_race", "two operators at two entries, conflicting changes at once", nullptr,
     &OperatorsRace},
    {"cancel_wave", "1,000 batch jobs, all cancelled at once", nullptr, &CancelWave},
    {"endpoints_restart_in_takeover", "an owner dies, its endpoints restart, callers ask again",
     nullptr, &EndpointsRestartInTakeover},
    {"caller_asks_again", "not repeatable requests, asked at three entries; an owner dies", nullptr,
     &CallerAsksAgain},
    {"regions_apart", "three regions, 40 ms each way, lose each other but not the platform",
     &NeedRegions, &RegionsApart},
    {"shutdown_store_down", "SIGTERM to the owner of a shard while the store is out",
     &NeedLateLimit, &ShutdownStoreDown},
});

}  // namespace

std::span<const scenario_info> AllScenarios() { return kScenarios; }

std::span<const std::string_view> PairedScenarios() { return kPaired; }

const scenario_info* FindScenario(std::string_view name) {
  for (const scenario_info& scenario : kScenarios) {
    if (scenario.name == name) return &scenario;
  }
  return nullptr;
}

}  // namespace catkinford
