#include "process/site/site_node.h"

namespace catkinford {

uint64_t GenerateNonce() {
  absl::BitGen random;
  // The largest integer that every JSON reader represents exactly.
  constexpr uint64_t kLargest = (uint64_t{1} << 53) - 1;
  return absl::Uniform<uint64_t>(random, 1, kLargest);
}

}  // namespace catkinford
