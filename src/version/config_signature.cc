#include "version/config_signature.h"

#include <charconv>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace catkinford {
namespace {

constexpr std::string_view kMark = "\n// write ";
constexpr size_t kFields = 3;  // write identity, key's name, time; then what was changed

}  // namespace

std::string SignConfiguration(std::string_view text, const config_signature& signature) {
  return absl::StrCat(std::string(text), std::string(kMark), signature.write_id, " ",
                      signature.by.empty() ? "-" : signature.by, " ", signature.wall.count(),
                      signature.what.empty() ? "" : " ", signature.what, "\n");
}

config_signature SignatureOf(std::string_view text) {
  config_signature signature;
  const size_t place = text.rfind(kMark);
  if (place == std::string_view::npos) return signature;
  const std::string line(text.substr(place + kMark.size()));
  const std::vector<std::string> words =
      absl::StrSplit(line, absl::MaxSplits(absl::ByAnyChar(" \n"), kFields));
  if (words.size() < kFields) return signature;
  signature.write_id = words[0];
  if (words[1] != "-") signature.by = words[1];
  int64_t wall_ms = 0;
  std::from_chars(words[2].data(), words[2].data() + words[2].size(), wall_ms);
  signature.wall = std::chrono::milliseconds(wall_ms);
  if (words.size() > kFields) {
    signature.what = std::string(absl::StripTrailingAsciiWhitespace(words[kFields]));
  }
  return signature;
}

std::string_view WithoutSignature(std::string_view text) {
  return text.substr(0, text.rfind(kMark));
}

}  // namespace catkinford
