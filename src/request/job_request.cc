#include "request/job_request.h"

#include <array>

namespace catkinford {
namespace {

constexpr std::array<std::string_view, 4> kKindNames = {"interactive", "service", "batch", "gang"};

}  // namespace

std::string_view ToText(workload_kind kind) { return kKindNames[static_cast<size_t>(kind)]; }

std::optional<workload_kind> ParseWorkloadKind(std::string_view text) {
  for (size_t i = 0; i < kKindNames.size(); ++i) {
    if (kKindNames[i] == text) return static_cast<workload_kind>(i);
  }
  return std::nullopt;
}

}  // namespace catkinford
