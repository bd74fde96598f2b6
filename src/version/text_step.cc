#include "version/text_step.h"

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

text_step StepBetween(std::string_view before, std::string_view after) {
  const std::string_view old_body = WithoutSignature(before);
  const std::string_view new_body = WithoutSignature(after);
  const size_t shorter = std::min(old_body.size(), new_body.size());
  size_t same_begin = 0;
  while (same_begin < shorter && old_body[same_begin] == new_body[same_begin]) ++same_begin;
  size_t same_end = 0;
  while (same_end < shorter - same_begin &&
         old_body[old_body.size() - 1 - same_end] == new_body[new_body.size() - 1 - same_end]) {
    ++same_end;
  }
  text_step step;
  step.at = same_begin;
  step.cut = old_body.size() - same_begin - same_end;
  step.insert = new_body.substr(same_begin, new_body.size() - same_begin - same_end);
  step.tail = after.substr(new_body.size());
  step.digest = DigestOf(std::string(after));
  return step;
}

std::optional<std::string> ApplyStep(std::string_view before, const text_step& step) {
  const std::string_view body = WithoutSignature(before);
  if (step.at > body.size() || step.cut > body.size() - step.at) return std::nullopt;
  std::string text = absl::StrCat(std::string(body.substr(0, step.at)), step.insert,
                                  std::string(body.substr(step.at + step.cut)), step.tail);
  if (DigestOf(text) != step.digest) return std::nullopt;
  return text;
}

}  // namespace catkinford
