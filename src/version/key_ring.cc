#include "version/key_ring.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

constexpr std::string_view kPrefix = "ck_";
constexpr size_t kSecretBytes = 32;  // 64 public bits that look up the record, 192 secret ones
constexpr size_t kSecretCharacters = 43;
constexpr size_t kDigestBytes = 32;

using digest = std::array<unsigned char, kDigestBytes>;

digest HashOf(std::string_view salt, std::string_view secret) {
  gnutls_hash_hd_t hash = nullptr;
  digest result{};
  // Without a hash no key can be checked, so no request can be served.
  if (gnutls_hash_init(&hash, GNUTLS_DIG_SHA256) < 0) std::abort();
  gnutls_hash(hash, salt.data(), salt.size());
  gnutls_hash(hash, secret.data(), secret.size());
  gnutls_hash_deinit(hash, result.data());
  return result;
}

std::string ToHexText(const unsigned char* bytes, size_t size) {
  return absl::BytesToHexString(std::string(reinterpret_cast<const char*>(bytes), size));
}

std::optional<uint64_t> ParseSalt(std::string_view text) {
  uint64_t salt = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, salt, 16);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return salt;
}

std::string SaltText(uint64_t salt) { return absl::StrCat(absl::Hex(salt, absl::kZeroPad16)); }

// The public part of a secret; nullopt if it is malformed.
std::optional<uint64_t> SaltOf(std::string_view secret) {
  if (secret.size() != kPrefix.size() + kSecretCharacters) return std::nullopt;
  if (secret.substr(0, kPrefix.size()) != kPrefix) return std::nullopt;
  std::string bytes;
  if (!absl::WebSafeBase64Unescape(std::string(secret.substr(kPrefix.size())), &bytes)) {
    return std::nullopt;
  }
  if (bytes.size() != kSecretBytes) return std::nullopt;
  return ParseSalt(absl::BytesToHexString(bytes.substr(0, sizeof(uint64_t))));
}

}  // namespace

new_key MakeKey(std::string_view name, bool is_operator) {
  std::array<char, kSecretBytes> bytes{};
  // A predictable key is worse than none.
  if (gnutls_rnd(GNUTLS_RND_KEY, bytes.data(), bytes.size()) < 0) std::abort();
  std::string text;
  absl::WebSafeBase64Escape(std::string(bytes.data(), bytes.size()), &text);
  new_key key;
  key.secret = absl::StrCat(std::string(kPrefix), text);
  key.record.name = std::string(name);
  key.record.salt = absl::BytesToHexString(std::string(bytes.data(), sizeof(uint64_t)));
  const digest hash = HashOf(key.record.salt, key.secret);
  key.record.hash = ToHexText(hash.data(), hash.size());
  key.record.is_operator = is_operator;
  gnutls_memset(bytes.data(), 0, bytes.size());
  return key;
}

struct key_ring::impl {
  struct hashed_key {
    digest hash{};
    key_holder holder;
  };

  void Add(const key_record& key, const key_holder& holder) {
    if (key.withdrawn) return;
    const std::optional<uint64_t> salt = ParseSalt(key.salt);
    const std::string bytes = absl::HexStringToBytes(key.hash);
    if (!salt || bytes.size() != kDigestBytes) return;
    hashed_key& added = keys_by_salt[*salt];
    std::memcpy(added.hash.data(), bytes.data(), kDigestBytes);
    added.holder = holder;
    added.holder.key_name = key.name;
  }

  absl::flat_hash_map<uint64_t, hashed_key> keys_by_salt;
};

key_ring::key_ring(const configuration& config) {
  auto ring = std::make_shared<impl>();
  for (const key_record& key : config.operator_keys) ring->Add(key, {"", "", true, {}});
  for (const workspace_contract& workspace : config.workspaces) {
    for (const team_contract& team : workspace.teams) {
      const key_holder holder{workspace.name, team.name, false, {}};
      for (const key_record& key : team.keys) ring->Add(key, holder);
    }
  }
  impl_ = std::move(ring);
}

std::optional<key_holder> key_ring::Find(std::string_view secret) const {
  const std::optional<uint64_t> salt = SaltOf(secret);
  if (!salt) return std::nullopt;
  const auto found = impl_->keys_by_salt.find(*salt);
  if (found == impl_->keys_by_salt.end()) return std::nullopt;
  const digest hash = HashOf(SaltText(*salt), secret);
  if (gnutls_memcmp(hash.data(), found->second.hash.data(), hash.size()) != 0) return std::nullopt;
  return found->second.holder;
}

size_t key_ring::Size() const { return impl_->keys_by_salt.size(); }

}  // namespace catkinford
