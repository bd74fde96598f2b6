// The text of docs/CAPACITY.md.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "bench/capacity.h"
#include "bench/commands.h"
#include "bench/tables.h"
#include "version/grant_holder.h"

ABSL_FLAG(std::string, page, "docs/CAPACITY.md", "capacity: the page whose section is rewritten");
ABSL_FLAG(std::string, slopes, "bench/slopes.json", "capacity: the measured slopes");

namespace catkinford {
namespace {

constexpr double kDay = 86400;

// Thousands apart, and as many digits as the figure is worth.
std::string Number(double value) {
  if (std::abs(value) < 10) return absl::StrFormat("%.2f", value);
  if (std::abs(value) < 1000) return absl::StrFormat("%.1f", value);
  std::string digits = absl::StrFormat("%.0f", value);
  const size_t sign = value < 0 ? 1 : 0;
  for (size_t at = digits.size(); at > sign + 3; at -= 3) digits.insert(at - 3, 1, ',');
  return digits;
}

std::string TermText(const capacity_term& term, const slope_report& report) {
  const slope* found = report.Find(term.slope);
  if (found == nullptr) return absl::StrCat("`", term.slope, "` (not measured)");
  const bool is_fixed = term.part == term_part::kFixed;
  const bool over = term.is_state && !is_fixed && term.count > found->Largest();
  const std::string copies = term.copies == 1 ? "" : Number(term.copies) + " x ";
  return absl::StrCat(copies, Number(term.count), " x ",
                      Number(is_fixed ? found->fixed : found->each), " `", term.slope,
                      is_fixed ? " (fixed)" : "", "`", over ? " **e**" : "");
}

std::string LineText(const capacity_line& line, const slope_report& report) {
  std::string terms;
  for (const capacity_term& term : line.terms) {
    absl::StrAppend(&terms, terms.empty() ? "" : " + ", TermText(term, report));
  }
  const capacity_figure figure = WorkOut(line, report);
  return absl::StrCat("| ", line.what, " | ", Number(figure.amount), " | ", Number(figure.spread),
                      " | ", terms, " | ", line.mechanism, " |\n");
}

double LimitOf(capacity_limit limit, const target_fleet& fleet) {
  switch (limit) {
    case capacity_limit::kMemory:
      return fleet.memory_bytes;
    case capacity_limit::kCpu:
      return fleet.cpu_us_per_second;
    case capacity_limit::kBytes:
      return fleet.bytes_per_second;
    case capacity_limit::kNone:
      break;
  }
  return 0;
}

std::string Verdict(double amount, double limit) {
  if (limit == 0) return "";
  return absl::StrCat(" of ", Number(limit), ": ",
                      amount <= limit ? "fits" : "**does not fit yet**");
}

std::string SumText(const capacity_sum& sum, const slope_report& report,
                    const target_fleet& fleet) {
  std::string out = absl::StrCat("#### ", sum.title,
                                 "\n\n| what | figure | spread | worked out as "
                                 "| mechanism |\n| --- | ---: | ---: | --- | --- |\n");
  for (const capacity_line& line : sum.lines) out += LineText(line, report);
  const capacity_figure all = WorkOut(sum, report);
  absl::StrAppend(&out, "| **sum** | **", Number(all.amount), "** | ", Number(all.spread), " | ",
                  all.complete ? "" : "a part is not measured", " | ",
                  Verdict(all.amount, LimitOf(sum.limit, fleet)), " |\n\n");
  return out;
}

struct store_line {
  std::string what;
  double writes = 0;
  double reads = 0;
  std::string mechanism;
};

std::vector<store_line> StoreLines(const target_fleet& fleet, const settings& config) {
  const double lease = std::chrono::duration<double>(config.timing.member_lease).count();
  const double jobs = fleet.jobs_per_day / kDay * fleet.peak_over_mean;
  return {
      {"keep-alives, counted as writes", 3 * fleet.Entries() / lease, 0,
       "registration: one lease an entry, kept three times a lease"},
      {"owners and members", 0, 2 * fleet.Entries(), "ownership: two ranges a second an entry"},
      {"configuration watch", 0, fleet.failure_domains / 20,
       "config_keeper: one watcher a failure domain, 20 s a watch"},
      {"configuration confirmed", 0, fleet.Entries() / 5, "config_keeper: a read each 5 s"},
      {"changes of configuration", 4 * fleet.changes_per_day / kDay,
       2 * fleet.changes_per_day / kDay,
       "compare-and-swap by operators; the past version's text, the list, a text deleted"},
      {"job records and their ends", 2 * jobs, 0,
       "job_log: at most this; a group commit takes many in one write"},
      {"replaced entries", 6 * fleet.replacements_per_day / kDay,
       6 * fleet.replacements_per_day / kDay, "lease, member, shard: six calls each"},
  };
}

std::string StoreText(const target_fleet& fleet, const settings& config) {
  std::string out =
      "| what | writes a second | reads a second | mechanism |\n| --- | ---: | ---: | --- |\n";
  double writes = 0;
  double reads = 0;
  for (const store_line& line : StoreLines(fleet, config)) {
    absl::StrAppend(&out, "| ", line.what, " | ", Number(line.writes), " | ", Number(line.reads),
                    " | ", line.mechanism, " |\n");
    writes += line.writes;
    reads += line.reads;
  }
  absl::StrAppend(&out, "| **sum** | **", Number(writes), "** | **", Number(reads), "** |",
                  " writes", Verdict(writes, fleet.store_writes), "; reads",
                  Verdict(reads, fleet.store_reads), " |\n\n");
  return out;
}

std::string BreakLine(const std::string& what, double size, const std::string& unit, double target,
                      const std::string& why) {
  return absl::StrCat("| ", what, " | ", Number(size), " ", unit, " | ", Number(target), " | ", why,
                      " |\n");
}

std::string BreaksText(const slope_report& report, const target_fleet& fleet,
                       const settings& config) {
  std::string out = "| limit | reached at | target | why |\n| --- | ---: | ---: | --- |\n";
  const auto each = [&](const char* name) {
    const slope* found = report.Find(name);
    return found == nullptr ? NAN : found->each;
  };
  const auto fixed = [&](const char* name) {
    const slope* found = report.Find(name);
    return found == nullptr ? NAN : found->fixed;
  };
  const double poll = std::chrono::duration<double>(config.timing.instance_poll).count();
  const double sync = std::chrono::duration<double>(config.timing.sync_wait).count();
  const double lease = std::chrono::duration<double>(config.timing.member_lease).count();
  const double value = fleet.store_value_bytes;
  out += BreakLine("instance list alone against 13 KB/s",
                   fleet.bytes_per_second * poll / each("instances.bytes"), "instances",
                   fleet.endpoints + fleet.Entries(), "each entry reads the whole list");
  out +=
      BreakLine("syncs alone against 13 KB/s", fleet.bytes_per_second * sync / each("sync.bytes"),
                "endpoints an entry", fleet.EndpointsPerEntry(), "one long poll for each endpoint");
  out += BreakLine("grant plans alone against 1.4 % of a core",
                   fleet.cpu_us_per_second / each("ledger.plan_alone_cpu"), "teams times shards",
                   fleet.teams * fleet.Shards(), "all teams are planned once a second");
  out += BreakLine("sixteen ledger values against 1 MB each",
                   kGrantBuckets * (value - fixed("ledger.text")) / each("ledger.text"),
                   "teams times shards", fleet.teams * fleet.Shards(),
                   "teams are spread over sixteen values");
  out += BreakLine("configuration value against 1 MB",
                   (value - fixed("config.text_per_key")) / each("config.text_per_key"), "keys",
                   fleet.Keys(), "one document for all contracts and keys");
  out += BreakLine("keep-alives alone against 300 writes a second", fleet.store_writes * lease / 3,
                   "entries", fleet.Entries(), "three for each lease");
  return out;
}

std::string SlopesText(const slope_report& report) {
  std::string out =
      "| slope | each | spread | fixed | unit | r2 | sizes run | what was run |\n"
      "| --- | ---: | ---: | ---: | --- | ---: | --- | --- |\n";
  for (const slope& line : report.slopes) {
    double smallest = line.Largest();
    for (const slope_point& point : line.points) smallest = std::min(smallest, point.size);
    absl::StrAppend(&out, "| `", line.name, "` | ", absl::StrFormat("%.4g", line.each), " | ",
                    absl::StrFormat("%.2g", line.spread), " | ", Number(line.fixed), " | ",
                    line.unit, " a ", line.per);
    absl::StrAppend(&out, " | ", absl::StrFormat("%.4f", line.r_squared), " | ", Number(smallest),
                    " to ", Number(line.Largest()), " | ", line.what, " |\n");
  }
  return out;
}

std::string SumsText(const std::vector<capacity_sum>& sums, const slope_report& report,
                     const target_fleet& fleet) {
  std::string out;
  for (const capacity_sum& sum : sums) out += SumText(sum, report, fleet);
  return out;
}

std::string ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

std::string CapacityPage(const slope_report& report) {
  const target_fleet fleet;
  const settings target = TargetSettings();
  std::string out = absl::StrCat("Slopes taken at commit `", report.commit,
                                 "`. **e**: extrapolated, the size is over the largest that "
                                 "was run.\n\n");
  out += "### One entry, settings of the target\n\n";
  out += SumsText(EntrySums(fleet, target), report, fleet);
  out += "### One entry, default settings\n\n";
  for (const capacity_sum& sum : EntrySums(fleet, settings{})) {
    if (sum.limit == capacity_limit::kCpu || sum.limit == capacity_limit::kBytes) {
      out += SumText(sum, report, fleet);
    }
  }
  absl::StrAppend(&out, "### The platform's store, settings of the target\n\n",
                  StoreText(fleet, target));
  absl::StrAppend(&out, "### What breaks first, settings of the target\n\n",
                  BreaksText(report, fleet, target));
  absl::StrAppend(&out, "\n### The slopes\n\n", SlopesText(report));
  return out;
}

int CapacityMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const auto report = ParseSlopes(ReadFile(absl::GetFlag(FLAGS_slopes)));
  if (!report) {
    std::fprintf(stderr, "%s: no slopes\n", absl::GetFlag(FLAGS_slopes).c_str());
    return 1;
  }
  const std::string file = absl::GetFlag(FLAGS_page);
  const std::string page = ReadFile(file);
  if (!SectionOf(page, kCapacitySection)) {
    std::fprintf(stderr, "%s: no section \"%s\"\n", file.c_str(), kCapacitySection);
    return 1;
  }
  std::ofstream(file, std::ios::binary)
      << ReplaceSection(page, kCapacitySection, CapacityPage(*report));
  return 0;
}

}  // namespace catkinford
