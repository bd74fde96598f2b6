// The tables of the pages, written from the code: settings, exit codes, events and metrics.
#ifndef CATKINFORD_BENCH_TABLES_H_
#define CATKINFORD_BENCH_TABLES_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace catkinford {

// A section of a page: everything between "<!-- begin NAME -->" and "<!-- end NAME -->".
struct page_table {
  std::string_view name;
  std::string_view page;  // path in the repository
  std::string (*text)();
};

std::span<const page_table> AllPageTables();

// The section `name` of `page`, or nothing where its marks are missing.
std::optional<std::string> SectionOf(const std::string& page, std::string_view name);
// The page with that section replaced; unchanged where the marks are missing.
std::string ReplaceSection(const std::string& page, std::string_view name, const std::string& text);

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_TABLES_H_
