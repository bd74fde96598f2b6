// Authenticates batches between entries: each carries an HMAC-SHA256 of the receiver's name and the
// text, keyed with a secret shared by all entries.
//
// Two secrets can be valid at a time, so that a rotation never makes entries reject each other
// (docs/design/022-calls-between-entries-signed.md).
#ifndef CATKINFORD_CONNECTION_PEER_AUTH_H_
#define CATKINFORD_CONNECTION_PEER_AUTH_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace catkinford {

enum class secret_fault : uint8_t { kNone, kMissingFile, kEmpty, kTooShort, kTooMany };
std::string_view ToText(secret_fault fault);

struct peer_secrets {
  std::vector<std::string> secrets;  // the first signs, all verify; empty: no verification
  bool accept_unsigned = false;      // while the first secret is being rolled out
};

// One secret per line, at most two; the line "unsigned" also accepts batches without a signature.
std::variant<peer_secrets, secret_fault> ParsePeerSecrets(std::string_view text);

// Thread-safe.
class peer_auth {
 public:
  // On error the previous secrets stay.
  secret_fault SetFromFile(const std::string& file);
  void Set(peer_secrets secrets);

  // The signature for `receiver` followed by `text`; only `text` when there is no secret.
  std::string Sign(std::string_view receiver, const std::string& text) const;
  // The text received by `receiver` without its signature; if that is not valid, counts the
  // rejection and returns nothing.
  std::optional<std::string> Verify(std::string_view receiver, const std::string& signed_text);

  uint64_t Refused() const { return rejected_; }

 private:
  std::shared_ptr<const peer_secrets> Secrets() const;

  mutable std::mutex mutex_;  // guards secrets_
  std::shared_ptr<const peer_secrets> secrets_ = std::make_shared<const peer_secrets>();
  std::atomic<uint64_t> rejected_{0};
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_PEER_AUTH_H_
