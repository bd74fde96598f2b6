#include "request/identity.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

constexpr size_t kHexDigits = 32;

}  // namespace

request_id DeriveRequestId(std::string_view team, std::string_view idempotency_key) {
  // The length prefix keeps ("ab","c") and ("a","bc") apart.
  const std::string text =
      absl::StrCat(team.size(), ":", std::string(team), std::string(idempotency_key));
  std::array<unsigned char, 32> digest{};
  if (gnutls_hash_fast(GNUTLS_DIG_SHA256, text.data(), text.size(), digest.data()) < 0) {
    std::abort();
  }
  request_id id;
  std::memcpy(&id.hi, digest.data(), sizeof id.hi);
  std::memcpy(&id.lo, digest.data() + sizeof id.hi, sizeof id.lo);
  return id;
}

request_id NewRequestId() {
  request_id id;
  // Without random numbers two callers could share an identity, and one would get the other's
  // answer: the process has to stop.
  if (gnutls_rnd(GNUTLS_RND_NONCE, &id, sizeof id) < 0) std::abort();
  return id;
}

std::string ToHex(const request_id& id) {
  return absl::StrCat(absl::Hex(id.hi, absl::kZeroPad16), absl::Hex(id.lo, absl::kZeroPad16));
}

std::optional<request_id> ParseRequestId(std::string_view text) {
  if (text.size() != kHexDigits) return std::nullopt;
  request_id id;
  const char* middle = text.data() + 16;
  const auto high = std::from_chars(text.data(), middle, id.hi, 16);
  const auto low = std::from_chars(middle, middle + 16, id.lo, 16);
  if (high.ec != std::errc{} || high.ptr != middle) return std::nullopt;
  if (low.ec != std::errc{} || low.ptr != middle + 16) return std::nullopt;
  return id;
}

std::string ToText(const task_id& id) {
  return absl::StrCat(ToHex(id.job), "/", id.index, "/", id.attempt);
}

std::optional<task_id> ParseTaskId(std::string_view text) {
  if (text.size() < kHexDigits + 4 || text[kHexDigits] != '/') return std::nullopt;
  const std::optional<request_id> job = ParseRequestId(text.substr(0, kHexDigits));
  if (!job) return std::nullopt;
  task_id id{*job, 0, 0};
  const char* end = text.data() + text.size();
  const auto index = std::from_chars(text.data() + kHexDigits + 1, end, id.index);
  if (index.ec != std::errc{} || index.ptr == end || *index.ptr != '/') return std::nullopt;
  const auto attempt = std::from_chars(index.ptr + 1, end, id.attempt);
  if (attempt.ec != std::errc{} || attempt.ptr != end) return std::nullopt;
  return id;
}

}  // namespace catkinford
