#include "bench/tables.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "bench/commands.h"
#include "process/events.h"
#include "process/metrics.h"
#include "process/settings.h"
#include "process/settings_table.h"
#include "process/site/site_log.h"

namespace catkinford {
namespace {

std::string ExitCodeTable() {
  std::string out = "| exit code | fault |\n| --- | --- |\n";
  for (size_t i = 0; i < kSettingsFaults; ++i) {
    const auto fault = static_cast<settings_fault>(i);
    absl::StrAppend(&out, "| ", ExitCode(fault), " | ", std::string(ToText(fault)), " |\n");
  }
  return out;
}

std::string EventTable() {
  std::string out = "| number | name | level | meaning |\n| --- | --- | --- | --- |\n";
  for (const event_info& info : AllEvents()) {
    absl::StrAppend(&out, "| ", static_cast<int>(info.code), " | `", std::string(info.name), "` | ",
                    std::string(ToText(info.level)), " | ", std::string(info.text), " |\n");
  }
  return out;
}

std::string SiteEventTable() {
  std::vector<site_event_info> events(AllSiteEvents().begin(), AllSiteEvents().end());
  std::sort(events.begin(), events.end(),
            [](const site_event_info& a, const site_event_info& b) { return a.event < b.event; });
  std::string out = "| number | name | meaning |\n| --- | --- | --- |\n";
  for (const site_event_info& info : events) {
    absl::StrAppend(&out, "| ", static_cast<int>(info.event), " | `", std::string(info.name),
                    "` | ", std::string(info.text), " |\n");
  }
  return out;
}

std::string MetricTable() {
  const metrics all;
  std::string out = "| metric | type | labels | meaning |\n| --- | --- | --- | --- |\n";
  for (const metric_info& info : all.List()) {
    absl::StrAppend(&out, "| `", info.name, "` | ", std::string(info.type), " | ",
                    absl::StrJoin(info.labels, ", "), " | ", info.help, " |\n");
  }
  return out;
}

constexpr std::array<page_table, 5> kPageTables = {{
    {"settings", "docs/OPERATING.md", SettingsTableText},
    {"exit codes", "docs/OPERATING.md", ExitCodeTable},
    {"metrics", "docs/OPERATING.md", MetricTable},
    {"events", "docs/EVENTS.md", EventTable},
    {"site events", "docs/EVENTS.md", SiteEventTable},
}};

struct section_bounds {
  size_t begin = std::string::npos;
  size_t end = std::string::npos;
};

section_bounds FindSection(const std::string& page, std::string_view name) {
  const std::string first = absl::StrCat("<!-- begin ", std::string(name), " -->\n");
  const std::string last = absl::StrCat("<!-- end ", std::string(name), " -->");
  const size_t begin = page.find(first);
  if (begin == std::string::npos) return {};
  return {begin + first.size(), page.find(last, begin)};
}

std::string ReadPage(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

std::span<const page_table> AllPageTables() { return kPageTables; }

std::optional<std::string> SectionOf(const std::string& page, std::string_view name) {
  const section_bounds bounds = FindSection(page, name);
  if (bounds.end == std::string::npos) return std::nullopt;
  return page.substr(bounds.begin, bounds.end - bounds.begin);
}

std::string ReplaceSection(const std::string& page, std::string_view name,
                           const std::string& text) {
  const section_bounds bounds = FindSection(page, name);
  if (bounds.end == std::string::npos) return page;
  return page.substr(0, bounds.begin) + text + page.substr(bounds.end);
}

int TablesMain(int argc, char** argv) {
  const std::string root = argc > 1 ? argv[1] : ".";
  for (const page_table& table : kPageTables) {
    const std::string file = root + "/" + std::string(table.page);
    const std::string page = ReadPage(file);
    if (!SectionOf(page, table.name)) {
      std::fprintf(stderr, "%s: no section \"%s\"\n", file.c_str(), table.name.data());
      return 1;
    }
    std::ofstream(file, std::ios::binary) << ReplaceSection(page, table.name, table.text());
  }
  return 0;
}

}  // namespace catkinford
