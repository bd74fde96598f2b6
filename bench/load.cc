#include "bench/load.h"

#include <algorithm>
#include <thread>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

constexpr uint32_t kGangTasks = 4;
constexpr uint32_t kReplicas = 3;

double QuantileOf(std::vector<double>& values, double quantile) {
  if (values.empty()) return 0;
  const auto rank = static_cast<size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(rank), values.end());
  return values[rank];
}

double MillisecondsIn(nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void CountOutcome(const call_record& record, load_figures& figures) {
  ++figures.sent;
  if (!record.has_answer) {
    ++figures.no_answer;
    return;
  }
  switch (record.outcome) {
    case outcome_kind::kCompleted:
      ++figures.completed;
      break;
    case outcome_kind::kAccepted:
      ++figures.accepted;
      break;
    case outcome_kind::kRefused:
      ++figures.refused;
      break;
    case outcome_kind::kFailed:
      ++figures.failed;
      break;
    case outcome_kind::kUnknown:
      ++figures.unknown;
      break;
  }
}

}  // namespace

bool ParseMix(const std::string& text, load_mix& mix) {
  load_mix read;
  read.interactive = 0;
  const std::vector<std::string> parts = absl::StrSplit(text, ',', absl::SkipEmpty());
  for (const std::string& part : parts) {
    const std::vector<std::string> sides = absl::StrSplit(part, '=');
    double value = 0;
    if (sides.size() != 2 || !absl::SimpleAtod(sides[1], &value) || value < 0) return false;
    if (sides[0] == "interactive") {
      read.interactive = value;
    } else if (sides[0] == "service") {
      read.service = value;
    } else if (sides[0] == "batch") {
      read.batch = value;
    } else if (sides[0] == "gang") {
      read.gang = value;
    } else if (sides[0] == "not_repeatable") {
      read.not_repeatable = value;
    } else {
      return false;
    }
  }
  mix = read;
  return true;
}

load_source::load_source(const load_options& options) : options_(options), random_(options.seed) {}

workload_kind load_source::PickKind() {
  const load_mix& mix = options_.mix;
  std::discrete_distribution<int> pick({mix.interactive, mix.service, mix.batch, mix.gang});
  return static_cast<workload_kind>(pick(random_));
}

call_spec load_source::Next() {
  call_spec spec;
  spec.work = absl::StrCat(options_.prefix, "-", options_.seed, "-", next_++);
  spec.keyed = options_.keyed;
  spec.kind = PickKind();
  spec.each = options_.each;
  spec.deadline = options_.deadline;
  std::uniform_int_distribution<int64_t> run(options_.shortest_run.count(),
                                             options_.longest_run.count());
  spec.run_time = milliseconds{run(random_)};
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  if (spec.kind == workload_kind::kInteractive) {
    spec.repeatable = draw >= options_.mix.not_repeatable;
  }
  if (spec.kind == workload_kind::kGang) spec.tasks = kGangTasks;
  if (spec.kind == workload_kind::kService) spec.tasks = kReplicas;
  return spec;
}

nanoseconds load_source::NextGap() {
  std::exponential_distribution<double> gap(options_.rate);
  return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(gap(random_)));
}

void RunLoad(const load_options& options, caller& callers, const std::vector<team_access>& teams,
             const target_source& targets) {
  load_source source(options);
  const monotonic_time end = steady_clock::now() + options.length;
  monotonic_time due = steady_clock::now();
  for (uint64_t number = 0;; ++number) {
    due += std::chrono::duration_cast<steady_clock::duration>(source.NextGap());
    if (due >= end) return;
    std::this_thread::sleep_until(due);
    const std::optional<std::vector<load_target>> all = targets();
    if (!all) return;
    if (all->empty()) continue;
    const load_target& target = (*all)[number % all->size()];
    callers.Submit(target.entry, target.url, teams[number % teams.size()], source.Next(), due);
  }
}

load_figures FiguresOf(const std::vector<call_record>& records) {
  load_figures figures;
  std::vector<double> over_run_time;
  std::vector<double> until_accepted;
  std::vector<double> until_refused;
  monotonic_time first = monotonic_time::max();
  monotonic_time last = monotonic_time::min();
  for (const call_record& record : records) {
    CountOutcome(record, figures);
    first = std::min(first, record.scheduled);
    last = std::max(last, record.scheduled);
    if (!record.has_answer) continue;
    const nanoseconds took = record.answered - record.scheduled;
    if (record.outcome == outcome_kind::kCompleted) {
      over_run_time.push_back(MillisecondsIn(took - record.run_time));
    } else if (record.outcome == outcome_kind::kRefused) {
      until_refused.push_back(MillisecondsIn(took));
    } else if (record.outcome == outcome_kind::kAccepted) {
      until_accepted.push_back(MillisecondsIn(took));
    }
  }
  const double seconds = std::chrono::duration<double>(last - first).count();
  if (figures.sent > 1 && seconds > 0) {
    figures.achieved_rate = static_cast<double>(figures.completed + figures.accepted) / seconds;
  }
  figures.p50_ms = QuantileOf(over_run_time, 0.5);
  figures.p99_ms = QuantileOf(over_run_time, 0.99);
  figures.p999_ms = QuantileOf(over_run_time, 0.999);
  figures.accepted_p50_ms = QuantileOf(until_accepted, 0.5);
  figures.accepted_p99_ms = QuantileOf(until_accepted, 0.99);
  figures.refused_p99_ms = QuantileOf(until_refused, 0.99);
  return figures;
}

nlohmann::json ToJson(const load_figures& figures) {
  return {{"sent", figures.sent},
          {"completed", figures.completed},
          {"accepted", figures.accepted},
          {"refused", figures.refused},
          {"failed", figures.failed},
          {"unknown", figures.unknown},
          {"no_answer", figures.no_answer},
          {"achieved_rate", figures.achieved_rate},
          {"p50_ms", figures.p50_ms},
          {"p99_ms", figures.p99_ms},
          {"p999_ms", figures.p999_ms},
          {"accepted_p50_ms", figures.accepted_p50_ms},
          {"accepted_p99_ms", figures.accepted_p99_ms},
          {"refused_p99_ms", figures.refused_p99_ms}};
}

}  // namespace catkinford
