#include "bench/overload.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <thread>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "bench/fleet.h"
#include "bench/returning_callers.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartLimit{30000};
constexpr milliseconds kPatience{15000};
constexpr milliseconds kReturnPatience{60000};
constexpr size_t kEndpointsPerDomain = 6;
constexpr size_t kClients = 4;
constexpr uint32_t kMostReturns = 30;
constexpr uint32_t kSlots = 8;
constexpr double kWithinShares = 0.7;  // load of the floor by teams within their shares
constexpr milliseconds kLongBatch{120000};
constexpr double kBatchOverFloor = 1.2;  // batch tasks to slots
constexpr double kUrgentRate = 10;
constexpr milliseconds kUrgentDeadline{10000};
constexpr double kGreedy = 3;  // load of the floor by the one team beyond its own

double MillisecondsIn(steady_clock::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double Percentile99(std::vector<double>& values) {
  if (values.empty()) return 0;
  const auto rank = values.size() * 99 / 100;
  const auto place = values.begin() + static_cast<ptrdiff_t>(std::min(rank, values.size() - 1));
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

// Eight of these fill an endpoint in processors, memory and slots alike.
call_spec UsualRequest() {
  call_spec spec;
  spec.each = {2000, 4096, 0, 0};
  spec.run_time = milliseconds{200};
  spec.deadline = milliseconds{2000};
  return spec;
}

class overload_fleet {
 public:
  explicit overload_fleet(uint64_t seed) : running_(OptionsOf(seed)) {}
  bool Start() { return running_.Start(kStartLimit); }

  const std::vector<team_access>& Teams() const { return running_.Contract().teams; }
  double Slots() const { return static_cast<double>(running_.Capacities().size()) * kSlots; }
  // Requests a second that the slots can run.
  double Capacity() const {
    const std::chrono::duration<double> run = UsualRequest().run_time;
    return Slots() / run.count();
  }
  returning_options Load(const std::string& name, const std::vector<double>& rates,
                         const overload_options& options) const {
    returning_options load;
    const std::vector<team_access>& teams = running_.Contract().teams;
    for (size_t i = 0; i < teams.size(); ++i) load.streams.push_back({teams[i], rates[i]});
    load.length = options.length;
    load.like = UsualRequest();
    load.seed = options.seed;
    load.prefix = name;
    return load;
  }
  std::vector<double> EqualRates(double load) const {
    const size_t teams = running_.Contract().teams.size();
    return std::vector<double>(teams, load * Capacity() / static_cast<double>(teams));
  }
  std::vector<load_target> Targets() {
    std::vector<load_target> targets;
    for (size_t slot = 0; slot < running_.Entries(); ++slot) {
      targets.push_back({running_.Entry(slot).name, running_.UrlOf(slot)});
    }
    return targets;
  }
  std::vector<run_event> Events() { return running_.Events(); }
  // Runs one load to its end and returns what was told in the window after `settle`.
  load_answers Run(returning_options load, const overload_options& options) {
    const monotonic_time begin = steady_clock::now();
    returning_callers callers(std::move(load), Targets(), kClients);
    callers.Run(kPatience);
    return AnswersIn(callers.Records(), begin + options.settle, begin + options.length);
  }

 private:
  static fleet_options OptionsOf(uint64_t seed) {
    fleet_options options;
    options.endpoints_per_domain = kEndpointsPerDomain;
    options.seed = seed;
    return options;
  }

  fleet running_;
};

nlohmann::json ToJson(const load_answers& answers) {
  return {{"sent", answers.sent},
          {"completed_rate", answers.completed_rate},
          {"ends", answers.ends},
          {"parts", answers.parts},
          {"wait_p99_ms", answers.wait_p99_ms},
          {"others_wait_p99_ms", answers.others_wait_p99_ms},
          {"refused_p99_ms", answers.refused_p99_ms},
          {"late_p99_ms", answers.late_p99_ms}};
}

void Print(const std::string& name, const load_answers& answers) {
  std::printf("%-8s sent %6llu  completed %6.1f/s  refused p99 %6.1f ms  late %6.1f ms ",
              name.c_str(), static_cast<unsigned long long>(answers.sent), answers.completed_rate,
              answers.refused_p99_ms, answers.late_p99_ms);
  for (const auto& [end, count] : answers.ends) {
    std::printf(" %s %llu", end.c_str(), static_cast<unsigned long long>(count));
  }
  std::puts("");
  for (const auto& [team, wait] : answers.wait_p99_ms) {
    std::printf("    %-8s part %5.1f %%  wait p99 %7.1f ms\n", team.c_str(),
                answers.parts.at(team) * 100, wait);
  }
}

std::string EndOf(const call_record& record) {
  if (!record.has_answer) return "no_answer";
  std::string end(ToText(record.outcome));
  if (record.reason != rejection_reason::kNone) {
    absl::StrAppend(&end, ":", std::string(ToText(record.reason)));
  }
  return end;
}

}  // namespace

load_answers AnswersIn(const std::vector<call_record>& records, monotonic_time from,
                       monotonic_time to) {
  load_answers answers;
  std::vector<double> refused;
  std::vector<double> late;
  std::map<std::string, std::vector<double>> waits;
  uint64_t completed = 0;
  for (const call_record& record : records) {
    if (record.scheduled >= from && record.scheduled < to) {
      ++answers.sent;
      ++answers.ends[EndOf(record)];
    }
    if (!record.has_answer || record.answered < from || record.answered >= to) continue;
    const auto took = record.answered - record.scheduled;
    if (record.outcome == outcome_kind::kCompleted) {
      ++completed;
      waits[record.team].push_back(MillisecondsIn(took - record.run_time));
    } else if (record.outcome == outcome_kind::kRefused) {
      const bool expired = record.reason == rejection_reason::kDeadline;
      (expired ? late : refused).push_back(MillisecondsIn(took));
    }
  }
  answers.completed_rate =
      static_cast<double>(completed) / std::chrono::duration<double>(to - from).count();
  std::vector<double> others;
  for (auto& [team, values] : waits) {
    if (team != waits.begin()->first) others.insert(others.end(), values.begin(), values.end());
    answers.parts[team] = static_cast<double>(values.size()) / static_cast<double>(completed);
    answers.wait_p99_ms[team] = Percentile99(values);
  }
  answers.others_wait_p99_ms = Percentile99(others);
  answers.refused_p99_ms = Percentile99(refused);
  answers.late_p99_ms = Percentile99(late);
  return answers;
}

return_figures ReturnsOf(const std::vector<call_record>& records) {
  return_figures figures;
  absl::flat_hash_map<std::string, uint32_t> tries;
  monotonic_time first = monotonic_time::max();
  monotonic_time last_served = monotonic_time::min();
  for (const call_record& record : records) {
    const uint32_t number = ++tries[record.work];
    ++figures.tries;
    first = std::min(first, record.scheduled);
    const bool served = record.has_answer && record.outcome == outcome_kind::kCompleted;
    figures.first_returns += number == 2 ? 1 : 0;
    figures.served_at_first_return += number == 2 && served ? 1 : 0;
    if (!served) continue;
    ++figures.served;
    last_served = std::max(last_served, record.answered);
  }
  figures.requests = tries.size();
  if (figures.served > 0) figures.last_served_s = MillisecondsIn(last_served - first) / 1000;
  return figures;
}

nlohmann::json MeasureLoads(const overload_options& options) {
  overload_fleet fleet(options.seed);
  if (!fleet.Start()) return {};
  std::printf("capacity %.0f/s\n", fleet.Capacity());
  nlohmann::json lines = nlohmann::json::array();
  double peak = 0;
  double last = 0;
  double refused = 0;
  for (const double load : options.loads) {
    const std::string name = absl::StrCat("load-", load);
    const load_answers answers =
        fleet.Run(fleet.Load(name, fleet.EqualRates(load), options), options);
    Print(absl::StrCat(load, "x"), answers);
    last = answers.completed_rate;
    peak = std::max(peak, last);
    refused = std::max(refused, answers.refused_p99_ms);
    nlohmann::json line = ToJson(answers);
    line["load"] = load;
    lines.push_back(std::move(line));
  }
  std::printf("goodput at the highest load over its peak %.3f\n", last / peak);
  return {{"capacity", fleet.Capacity()},
          {"loads", lines},
          {"goodput_over_peak", last / peak},
          {"refused_p99_ms", refused}};
}

nlohmann::json MeasureReturns(const overload_options& options) {
  overload_fleet fleet(options.seed);
  if (!fleet.Start()) return {};
  returning_options storm = fleet.Load("storm", fleet.EqualRates(options.loads.back()), options);
  storm.most_returns = kMostReturns;
  const double asked_s = static_cast<double>(options.length.count()) / 1000 * options.loads.back();
  const monotonic_time begin = steady_clock::now();
  returning_callers returning(std::move(storm), fleet.Targets(), kClients);
  std::thread storm_thread([&] { returning.Run(kReturnPatience); });
  std::this_thread::sleep_until(begin + options.length);
  // Others come meanwhile, at half of the capacity.
  overload_options usual = options;
  usual.length = options.length * 2;
  const monotonic_time after = steady_clock::now();
  returning_callers others(fleet.Load("usual", fleet.EqualRates(options.loads.front()), usual),
                           fleet.Targets(), kClients);
  others.Run(kPatience);
  storm_thread.join();
  const load_answers during =
      AnswersIn(returning.Records(), begin + options.settle, begin + options.length);
  const load_answers later = AnswersIn(others.Records(), after, after + usual.length);
  const return_figures figures = ReturnsOf(returning.Records());
  Print("storm", during);
  Print("after", later);
  const double at_first = static_cast<double>(figures.served_at_first_return) /
                          static_cast<double>(std::max<uint64_t>(1, figures.first_returns));
  const double tries = static_cast<double>(figures.tries) /
                       static_cast<double>(std::max<uint64_t>(1, figures.requests));
  // The work asked for, at what the others leave of the floor after the storm.
  const double least_s =
      static_cast<double>(options.length.count()) / 1000 +
      (asked_s - static_cast<double>(options.length.count()) / 1000) / (1 - options.loads.front());
  std::printf(
      "requests %llu served %llu, %.2f tries each, %.3f of those who came back once served, "
      "last served after %.1f s (least %.1f s)\n",
      static_cast<unsigned long long>(figures.requests),
      static_cast<unsigned long long>(figures.served), tries, at_first, figures.last_served_s,
      least_s);
  return {{"during", ToJson(during)},
          {"after", ToJson(later)},
          {"requests", figures.requests},
          {"served", figures.served},
          {"tries_each", tries},
          {"served_at_first_return", at_first},
          {"last_served_s", figures.last_served_s},
          {"least_s", least_s}};
}

nlohmann::json MeasureGreedyTeam(const overload_options& options) {
  overload_fleet fleet(options.seed);
  if (!fleet.Start()) return {};
  std::vector<double> rates = fleet.EqualRates(kWithinShares);
  const load_answers before = fleet.Run(fleet.Load("modest", rates, options), options);
  Print("modest", before);
  rates.front() = kGreedy * fleet.Capacity();
  const load_answers with = fleet.Run(fleet.Load("greedy", rates, options), options);
  Print("greedy", with);
  double worst = 0;
  for (const auto& [team, wait] : before.wait_p99_ms) {
    const auto found = with.wait_p99_ms.find(team);
    if (team == before.wait_p99_ms.begin()->first || found == with.wait_p99_ms.end()) continue;
    worst = std::max(worst, found->second / wait);
  }
  const double growth = with.others_wait_p99_ms / before.others_wait_p99_ms;
  std::printf("p99 wait of the others %.1f -> %.1f ms, %.2f times; of one of them %.2f times\n",
              before.others_wait_p99_ms, with.others_wait_p99_ms, growth, worst);
  return {{"modest", ToJson(before)},
          {"greedy", ToJson(with)},
          {"wait_p99_growth", growth},
          {"worst_wait_p99_growth", worst}};
}

nlohmann::json MeasureUrgent(const overload_options& options, double ignoring) {
  overload_fleet fleet(options.seed);
  if (!fleet.Start()) return {};
  const std::vector<team_access>& teams = fleet.Teams();
  const std::vector<load_target> targets = fleet.Targets();
  const auto floor = static_cast<size_t>(fleet.Slots() * kBatchOverFloor);
  caller batch(1);
  for (size_t i = 0; i < floor; ++i) {
    call_spec spec = UsualRequest();
    spec.work = absl::StrCat("batch-", i);
    spec.kind = workload_kind::kBatch;
    spec.run_time = kLongBatch;
    if (static_cast<double>(i % 10) < ignoring * 10) spec.checkpoint = kLongBatch;
    const load_target& target = targets[i % targets.size()];
    batch.Submit(target.entry, target.url, teams[1 + i % (teams.size() - 1)], spec,
                 steady_clock::now());
  }
  batch.WaitIdle(kPatience);
  std::vector<double> rates(teams.size(), 0);
  rates.front() = kUrgentRate;
  returning_options load = fleet.Load("urgent", rates, options);
  load.like.urgent = true;
  load.like.deadline = kUrgentDeadline;
  const load_answers answers = fleet.Run(std::move(load), options);
  Print("urgent", answers);
  std::map<std::string, int> ends;
  for (const run_event& event : fleet.Events()) {
    if (event.event == "end" && event.result != "ok") ++ends[event.result];
  }
  for (const auto& [result, count] : ends) std::printf("%s %d  ", result.c_str(), count);
  std::puts("");
  return {{"urgent", ToJson(answers)}, {"ignoring", ignoring}, {"ends", ends}};
}

}  // namespace catkinford
