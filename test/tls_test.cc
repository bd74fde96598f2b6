#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "request/identity.h"

namespace catkinford {
namespace {

constexpr unsigned kCurveBits = GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1);
constexpr std::time_t kDay = 24 * 3600;

struct pem_pair {
  std::string certificate;
  std::string key;
};

std::string TakeText(gnutls_datum_t datum) {
  std::string text(reinterpret_cast<const char*>(datum.data), datum.size);
  gnutls_free(datum.data);
  return text;
}

// A certificate for 127.0.0.1 that signs itself, with a new key.
pem_pair MakeCertificate() {
  gnutls_x509_privkey_t key = nullptr;
  gnutls_x509_privkey_init(&key);
  gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA, kCurveBits, 0);
  gnutls_x509_crt_t certificate = nullptr;
  gnutls_x509_crt_init(&certificate);
  gnutls_x509_crt_set_version(certificate, 3);
  std::array<unsigned char, 8> serial{};
  gnutls_rnd(GNUTLS_RND_NONCE, serial.data(), serial.size());
  serial[0] = 1;
  gnutls_x509_crt_set_serial(certificate, serial.data(), serial.size());
  const std::time_t now = std::time(nullptr);
  gnutls_x509_crt_set_activation_time(certificate, now - kDay);
  gnutls_x509_crt_set_expiration_time(certificate, now + kDay);
  const std::string name = "test";
  gnutls_x509_crt_set_dn_by_oid(certificate, GNUTLS_OID_X520_COMMON_NAME, 0, name.data(),
                                static_cast<unsigned>(name.size()));
  const std::array<unsigned char, 4> address = {127, 0, 0, 1};
  gnutls_x509_crt_set_subject_alt_name(certificate, GNUTLS_SAN_IPADDRESS, address.data(),
                                       address.size(), GNUTLS_FSAN_SET);
  gnutls_x509_crt_set_basic_constraints(certificate, 1, -1);
  gnutls_x509_crt_set_key(certificate, key);
  gnutls_x509_crt_sign2(certificate, certificate, key, GNUTLS_DIG_SHA256, 0);
  pem_pair pair;
  gnutls_datum_t text{};
  gnutls_x509_crt_export2(certificate, GNUTLS_X509_FMT_PEM, &text);
  pair.certificate = TakeText(text);
  gnutls_x509_privkey_export2(key, GNUTLS_X509_FMT_PEM, &text);
  pair.key = TakeText(text);
  gnutls_x509_crt_deinit(certificate);
  gnutls_x509_privkey_deinit(key);
  return pair;
}

class tls_fixture {
 public:
  tls_fixture() {
    http_server_options options;
    options.tls_certificate = first_.certificate;
    options.tls_key = first_.key;
    server_ = std::make_unique<http_server>(
        options, [this](http_server::token token, const http_request& request) {
          server_->Respond(token, {200, request.body});
        });
    started_ = server_->Start();
  }

 protected:
  // A fresh caller that trusts only this certificate.
  http_result CallTrusting(const pem_pair& pair, const std::string& scheme = "https") const {
    const std::string file =
        absl::StrCat(CATKINFORD_BIN_DIR, "/ca_", ToHex(NewRequestId()), ".pem");
    std::ofstream(file) << pair.certificate;
    http_client client(0, file);
    client.Start();
    http_result result = client.SendAndWait(
        {"POST", absl::StrCat(scheme, "://127.0.0.1:", server_->Port()), "hello"});
    client.Stop();
    std::remove(file.c_str());
    return result;
  }

  pem_pair first_ = MakeCertificate();
  pem_pair second_ = MakeCertificate();
  std::unique_ptr<http_server> server_;
  bool started_ = false;
};

}  // namespace

TEST_CASE_METHOD(tls_fixture, "tls, trusted certificate, call is answered", "[tls]") {
  REQUIRE(started_);
  const http_result result = CallTrusting(first_);
  CHECK(result.status == transfer_status::kDone);
  CHECK(result.body == "hello");
}

TEST_CASE_METHOD(tls_fixture, "tls, certificate of another, nothing is sent", "[tls]") {
  CHECK(CallTrusting(second_).status == transfer_status::kNotSent);
  CHECK(CallTrusting(first_, "http").status != transfer_status::kDone);
}

// A certificate is about to end and is replaced while the entry serves callers. Without a reload
// the entry would have to be restarted, or callers would be turned away when the old one ends.
TEST_CASE_METHOD(tls_fixture, "tls, certificate replaced, new connections get the new one",
                 "[tls]") {
  REQUIRE(server_->SetCertificate(second_.certificate, second_.key) == tls_fault::kNone);
  CHECK(CallTrusting(second_).body == "hello");
  CHECK(CallTrusting(first_).status == transfer_status::kNotSent);
}

TEST_CASE_METHOD(tls_fixture, "tls, unusable certificate offered, the old one stays", "[tls]") {
  CHECK(server_->SetCertificate(second_.certificate, first_.key) == tls_fault::kKeyDoesNotMatch);
  CHECK(server_->SetCertificate("no certificate", first_.key) == tls_fault::kBadCertificate);
  CHECK(server_->SetCertificate(second_.certificate, "no key") == tls_fault::kBadKey);
  CHECK(CallTrusting(first_).body == "hello");
}

}  // namespace catkinford
