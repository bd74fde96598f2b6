#include "connection/tls_certificate.h"

#include <arpa/inet.h>
#include <gnutls/x509.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

namespace catkinford {
namespace {

constexpr size_t kKeyIdBytes = 32;

using key_id = std::array<unsigned char, kKeyIdBytes>;

gnutls_datum_t DatumOf(const std::string& text) {
  return {reinterpret_cast<unsigned char*>(const_cast<char*>(text.data())),
          static_cast<unsigned>(text.size())};
}

// Maps each TLS port of this process to its certificate store.
struct port_registry {
  std::mutex mutex;
  std::map<uint16_t, tls_certificate_store*> stores;
};

port_registry& Registry() {
  static port_registry registry;
  return registry;
}

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

uint16_t LocalPort(gnutls_session_t session) {
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  if (getsockname(gnutls_transport_get_int(session), reinterpret_cast<sockaddr*>(&address),
                  &size) != 0) {
    return 0;
  }
  if (address.ss_family != AF_INET) return 0;
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

constexpr std::array<std::string_view, 5> kFaultNames = {"none", "missing_file", "bad_certificate",
                                                         "bad_key", "key_does_not_match"};

}  // namespace

std::string_view ToText(tls_fault fault) { return kFaultNames[static_cast<size_t>(fault)]; }

struct tls_certificate_store::certificate {
  certificate() = default;
  certificate(const certificate&) = delete;
  certificate& operator=(const certificate&) = delete;
  ~certificate() {
    for (unsigned i = 0; i < count; ++i) gnutls_x509_crt_deinit(chain[i]);
    gnutls_free(chain);
    if (key != nullptr) gnutls_x509_privkey_deinit(key);
  }

  tls_fault Parse(const std::string& certificate_text, const std::string& key_text) {
    const gnutls_datum_t chain_datum = DatumOf(certificate_text);
    if (gnutls_x509_crt_list_import2(&chain, &count, &chain_datum, GNUTLS_X509_FMT_PEM, 0) < 0 ||
        count == 0) {
      return tls_fault::kBadCertificate;
    }
    const gnutls_datum_t key_datum = DatumOf(key_text);
    if (gnutls_x509_privkey_init(&key) < 0) return tls_fault::kBadKey;
    if (gnutls_x509_privkey_import(key, &key_datum, GNUTLS_X509_FMT_PEM) < 0) {
      return tls_fault::kBadKey;
    }
    return KeyMatches() ? tls_fault::kNone : tls_fault::kKeyDoesNotMatch;
  }

  bool KeyMatches() const {
    key_id of_certificate{};
    key_id of_key{};
    size_t size = kKeyIdBytes;
    if (gnutls_x509_crt_get_key_id(chain[0], GNUTLS_KEYID_USE_SHA256, of_certificate.data(),
                                   &size) < 0) {
      return false;
    }
    size = kKeyIdBytes;
    return gnutls_x509_privkey_get_key_id(key, GNUTLS_KEYID_USE_SHA256, of_key.data(), &size) >=
               0 &&
           of_certificate == of_key;
  }

  gnutls_x509_crt_t* chain = nullptr;
  unsigned count = 0;
  gnutls_x509_privkey_t key = nullptr;
};

tls_certificate_store::tls_certificate_store() = default;

tls_certificate_store::~tls_certificate_store() {
  port_registry& registry = Registry();
  const std::lock_guard lock(registry.mutex);
  const auto found = registry.stores.find(port_);
  if (found != registry.stores.end() && found->second == this) registry.stores.erase(found);
}

tls_fault tls_certificate_store::Set(const std::string& certificate_text,
                                     const std::string& key_text) {
  auto next = std::make_shared<certificate>();
  const tls_fault fault = next->Parse(certificate_text, key_text);
  if (fault != tls_fault::kNone) return fault;
  const std::lock_guard lock(mutex_);
  current_ = std::move(next);
  return tls_fault::kNone;
}

tls_fault tls_certificate_store::SetFromFiles(const std::string& certificate_file,
                                              const std::string& key_file) {
  const std::optional<std::string> certificate_text = ReadFile(certificate_file);
  const std::optional<std::string> key_text = ReadFile(key_file);
  if (!certificate_text || !key_text) return tls_fault::kMissingFile;
  return Set(*certificate_text, *key_text);
}

bool tls_certificate_store::HasCertificate() const {
  const std::lock_guard lock(mutex_);
  return current_ != nullptr;
}

void tls_certificate_store::ServePort(uint16_t port) {
  port_registry& registry = Registry();
  const std::lock_guard lock(registry.mutex);
  port_ = port;
  registry.stores[port] = this;
}

gnutls_certificate_retrieve_function3* tls_certificate_store::Callback() { return &Retrieve; }

int tls_certificate_store::Retrieve(gnutls_session_t session, const gnutls_cert_retr_st* /*info*/,
                                    gnutls_pcert_st** certificates, unsigned* count,
                                    gnutls_ocsp_data_st** ocsp, unsigned* ocsp_count,
                                    gnutls_privkey_t* key, unsigned* flags) {
  std::shared_ptr<const certificate> current;
  {
    port_registry& registry = Registry();
    const std::lock_guard lock(registry.mutex);
    const auto found = registry.stores.find(LocalPort(session));
    if (found == registry.stores.end()) return -1;
    const std::lock_guard store_lock(found->second->mutex_);
    current = found->second->current_;
  }
  if (current == nullptr) return -1;
  auto* list =
      static_cast<gnutls_pcert_st*>(gnutls_calloc(current->count, sizeof(gnutls_pcert_st)));
  if (list == nullptr) return -1;
  unsigned imported = 0;
  while (imported < current->count &&
         gnutls_pcert_import_x509(&list[imported], current->chain[imported], 0) >= 0) {
    ++imported;
  }
  gnutls_privkey_t copy = nullptr;
  const bool complete =
      imported == current->count && gnutls_privkey_init(&copy) >= 0 &&
      gnutls_privkey_import_x509(copy, current->key, GNUTLS_PRIVKEY_IMPORT_COPY) >= 0;
  if (!complete) {
    for (unsigned i = 0; i < imported; ++i) gnutls_pcert_deinit(&list[i]);
    gnutls_free(list);
    if (copy != nullptr) gnutls_privkey_deinit(copy);
    return -1;
  }
  *certificates = list;
  *count = imported;
  *ocsp = nullptr;
  *ocsp_count = 0;
  *key = copy;
  *flags = GNUTLS_CERT_RETR_DEINIT_ALL;  // GnuTLS frees the copies
  return 0;
}

}  // namespace catkinford
