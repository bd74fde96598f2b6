#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "version/contract_edit.h"

namespace catkinford {
namespace {

using line_list = std::vector<std::string_view>;

// Above this number of line pairs the middle is shown as fully removed and added.
constexpr size_t kMaxTableCells = 16'000'000;

line_list SplitLines(std::string_view text) {
  line_list lines;
  while (!text.empty()) {
    const size_t end = std::min(text.find('\n'), text.size());
    lines.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

void Append(const line_list& lines, size_t from, size_t to, char mark,
            std::vector<diff_line>& out) {
  for (size_t i = from; i < to; ++i) out.push_back({mark, std::string(lines[i])});
}

// Lengths of the longest common subsequences of all pairs of suffixes, row by row.
class lcs_table {
 public:
  lcs_table(const line_list& before, const line_list& after, size_t begin, size_t before_end,
            size_t after_end)
      : width_(after_end - begin + 1), begin_(begin), cells_((before_end - begin + 1) * width_, 0) {
    for (size_t i = before_end; i-- > begin;) {
      for (size_t j = after_end; j-- > begin;) {
        Cell(i, j) = before[i] == after[j] ? Cell(i + 1, j + 1) + 1
                                           : std::max(Cell(i + 1, j), Cell(i, j + 1));
      }
    }
  }

  uint32_t& Cell(size_t i, size_t j) { return cells_[(i - begin_) * width_ + (j - begin_)]; }

 private:
  size_t width_;
  size_t begin_;
  std::vector<uint32_t> cells_;
};

// The part between the common prefix and the common suffix.
void DiffMiddle(const line_list& before, const line_list& after, size_t begin, size_t before_end,
                size_t after_end, std::vector<diff_line>& out) {
  size_t i = begin;
  size_t j = begin;
  if ((before_end - begin + 1) * (after_end - begin + 1) <= kMaxTableCells) {
    lcs_table table(before, after, begin, before_end, after_end);
    while (i < before_end && j < after_end) {
      if (before[i] == after[j]) {
        out.push_back({' ', std::string(before[i])});
        ++i;
        ++j;
      } else if (table.Cell(i + 1, j) >= table.Cell(i, j + 1)) {
        out.push_back({'-', std::string(before[i++])});
      } else {
        out.push_back({'+', std::string(after[j++])});
      }
    }
  }
  Append(before, i, before_end, '-', out);
  Append(after, j, after_end, '+', out);
}

// Keeps changes and `context` lines around them.
std::vector<diff_line> TrimContext(std::vector<diff_line> lines, size_t context) {
  std::vector<bool> keep(lines.size(), false);
  for (size_t i = 0; i < lines.size(); ++i) {
    if (lines[i].mark == ' ') continue;
    const size_t from = i - std::min(i, context);
    const size_t to = std::min(lines.size(), i + context + 1);
    for (size_t near = from; near < to; ++near) keep[near] = true;
  }
  std::vector<diff_line> kept;
  for (size_t i = 0; i < lines.size(); ++i) {
    if (keep[i]) kept.push_back(std::move(lines[i]));
  }
  return kept;
}

}  // namespace

std::vector<diff_line> DiffLines(std::string_view before, std::string_view after, size_t context) {
  const line_list old_lines = SplitLines(before);
  const line_list new_lines = SplitLines(after);
  size_t begin = 0;
  const size_t shorter = std::min(old_lines.size(), new_lines.size());
  while (begin < shorter && old_lines[begin] == new_lines[begin]) ++begin;
  size_t common_tail = 0;
  while (common_tail < shorter - begin && old_lines[old_lines.size() - 1 - common_tail] ==
                                              new_lines[new_lines.size() - 1 - common_tail]) {
    ++common_tail;
  }
  std::vector<diff_line> lines;
  Append(old_lines, 0, begin, ' ', lines);
  DiffMiddle(old_lines, new_lines, begin, old_lines.size() - common_tail,
             new_lines.size() - common_tail, lines);
  Append(old_lines, old_lines.size() - common_tail, old_lines.size(), ' ', lines);
  return TrimContext(std::move(lines), context);
}

}  // namespace catkinford
