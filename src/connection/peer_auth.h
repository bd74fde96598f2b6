// Whether a batch between entries comes from one of them: each carries an HMAC-SHA256 of the
// receiver's name and the text, under a secret that all entries share.
//
// Two secrets can be good at a time, so that they are replaced without an entry that refuses
// another (docs/design/022-calls-between-entries-signed.md).
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
  std::vector<std::string> secrets;  // the first signs, each is accepted; none: nothing is checked
  bool accept_unsigned = false;      // while the first secret is brought in
};

// One secret a line, at most two; the line "unsigned" accepts what carries no signature as well.
std::variant<peer_secrets, secret_fault> ParsePeerSecrets(std::string_view text);

// Any thread may call any of it.
class peer_auth {
 public:
  // On a fault the ones before stay.
  secret_fault SetFromFile(const std::string& file);
  void Set(peer_secrets secrets);

  // What is sent to `receiver`.
  std::string Sign(std::string_view receiver, const std::string& text) const;
  // The text that came to `receiver`; absent, and counted, where its signature is not good.
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
