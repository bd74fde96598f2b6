// Server certificate that can be replaced while the server runs.
#ifndef CATKINFORD_CONNECTION_TLS_CERTIFICATE_H_
#define CATKINFORD_CONNECTION_TLS_CERTIFICATE_H_

#include <gnutls/abstract.h>
#include <gnutls/gnutls.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace catkinford {

enum class tls_fault : uint8_t { kNone, kMissingFile, kBadCertificate, kBadKey, kKeyDoesNotMatch };
std::string_view ToText(tls_fault fault);

// Holds the certificate in use. Handshakes read it on the HTTP library's threads while an operator
// may replace it; each handshake works on a copy, so that none mixes two certificates.
class tls_certificate_store {
 public:
  tls_certificate_store();
  ~tls_certificate_store();
  tls_certificate_store(const tls_certificate_store&) = delete;
  tls_certificate_store& operator=(const tls_certificate_store&) = delete;

  // Like Set(), but reads the PEM texts from files.
  tls_fault SetFromFiles(const std::string& certificate_file, const std::string& key_file);
  // PEM texts: the certificate with its chain, and its key. On error the old certificate stays.
  tls_fault Set(const std::string& certificate, const std::string& key);

  bool HasCertificate() const;

  // Uses this store for sessions of the server on `port`. GnuTLS passes its callback only the
  // session, so the store is looked up by the local port of the session's socket.
  void ServePort(uint16_t port);
  static gnutls_certificate_retrieve_function3* Callback();

 private:
  struct certificate;

  static int Retrieve(gnutls_session_t session, const gnutls_cert_retr_st* info,
                      gnutls_pcert_st** certificates, unsigned* count, gnutls_ocsp_data_st** ocsp,
                      unsigned* ocsp_count, gnutls_privkey_t* key, unsigned* flags);

  mutable std::mutex mutex_;
  std::shared_ptr<const certificate> current_;
  uint16_t port_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_TLS_CERTIFICATE_H_
