#include "bench/site_load.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdio>
#include <string_view>

#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/thread_clock.h"

ABSL_FLAG(double, site_burst, 1, "times the usual of the quick queue, from 10 s to 14 s");
ABSL_FLAG(double, site_plan_burst, 1, "times the usual of the large queue, from 20 s to 24 s");
ABSL_FLAG(uint32_t, site_seconds, 40, "simulated seconds");
ABSL_FLAG(bool, site_full, false, "cheap policies, short urgent steps and a nearly full site");

namespace catkinford {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kLink{2};         // one way, with the codecs
constexpr milliseconds kStoreTakes{10};  // a change, there and back
constexpr milliseconds kTick{50};
constexpr milliseconds kSoon{3};
constexpr milliseconds kStopTakes{300};
constexpr milliseconds kLead{10000};  // before arrivals, for what is there from the start
constexpr size_t kMostInCommit = 28;
constexpr double kStepDecay = 0.4;
constexpr uint32_t kRack = 20;
constexpr double kLateUpTo = 3;  // times the objective
constexpr std::array<double, 4> kSizes = {1.0, 1.0, 0.5, 2.0};
constexpr std::array<double, 3> kSpeeds = {0.8, 1.0, 1.25};
constexpr double kTaskFails = 0.01;

// FNV-1a, alike on every machine.
uint64_t Mix(uint64_t hash, std::string_view text) {
  for (const char each : text) {
    hash = (hash ^ static_cast<unsigned char>(each)) * uint64_t{0x100000001b3};
  }
  return hash;
}

}  // namespace

std::vector<site_queue> LargeSiteMix() {
  site_queue quick;
  quick.name = "quick";
  quick.jobs_per_second = 28;
  quick.steps = 1.6;
  quick.width = 9.5;
  quick.cpu_milli = 2200;
  quick.memory_mb = 4100;
  quick.run = milliseconds{1000};
  quick.stretch = 1.5;
  quick.target = milliseconds{250};
  quick.allowed = 0.7;
  quick.advice = {milliseconds{29}, std::chrono::microseconds{410}, milliseconds{2500}};
  quick.worth = 0.66;
  quick.late_worth = 0.132;
  site_queue plan;
  plan.name = "plan";
  plan.priority = 2;
  plan.jobs_per_second = 4.15;
  plan.steps = 2;
  plan.width = 21;
  plan.width_spread = 0.6;
  plan.cpu_milli = 4500;
  plan.memory_mb = 6400;
  plan.run = milliseconds{3800};
  plan.saves = 0.8;
  plan.stretch = 2.2;
  plan.target = milliseconds{1200};
  plan.allowed = 0.35;
  plan.advice = {milliseconds{390}, std::chrono::microseconds{5500}, milliseconds{2500}};
  plan.at_start = 24;
  plan.worth = 2.53;
  plan.late_worth = 0.506;
  site_queue lasting;
  lasting.name = "lasting";
  lasting.priority = 1;
  lasting.jobs_per_second = 0.296;
  lasting.width = 20;
  lasting.cpu_milli = 4500;
  lasting.memory_mb = 6300;
  lasting.lasts = true;
  lasting.stay = milliseconds{45000};
  lasting.stretch = 2.2;
  lasting.allowed = 0.35;
  lasting.advice = {milliseconds{450}, std::chrono::microseconds{6500}, milliseconds{2500}};
  lasting.at_start = 13;
  return {quick, plan, lasting};
}

std::vector<site_queue> FullSiteMix() {
  constexpr double kPart = 350.0 / 1100;  // the rates below are those of 1,100 instances
  std::vector<site_queue> queues = LargeSiteMix();
  const advice_timing advice{milliseconds{25}, std::chrono::microseconds{350}, milliseconds{2500}};
  site_queue& urgent = queues[0];
  urgent.jobs_per_second = 57 * kPart;
  urgent.steps = 1;
  urgent.width = 13;
  urgent.cpu_milli = 4000;
  urgent.run = milliseconds{640};
  urgent.advice = advice;
  site_queue& batch = queues[1];
  batch.jobs_per_second = 6.6 * kPart;
  batch.steps = 1;
  batch.width = 41;
  batch.cpu_milli = 4000;
  batch.advice = advice;
  site_queue& service = queues[2];
  service.jobs_per_second = 3.5 * kPart;
  service.cpu_milli = 4000;
  service.advice = advice;
  service.at_start = 50;
  return queues;
}

site_load::site_load(const site_load_options& options, std::vector<site_queue> queues)
    : options_(options), queues_(std::move(queues)), random_(options.seed) {
  results_.resize(queues_.size());
  scheduler_ = std::make_unique<job_scheduler>(scheduler_options{}, 1, Mono());
  std::vector<queue_config> terms;
  for (const site_queue& queue : queues_) {
    queue_config out;
    out.name = queue.name;
    out.jobs = {"service", queue.priority, 3, queue.stretch, queue.target, true};
    out.advice = queue.advice;
    terms.push_back(out);
  }
  scheduler_->SetVersion(std::make_shared<const site_configuration>(
      1, std::move(terms), std::vector<workspace_config>{}, std::vector<service_config>{},
      caller_limits{}));
  std::vector<std::string> entries;
  for (uint32_t i = 0; i < options_.entries; ++i) entries.push_back(absl::StrCat("entry-", i));
  spread_.SetEntries(entries);
  std::vector<instance_report> reports;
  for (uint32_t i = 0; i < options_.instances; ++i) {
    live_instance made;
    const double size = kSizes[random_.Below(kSizes.size())];
    made.report.id = absl::StrCat("i-", 1000000000 + i);
    made.report.service = "service";
    made.report.address = made.report.id;
    made.report.rack = absl::StrCat("r", i / kRack);
    made.report.capacity = {static_cast<uint32_t>(16000 * size),
                            static_cast<uint32_t>(32768 * size), 0, 0};
    made.report.incarnation = 1;
    made.speed = kSpeeds[random_.Below(kSpeeds.size())];
    reports.push_back(made.report);
    instances_[made.report.id] = made;
  }
  scheduler_->OnRegistry(reports, Mono());
}

double site_load::CapacityCores() const {
  double out = 0;
  for (const auto& [id, instance] : instances_) out += instance.report.capacity.cpu_milli / 1000.0;
  return out;
}

void site_load::At(milliseconds time, std::function<void()> task) {
  events_.emplace(std::max(time, now_), std::move(task));
}

template <typename Work>
auto site_load::Timed(const std::string& part, Work work) {
  const auto before = thread_clock::Now();
  struct note {
    site_part_cost& cost;
    std::chrono::nanoseconds before;
    ~note() {
      ++cost.calls;
      cost.spent += thread_clock::Now() - before;
    }
  } at_end{costs_[part], before};
  return work();
}

void site_load::Arrive(size_t queue) {
  const site_queue& terms = queues_[queue];
  double rate = terms.jobs_per_second;
  if (queue == 0 && now_ >= kLead + milliseconds{10000} && now_ < kLead + milliseconds{14000}) {
    rate *= options_.burst;
  }
  if (queue == 1 && now_ >= kLead + milliseconds{20000} && now_ < kLead + milliseconds{24000}) {
    rate *= options_.plan_burst;
  }
  const auto pause = milliseconds(static_cast<int64_t>(random_.Exponential(1000 / rate)));
  At(now_ + pause, [this, queue] {
    if (now_ > kLead + options_.length) return;
    Submit(queue);
    Arrive(queue);
  });
}

void site_load::Submit(size_t queue) {
  const site_queue& terms = queues_[queue];
  const std::string id = absl::StrCat(1000000000000000 + next_job_++);
  live_job& live = jobs_[id];
  graph_job job;
  job.id = id;
  job.queue = terms.name;
  job.payload = std::string(800, 'x');
  job.accepted = Wall();
  job.terms = {"service", terms.priority, 3, terms.stretch, terms.target, true};
  uint32_t steps = 1;
  while (!terms.lasts && steps < 4 && random_.Part() < 1 - 1 / terms.steps + kStepDecay / 10) {
    ++steps;
  }
  double work = 0;
  milliseconds chain{0};
  for (uint32_t i = 0; i < steps; ++i) {
    step_spec step;
    const double median = terms.width / std::exp(terms.width_spread * terms.width_spread / 2);
    step.count = static_cast<uint32_t>(
        std::clamp(random_.LogNormal(median, terms.width_spread), 1.0, terms.width * 6));
    step.need = {
        static_cast<uint32_t>(std::min(7500.0, random_.LogNormal(terms.cpu_milli * 0.9, 0.4))),
        static_cast<uint32_t>(std::min(13000.0, random_.LogNormal(terms.memory_mb * 0.85, 0.5))), 0,
        0};
    const auto run = milliseconds(static_cast<int64_t>(
        std::min(2.5 * static_cast<double>(terms.run.count()),
                 random_.LogNormal(static_cast<double>(terms.run.count()) * 0.88, 0.5))));
    step.estimate = milliseconds(
        static_cast<int64_t>(static_cast<double>(run.count()) * random_.LogNormal(1, 0.3)));
    step.long_running = terms.lasts;
    step.checkpointing = random_.Part() < terms.saves;
    if (i > 0) step.after = {i - 1};
    live.run.push_back(run);
    chain += run;
    work += step.count * step.need.cpu_milli / 1000.0 * static_cast<double>(run.count()) / 1000;
    job.steps.push_back(step);
  }
  const double mean = terms.steps * terms.width * terms.cpu_milli / 1000.0 *
                      static_cast<double>(terms.run.count()) / 1000;
  const double factor = std::min(4.0, 0.3 + 0.7 * work / mean);
  live.queue = queue;
  live.owed = terms.worth * factor;
  live.late = terms.late_worth * factor;
  live.came = now_;
  live.objective =
      milliseconds(static_cast<int64_t>(terms.stretch * static_cast<double>(chain.count()))) +
      terms.target;
  live.counted = now_ >= kLead && !terms.lasts;
  if (terms.lasts) {
    const auto stay = milliseconds(static_cast<int64_t>(
        random_.LogNormal(static_cast<double>(terms.stay.count()) * 0.8, 0.6)));
    At(now_ + stay, [this, id] {
      scheduler_->OnCancel(id, Mono());
      Soon();
    });
  }
  Timed("job", [&] { scheduler_->OnJob(std::move(job), {}, false, Wall(), Mono()); });
  Soon();
}

void site_load::Soon() {
  if (std::exchange(soon_, true)) return;
  At(now_ + kSoon, [this] {
    soon_ = false;
    Decide();
  });
}

void site_load::Decide() {
  scheduler_commands orders = Timed("decide", [&] { return scheduler_->Decide(Wall(), Mono()); });
  HashCommands(orders);
  scheduler_->TakeEvents();
  for (const start_command& order : orders.starts) Start(order);
  for (const stop_command& order : orders.stops) Stop(order);
  for (const list_command& order : orders.listings) List(order);
  for (advice_query& order : orders.advice) spread_.Add(std::move(order), Mono());
  AskNext();
  Commit();
}

void site_load::HashTarget(char kind, const command_target& to) {
  command_hash_ =
      Mix(command_hash_, absl::StrCat(std::string(1, kind), now_.count(), " ", to.instance));
}

void site_load::HashRun(char kind, const command_target& to, const task_key& key, uint32_t run) {
  HashTarget(kind, to);
  command_hash_ = Mix(command_hash_, absl::StrCat(key.job, ".", key.occurrence, ".", key.step, ".",
                                                  key.index, ".", run));
}

void site_load::HashCommands(const scheduler_commands& orders) {
  for (const stop_command& order : orders.stops) HashRun('x', order.to, order.key, order.run);
  for (const list_command& order : orders.listings) {
    HashTarget('l', order.to);
    command_hash_ =
        Mix(command_hash_, absl::StrCat(order.lease_until_ms.value_or(0), " ", order.ends_seen, " ",
                                        order.wait.count(), " ", order.check));
  }
  for (const advice_query& order : orders.advice) {
    command_hash_ = Mix(command_hash_, absl::StrCat("a", order.job, ".", order.step));
    for (const std::string& id : order.instances) command_hash_ = Mix(command_hash_, id);
  }
}

void site_load::Start(const start_command& order) {
  HashRun('s', order.to, order.key, order.run);
  command_hash_ = Mix(command_hash_, absl::StrCat(order.lease_until_ms, order.ticket));
  ++starts_;
  At(now_ + kLink, [this, order] {
    live_instance& instance = instances_[order.to.instance];
    const live_job& job = jobs_[order.key.job];
    const step_spec& terms = scheduler_->Find(order.key.job)->job.steps[order.key.step];
    live_run run;
    run.key = order.key;
    run.run = order.run;
    run.began = now_;
    run.lasting = terms.long_running;
    run.cores = terms.need.cpu_milli / 1000.0;
    run.saves = terms.checkpointing;
    const auto saved = order.checkpoint.empty() ? int64_t{0} : std::stoll(order.checkpoint);
    const double left = static_cast<double>(job.run[order.key.step].count() - saved);
    run.ends =
        now_ + milliseconds(std::max<int64_t>(1, static_cast<int64_t>(left / instance.speed)));
    instance.runs.push_back(run);
    if (!run.lasting) {
      At(run.ends, [this, id = order.to.instance, key = order.key, number = order.run] {
        live_instance& at = instances_[id];
        for (size_t i = 0; i < at.runs.size(); ++i) {
          if (at.runs[i].key != key || at.runs[i].run != number || at.runs[i].stopping) continue;
          return End(at, i, random_.Part() < kTaskFails ? run_end::kFailed : run_end::kDone);
        }
      });
    }
    At(now_ + kLink, [this, order] {
      Timed("start_answer", [&] {
        scheduler_->OnStartAnswer(order, {command_result::kDone, now_.count() + 1}, Mono());
      });
    });
  });
}

void site_load::Stop(const stop_command& order) {
  At(now_ + kLink, [this, order] {
    live_instance& instance = instances_[order.to.instance];
    for (live_run& run : instance.runs) {
      if (run.key != order.key || run.run != order.run) continue;
      run.stopping = true;
      At(now_ + kStopTakes, [this, order] {
        live_instance& at = instances_[order.to.instance];
        for (size_t i = 0; i < at.runs.size(); ++i) {
          if (at.runs[i].key == order.key && at.runs[i].run == order.run) {
            return End(at, i, run_end::kStopped);
          }
        }
      });
    }
    At(now_ + kLink, [this, order] {
      scheduler_->OnStopAnswer(order, {command_result::kDone, now_.count() + 1}, Mono());
    });
  });
}

void site_load::End(live_instance& instance, size_t index, run_end how) {
  const live_run run = instance.runs[index];
  instance.runs.erase(instance.runs.begin() + static_cast<std::ptrdiff_t>(index));
  std::string saved;
  if (how == run_end::kStopped && !run.lasting) {
    const auto done = now_ - run.began;
    if (run.saves) {
      saved =
          absl::StrCat(static_cast<int64_t>(static_cast<double>(done.count()) * instance.speed));
    } else {
      thrown_ += run.cores * static_cast<double>(done.count()) / 1000;
    }
  }
  instance.ended.push_back({++instance.last_end, run.key, run.run, how, saved});
  if (instance.waiting) Answer(instance);
}

void site_load::List(const list_command& order) {
  ++listings_;
  At(now_ + kLink, [this, order] {
    live_instance& instance = instances_[order.to.instance];
    std::erase_if(instance.ended,
                  [&](const ended_row& row) { return row.number <= order.ends_seen; });
    instance.listing = order;
    instance.asked = now_;
    instance.waiting = true;
    const bool news =
        std::any_of(instance.ended.begin(), instance.ended.end(),
                    [&](const ended_row& row) { return row.number > order.ends_seen; });
    if (news || order.wait.count() == 0) return Answer(instance);
    At(now_ + order.wait, [this, id = order.to.instance, asked = now_] {
      live_instance& later = instances_[id];
      if (later.waiting && later.asked == asked) Answer(later);
    });
  });
}

void site_load::Answer(live_instance& instance) {
  instance.waiting = false;
  instance_listing listing;
  listing.clock_ms = now_.count() + 1;
  listing.incarnation = 1;
  for (const live_run& run : instance.runs) {
    const auto whole = std::max<int64_t>(1, (run.ends - run.began).count());
    listing.running.push_back(
        {run.key, run.run, {}, static_cast<uint32_t>((now_ - run.began).count() * 100 / whole), 0});
  }
  listing.ended = instance.ended;
  const monotonic_time sent(std::chrono::seconds(1000) + instance.asked - kLink);
  At(now_ + kLink, [this, order = instance.listing, listing, sent] {
    Timed("listing", [&] { scheduler_->OnListing(order, listing, sent, Mono()); });
    CountFinals();
    Soon();
  });
}

void site_load::Commit() {
  if (committing_) return;
  auto writes = Timed("progress", [&] { return scheduler_->TakeUnstored(kMostInCommit); });
  const std::vector<instance_report> fleet = scheduler_->Fleet();
  if (writes.empty()) return scheduler_->OnFleetStored(fleet);
  committing_ = true;
  At(now_ + kStoreTakes, [this, writes = std::move(writes), fleet] {
    committing_ = false;
    Timed("stored", [&] { scheduler_->OnStored(writes); });
    scheduler_->OnFleetStored(fleet);
    CountFinals();
    for (const start_command& order : scheduler_->TakeStarts(Mono())) Start(order);
    Soon();
    Commit();
  });
}

void site_load::AskNext() {
  while (auto next = spread_.Next(Mono())) {
    if (!next->Fresh() && !scheduler_->RefreshQuery(next->query, Mono())) {
      spread_.OnAnswered(next->entry);
      continue;
    }
    At(now_ + next->query.expected + 2 * kLink, [this, order = next->query, entry = next->entry] {
      spread_.OnAnswered(entry);
      const auto job = jobs_.find(order.job);
      advice_answer answer;
      answer.answered = true;
      for (const std::string& id : order.instances) {
        const size_t drawn = std::hash<std::string>{}(absl::StrCat(order.job, order.step, id));
        if (static_cast<double>(drawn % 1000) < 1000 * queues_[job->second.queue].allowed) {
          answer.allowed.emplace_back(id, "ticket");
        }
      }
      Timed("advice", [&] { scheduler_->OnAdvice(order, answer, Mono()); });
      Soon();
      AskNext();
    });
  }
}

void site_load::CountFinals() {
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    const job_entry* entry = scheduler_->Find(it->first);
    live_job& job = it->second;
    if (job.counted && entry != nullptr && IsFinal(entry->VisiblePhase())) {
      site_queue_result& result = results_[job.queue];
      const bool done = entry->phase == graph_phase::kCompleted;
      const auto took = now_ - job.came;
      ++result.jobs;
      result.owed += job.owed;
      if (done && took <= job.objective) {
        ++result.in_time;
        result.earned += job.owed;
      } else if (done && static_cast<double>(took.count()) <=
                             kLateUpTo * static_cast<double>(job.objective.count())) {
        ++result.late;
        result.earned += job.late;
      }
      job.counted = false;
    }
    ++it;
  }
}

void site_load::Run() {
  for (size_t i = 0; i < queues_.size(); ++i) {
    for (uint32_t k = 0; k < queues_[i].at_start; ++k) {
      At(milliseconds{3000 + k * 40}, [this, i] { Submit(i); });
    }
    At(kLead, [this, i] { Arrive(i); });
  }
  std::function<void()> tick = [this, &tick] {
    Decide();
    At(now_ + kTick, tick);
  };
  At(kTick, tick);
  const milliseconds until = kLead + options_.length + milliseconds{15000};
  while (!events_.empty() && events_.begin()->first <= until) {
    const auto first = events_.begin();
    now_ = std::max(now_, first->first);
    const std::function<void()> task = std::move(first->second);
    events_.erase(first);
    task();
  }
  for (const auto& [id, job] : jobs_) {
    if (!job.counted) continue;
    ++results_[job.queue].jobs;
    results_[job.queue].owed += job.owed;
  }
}

int SiteMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  site_load_options options;
  if (absl::GetFlag(FLAGS_endpoints) != 0) options.instances = absl::GetFlag(FLAGS_endpoints);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.burst = absl::GetFlag(FLAGS_site_burst);
  options.plan_burst = absl::GetFlag(FLAGS_site_plan_burst);
  options.length = std::chrono::seconds(absl::GetFlag(FLAGS_site_seconds));
  std::vector<site_queue> queues = absl::GetFlag(FLAGS_site_full) ? FullSiteMix() : LargeSiteMix();
  const double part = options.instances / 350.0;
  for (site_queue& queue : queues) {
    queue.jobs_per_second *= part;
    queue.at_start = static_cast<uint32_t>(queue.at_start * part);
  }
  site_load load(options, queues);
  load.Run();
  const double seconds = std::chrono::duration<double>(kLead + options.length).count();
  double whole = 0;
  for (const auto& [name, cost] : load.Costs()) {
    const double ms = std::chrono::duration<double, std::milli>(cost.spent).count();
    whole += ms;
    std::printf("%-14s %8llu calls  %8.1f us each  %7.4f of a core\n", name.c_str(),
                static_cast<unsigned long long>(cost.calls),
                1000 * ms / static_cast<double>(cost.calls), ms / 1000 / seconds);
  }
  std::printf(
      "all decisions  %.4f of a core; %.0f starts, %.0f listings a second; thrown away %.0f "
      "core-s\n",
      whole / 1000 / seconds, static_cast<double>(load.Starts()) / seconds,
      static_cast<double>(load.Listings()) / seconds, load.Thrown());
  double owed = 0;
  double earned = 0;
  for (size_t i = 0; i < queues.size(); ++i) {
    const site_queue_result& result = load.Results()[i];
    if (result.jobs == 0) continue;
    owed += result.owed;
    earned += result.earned;
    std::printf("%-8s %5u jobs  %5u in time  %5u late  worth %.3f\n", queues[i].name.c_str(),
                result.jobs, result.in_time, result.late, result.earned / result.owed);
  }
  std::printf("worth %.3f  capacity %.0f cores  signature %u %u  commands %016llx\n", earned / owed,
              load.CapacityCores(), load.Results()[0].in_time, load.Results()[1].in_time,
              static_cast<unsigned long long>(load.CommandHash()));
  return 0;
}

}  // namespace catkinford
