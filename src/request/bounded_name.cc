#include "request/bounded_name.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <array>
#include <string_view>

#include "absl/strings/escaping.h"

namespace catkinford {

std::string BoundedName(std::string name) {
  if (name.size() <= kMaxNameBytes) return name;
  std::array<char, kMaxNameBytes / 2> digest{};
  gnutls_hash_fast(GNUTLS_DIG_SHA256, name.data(), name.size(), digest.data());
  return absl::BytesToHexString({digest.data(), digest.size()});
}

}  // namespace catkinford
