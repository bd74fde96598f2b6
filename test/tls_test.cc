#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "bench/child_process.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "nlohmann/json.hpp"
#include "request/identity.h"

namespace catkinford {
namespace {

constexpr unsigned kCurveBits = GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1);
constexpr std::time_t kDay = 86400;

struct pem_pair {
  std::string certificate;
  std::string key;
};

std::string TakeText(gnutls_datum_t datum) {
  std::string text(reinterpret_cast<const char*>(datum.data), datum.size);
  gnutls_free(datum.data);
  return text;
}

// A self-signed certificate for 127.0.0.1 with a new key.
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
  // Calls with a new client that trusts only this certificate.
  static http_result CallPort(uint16_t port, const pem_pair& pair, const std::string& path,
                              const std::string& scheme = "https") {
    const std::string file =
        absl::StrCat(CATKINFORD_BIN_DIR, "/ca_", ToHex(NewRequestId()), ".pem");
    std::ofstream(file) << pair.certificate;
    http_client client(0, file);
    client.Start();
    http_result result = client.SendAndWait(
        {path == "/" ? "POST" : "GET", absl::StrCat(scheme, "://127.0.0.1:", port, path), "hello"});
    client.Stop();
    std::remove(file.c_str());
    return result;
  }
  http_result CallTrusting(const pem_pair& pair, const std::string& scheme = "https") const {
    return CallPort(server_->Port(), pair, "/", scheme);
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

TEST_CASE_METHOD(tls_fixture, "tls, untrusted certificate, nothing is sent", "[tls]") {
  CHECK(CallTrusting(second_).status == transfer_status::kNotSent);
  CHECK(CallTrusting(first_, "http").status != transfer_status::kDone);
}

// Guards against having to restart an entry when its certificate expires: the certificate is
// replaced while the entry serves callers.
TEST_CASE_METHOD(tls_fixture, "tls, certificate replaced, new connections use the new one",
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

namespace {

// A real entry that serves callers over TLS, with its files in the build directory.
class tls_daemon_fixture : public tls_fixture {
 public:
  tls_daemon_fixture() {
    Write("cert.pem", first_.certificate);
    Write("key.pem", first_.key);
    port_ = FreePort();
    const nlohmann::json settings = {
        {"name", "a1"},
        {"failure_domain", "a"},
        {"failure_domains", {"a"}},
        {"listen",
         {{"caller_port", port_},
          {"peer_port", FreePort()},
          {"tls_certificate_file", File("cert.pem")},
          {"tls_key_file", File("key.pem")}}},
        {"platform",
         {{"store_url", "http://127.0.0.1:9"}, {"instances_url", "http://127.0.0.1:9"}}},
        {"timing", {{"shutdown_limit", "1s"}}}};
    Write("settings.json", settings.dump());
  }
  ~tls_daemon_fixture() {
    for (const char* name : {"cert.pem", "key.pem", "settings.json", "log"}) {
      std::remove(File(name).c_str());
    }
  }

 protected:
  std::string File(const std::string& name) const { return absl::StrCat(prefix_, name); }
  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(File(name)) << text;
  }
  bool Start() {
    return daemon_.Start(
        {absl::StrCat(CATKINFORD_BIN_DIR, "/catkinfordd"), "--settings", File("settings.json")},
        File("log"));
  }
  // Polls until the entry answers callers that trust this certificate.
  bool EventuallyAnswers(const pem_pair& trusted) const {
    const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds{30};
    while (std::chrono::steady_clock::now() < give_up) {
      if (CallPort(port_, trusted, "/healthz").code == 200) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    return false;
  }

  std::string prefix_ = absl::StrCat(CATKINFORD_BIN_DIR, "/tls_", ToHex(NewRequestId()), "_");
  uint16_t port_ = 0;
  child_process daemon_;
};

}  // namespace

// Guards against a failed certificate reload: the files of a running entry are replaced, and after
// SIGHUP the same process must answer callers that trust only the new certificate.
TEST_CASE_METHOD(tls_daemon_fixture,
                 "tls, SIGHUP after the files changed, loads the new certificate", "[tls]") {
  REQUIRE(Start());
  REQUIRE(EventuallyAnswers(first_));
  Write("cert.pem", second_.certificate);
  daemon_.Signal(SIGHUP);  // certificate and key do not match: the old certificate stays
  REQUIRE(EventuallyAnswers(first_));
  Write("key.pem", second_.key);
  daemon_.Signal(SIGHUP);
  CHECK(EventuallyAnswers(second_));
  CHECK(daemon_.Alive());
  daemon_.Signal(SIGTERM);
  CHECK(daemon_.WaitFor(std::chrono::seconds{30}) == 0);
}

// Guards against a silent fallback to plain HTTP, which would send keys in clear text.
TEST_CASE_METHOD(tls_daemon_fixture, "tls, entry without a usable certificate, does not start",
                 "[tls]") {
  Write("key.pem", "no key");
  REQUIRE(Start());
  CHECK(daemon_.WaitFor(std::chrono::seconds{30}) == 4);
}

}  // namespace catkinford
