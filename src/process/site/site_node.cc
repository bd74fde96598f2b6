#include "process/site/site_node.h"

namespace catkinford {

bool SplitAddress(const std::string& text, std::string& address, uint16_t& port) {
  const size_t colon = text.rfind(':');
  uint32_t number = 0;
  if (colon == std::string::npos) return false;
  if (!absl::SimpleAtoi(text.substr(colon + 1), &number) || number > UINT16_MAX) return false;
  address = text.substr(0, colon);
  port = static_cast<uint16_t>(number);
  return true;
}

uint64_t GenerateNonce() {
  absl::BitGen random;
  // The largest integer that every JSON reader represents exactly.
  constexpr uint64_t kLargest = (uint64_t{1} << 53) - 1;
  return absl::Uniform<uint64_t>(random, 1, kLargest);
}

}  // namespace catkinford
