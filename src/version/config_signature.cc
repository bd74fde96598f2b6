#include "version/config_signature.h"

#include <charconv>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace catkinford {
namespace {

constexpr std::string_view kSignaturePrefix = "\n// write ";
constexpr size_t kFields = 3;  // write id, key name, time; the summary follows

}  // namespace

std::string SignConfiguration(std::string_view text, const config_signature& signature) {
  return absl::StrCat(std::string(text), std::string(kSignaturePrefix), signature.write_id, " ",
                      signature.by.empty() ? "-" : signature.by, " ", signature.changed_at.count(),
                      signature.summary.empty() ? "" : " ", signature.summary, "\n");
}

config_signature SignatureOf(std::string_view text) {
  config_signature signature;
  const size_t position = text.rfind(kSignaturePrefix);
  if (position == std::string_view::npos) return signature;
  const std::string line(text.substr(position + kSignaturePrefix.size()));
  const std::vector<std::string> fields =
      absl::StrSplit(line, absl::MaxSplits(absl::ByAnyChar(" \n"), kFields));
  if (fields.size() < kFields) return signature;
  signature.write_id = fields[0];
  if (fields[1] != "-") signature.by = fields[1];
  int64_t wall_ms = 0;
  std::from_chars(fields[2].data(), fields[2].data() + fields[2].size(), wall_ms);
  signature.changed_at = std::chrono::milliseconds(wall_ms);
  if (fields.size() > kFields) {
    signature.summary = std::string(absl::StripTrailingAsciiWhitespace(fields[kFields]));
  }
  return signature;
}

std::string_view WithoutSignature(std::string_view text) {
  return text.substr(0, text.rfind(kSignaturePrefix));
}

}  // namespace catkinford
