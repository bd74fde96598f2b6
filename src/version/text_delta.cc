#include "version/text_delta.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "request/identity.h"
#include "version/config_signature.h"

namespace catkinford {
namespace {

std::string DigestOf(const std::string& text) {
  return ToHex(DeriveRequestId("configuration", text));
}

}  // namespace

text_delta MakeDelta(std::string_view before, std::string_view after) {
  const std::string_view old_body = WithoutSignature(before);
  const std::string_view new_body = WithoutSignature(after);
  const size_t shorter = std::min(old_body.size(), new_body.size());
  size_t common_prefix = 0;
  while (common_prefix < shorter && old_body[common_prefix] == new_body[common_prefix])
    ++common_prefix;
  size_t common_suffix = 0;
  while (common_suffix < shorter - common_prefix &&
         old_body[old_body.size() - 1 - common_suffix] ==
             new_body[new_body.size() - 1 - common_suffix]) {
    ++common_suffix;
  }
  text_delta delta;
  delta.at = common_prefix;
  delta.removed_bytes = old_body.size() - common_prefix - common_suffix;
  delta.inserted = new_body.substr(common_prefix, new_body.size() - common_prefix - common_suffix);
  delta.signature = after.substr(new_body.size());
  delta.digest = DigestOf(std::string(after));
  return delta;
}

std::optional<std::string> ApplyDelta(std::string_view before, const text_delta& delta) {
  const std::string_view body = WithoutSignature(before);
  if (delta.at > body.size() || delta.removed_bytes > body.size() - delta.at) return std::nullopt;
  std::string text =
      absl::StrCat(std::string(body.substr(0, delta.at)), delta.inserted,
                   std::string(body.substr(delta.at + delta.removed_bytes)), delta.signature);
  if (DigestOf(text) != delta.digest) return std::nullopt;
  return text;
}

}  // namespace catkinford
