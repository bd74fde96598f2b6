// Difference between two texts of the configuration: one span of the document, and its signature.
// An operator's change is a few lines of a document of 172 KB at the target size.
#ifndef CATKINFORD_VERSION_TEXT_DELTA_H_
#define CATKINFORD_VERSION_TEXT_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace catkinford {

struct text_delta {
  uint64_t at = 0;             // offset of the span, in bytes
  uint64_t removed_bytes = 0;  // length of the replaced span of the old document
  std::string inserted;        // the new span
  std::string signature;       // the new signature
  std::string digest;          // of the complete new text
};

text_delta MakeDelta(std::string_view before, std::string_view after);

// Nullopt if `before` is not the text that the delta was made from.
std::optional<std::string> ApplyDelta(std::string_view before, const text_delta& delta);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_TEXT_DELTA_H_
