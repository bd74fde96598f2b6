#include "connection/peer_auth.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace catkinford {
namespace {

constexpr size_t kMacBytes = 32;
constexpr size_t kMacDigits = 2 * kMacBytes;
constexpr size_t kMinSecretLength = 32;  // characters; 128 bits even if hexadecimal
constexpr size_t kMaxSecrets = 2;
constexpr char kUnsignedLine[] = "unsigned";
constexpr std::array<std::string_view, 5> kFaultNames = {
    "none", "missing_file", "empty", "secret_too_short", "more_than_two_secrets"};

std::string MacOf(const std::string& secret, std::string_view receiver, std::string_view text) {
  gnutls_hmac_hd_t mac = nullptr;
  // Without signatures, messages from entries cannot be told from forged ones.
  if (gnutls_hmac_init(&mac, GNUTLS_MAC_SHA256, secret.data(), secret.size()) < 0) std::abort();
  gnutls_hmac(mac, receiver.data(), receiver.size());
  gnutls_hmac(mac, "\n", 1);  // names contain no line break
  gnutls_hmac(mac, text.data(), text.size());
  std::array<char, kMacBytes> bytes{};
  gnutls_hmac_deinit(mac, bytes.data());
  return absl::BytesToHexString(std::string(bytes.data(), bytes.size()));
}

// A batch is a JSON object; a hexadecimal signature never begins with '{'.
bool IsUnsigned(const std::string& signed_text) {
  return !signed_text.empty() && signed_text[0] == '{';
}

}  // namespace

std::string_view ToText(secret_fault fault) { return kFaultNames[static_cast<size_t>(fault)]; }

std::variant<peer_secrets, secret_fault> ParsePeerSecrets(std::string_view text) {
  peer_secrets read;
  const std::string lines(text);
  for (const absl::string_view line :
       absl::StrSplit(lines, absl::ByAnyChar("\r\n"), absl::SkipWhitespace())) {
    if (line == kUnsignedLine) {
      read.accept_unsigned = true;
      continue;
    }
    if (line.size() < kMinSecretLength) return secret_fault::kTooShort;
    read.secrets.emplace_back(line);
  }
  if (read.secrets.empty()) return secret_fault::kEmpty;
  if (read.secrets.size() > kMaxSecrets) return secret_fault::kTooMany;
  return read;
}

secret_fault peer_auth::SetFromFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return secret_fault::kMissingFile;
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  std::variant<peer_secrets, secret_fault> read = ParsePeerSecrets(text);
  if (const auto* fault = std::get_if<secret_fault>(&read)) return *fault;
  Set(std::get<peer_secrets>(std::move(read)));
  return secret_fault::kNone;
}

void peer_auth::Set(peer_secrets secrets) {
  auto set = std::make_shared<const peer_secrets>(std::move(secrets));
  const std::lock_guard lock(mutex_);
  secrets_ = std::move(set);
}

std::shared_ptr<const peer_secrets> peer_auth::Secrets() const {
  const std::lock_guard lock(mutex_);
  return secrets_;
}

std::string peer_auth::Sign(std::string_view receiver, const std::string& text) const {
  const std::shared_ptr<const peer_secrets> known = Secrets();
  if (known->secrets.empty()) return text;
  return absl::StrCat(MacOf(known->secrets.front(), receiver, text), text);
}

std::optional<std::string> peer_auth::Verify(std::string_view receiver,
                                             const std::string& signed_text) {
  const std::shared_ptr<const peer_secrets> known = Secrets();
  const bool enforced = !known->secrets.empty();
  if (IsUnsigned(signed_text)) {
    if (!enforced || known->accept_unsigned) return signed_text;
    ++rejected_;
    return std::nullopt;
  }
  if (signed_text.size() < kMacDigits) {
    ++rejected_;
    return std::nullopt;
  }
  std::string text = signed_text.substr(kMacDigits);
  // An entry without a secret yet accepts signed batches unverified.
  if (!enforced) return text;
  const bool valid =
      std::any_of(known->secrets.begin(), known->secrets.end(), [&](const std::string& secret) {
        return gnutls_memcmp(MacOf(secret, receiver, text).data(), signed_text.data(),
                             kMacDigits) == 0;
      });
  if (valid) return text;
  ++rejected_;
  return std::nullopt;
}

}  // namespace catkinford
