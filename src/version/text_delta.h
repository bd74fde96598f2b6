// What changed from one text of the configuration to the next: one span of the document, and its
// signature. An operator's change is a few lines of a document of 172 KB at the target size.
#ifndef CATKINFORD_VERSION_TEXT_DELTA_H_
#define CATKINFORD_VERSION_TEXT_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace catkinford {

struct text_delta {
  uint64_t at = 0;             // where the span begins
  uint64_t removed_bytes = 0;  // bytes of the old document that it replaces
  std::string inserted;        // the new span
  std::string signature;       // the new signature
  std::string digest;          // of the whole new text
};

text_delta MakeDelta(std::string_view before, std::string_view after);

// Absent when `before` is not the text that the step was made from.
std::optional<std::string> ApplyDelta(std::string_view before, const text_delta& delta);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_TEXT_DELTA_H_
