#include "connection/peer_auth.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/fleet.h"
#include "connection/peer_rpc.h"
#include "process/peer_mailbox.h"
#include "request/identity.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLimit{30000};
const std::string kOld(32, 'a');
const std::string kNew(40, 'b');
const std::string kBatch = R"({"from":"x","messages":[]})";

class peer_auth_fixture {
 protected:
  static peer_secrets Read(const std::string& text) {
    const auto read = ParsePeerSecrets(text);
    REQUIRE(std::holds_alternative<peer_secrets>(read));
    return std::get<peer_secrets>(read);
  }
  static secret_fault FaultOf(const std::string& text) {
    const auto read = ParsePeerSecrets(text);
    return std::holds_alternative<secret_fault>(read) ? std::get<secret_fault>(read)
                                                      : secret_fault::kNone;
  }
  // Whether an entry with secrets `receiver` accepts a batch from one with secrets `sender`.
  static bool Passes(const std::string& sender, const std::string& receiver) {
    peer_auth from;
    peer_auth to;
    if (!sender.empty()) from.Set(Read(sender));
    if (!receiver.empty()) to.Set(Read(receiver));
    return to.Verify("e1", from.Sign("e1", kBatch)) == kBatch;
  }
};

}  // namespace

// Guards against an apparent partition during a secret rotation: while an operator replaces the
// secret entry by entry, entries at adjacent steps must accept each other in both directions.
TEST_CASE_METHOD(peer_auth_fixture, "peer secrets, replaced step by step, accept adjacent steps",
                 "[peer_auth]") {
  const std::vector<std::string> steps = {
      "", kOld + "\nunsigned", kOld, kOld + "\n" + kNew, kNew + "\n" + kOld, kNew + "\n"};
  for (size_t i = 0; i < steps.size(); ++i) {
    INFO("step " << i);
    CHECK(Passes(steps[i], steps[i]));
    if (i == 0) continue;
    CHECK(Passes(steps[i - 1], steps[i]));
    CHECK(Passes(steps[i], steps[i - 1]));
  }
}

// Guards against accepting batches from outsiders or from an entry that missed a rotation.
TEST_CASE_METHOD(peer_auth_fixture, "peer secrets, wrong, old or missing, are rejected",
                 "[peer_auth]") {
  CHECK_FALSE(Passes(kOld, kNew));
  CHECK_FALSE(Passes("", kNew));
  CHECK_FALSE(Passes(kOld, kNew + "\nunsigned"));
  peer_auth auth;
  auth.Set(Read(kNew));
  const std::string signed_text = auth.Sign("e1", kBatch);
  CHECK(auth.Verify("e1", signed_text) == kBatch);
  CHECK_FALSE(auth.Verify("e2", signed_text).has_value());  // addressed to another entry
  for (const size_t at : {size_t{0}, size_t{63}, size_t{64}, signed_text.size() - 1}) {
    std::string changed = signed_text;
    changed[at] = changed[at] == '0' ? '1' : '0';
    CHECK_FALSE(auth.Verify("e1", changed).has_value());
  }
  CHECK_FALSE(auth.Verify("e1", "").has_value());
  CHECK_FALSE(auth.Verify("e1", std::string(20, 'f')).has_value());
  CHECK_FALSE(auth.Verify("e1", std::string(64, 'f')).has_value());
  CHECK(auth.Refused() == 8);
}

TEST_CASE_METHOD(peer_auth_fixture, "peer secrets, invalid file, reports the fault",
                 "[peer_auth]") {
  CHECK(FaultOf("") == secret_fault::kEmpty);
  CHECK(FaultOf("unsigned\n") == secret_fault::kEmpty);
  CHECK(FaultOf("short\n") == secret_fault::kTooShort);
  CHECK(FaultOf(kOld + "\n" + kNew + "\n" + kOld) == secret_fault::kTooMany);
  CHECK(FaultOf(kOld + "\r\n" + kNew + "\r\n") == secret_fault::kNone);
  peer_auth auth;
  auth.Set(Read(kOld));
  CHECK(auth.SetFromFile("/nonexistent") == secret_fault::kMissingFile);
  CHECK(auth.Verify("e1", auth.Sign("e1", kBatch)).has_value());  // the previous secret stays
}

namespace {

// A fleet whose entries share a secret.
class signed_fleet_fixture {
 protected:
  signed_fleet_fixture() : fleet_(Options(file_)) {
    http_.Start();
    WriteSecrets(kOld);
    started_ = fleet_.Start(kLimit);
  }
  ~signed_fleet_fixture() { std::remove(file_.c_str()); }

  static fleet_options Options(const std::string& file) {
    fleet_options options;
    options.entries_per_domain = 1;
    options.endpoints_per_domain = 2;
    options.teams = 2;
    options.peer_secret_file = file;
    return options;
  }
  void WriteSecrets(const std::string& text) { std::ofstream(file_) << text; }

  http_result Submit(size_t slot) {
    http_call call{"POST", fleet_.UrlOf(slot) + "/v1/jobs",
                   R"({"kind":"interactive","cpu_milli":500,"memory_mb":256,)"
                   R"("payload":"{\"run_ms\":5}"})",
                   fleet_.Contract().teams[0].secret};
    call.timeout = kLimit;
    return http_.SendAndWait(call);
  }
  // Sends a text to the peer port and returns the answer.
  std::string Deliver(size_t slot, const std::string& text) {
    http_call call{"POST", absl::StrCat("http://127.0.0.1:", fleet_.Entry(slot).peer_port),
                   EncodeRpcRequest("deliver", text)};
    std::string answer;
    DecodeRpcResponse(http_.SendAndWait(call).body, answer);
    return answer;
  }
  // Whether the entry logs `times` reads of the secret file within the limit.
  bool HasRead(size_t slot, size_t times) {
    const auto until = std::chrono::steady_clock::now() + kLimit;
    while (std::chrono::steady_clock::now() < until) {
      std::ifstream in(absl::StrCat(fleet_.Directory(), "/", fleet_.Entry(slot).name, ".log"));
      size_t found = 0;
      for (std::string line; std::getline(in, line);) {
        found += line.find("peer_secrets_taken") != std::string::npos ? 1 : 0;
      }
      if (found >= times) return true;
      std::this_thread::sleep_for(milliseconds{20});
    }
    return false;
  }
  bool HasMetric(size_t slot, const std::string& line) {
    const auto until = std::chrono::steady_clock::now() + kLimit;
    while (std::chrono::steady_clock::now() < until) {
      const http_call call{"GET", fleet_.UrlOf(slot) + "/metrics", ""};
      if (http_.SendAndWait(call).body.find(line) != std::string::npos) return true;
      std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
  }

  const std::string file_ =
      absl::StrCat(CATKINFORD_BIN_DIR, "/secrets_", ToHex(NewRequestId()), ".txt");
  fleet fleet_;
  bool started_ = false;
  http_client http_{0};
};

}  // namespace

// Guards against a takeover of the fleet: an outsider sends the peer port an unsigned configuration
// of a higher version that makes him its operator.
TEST_CASE_METHOD(signed_fleet_fixture, "peer port, unsigned configuration, is rejected",
                 "[peer_auth][fleet]") {
  REQUIRE(started_);
  const std::string forged =
      EncodeBatch("stranger", {config_message{1U << 30, R"({"workspaces":[]})"}});
  CHECK(Deliver(0, forged) == "refused");
  CHECK(Deliver(0, std::string(64, '0') + forged) == "refused");
  CHECK(HasMetric(0, "catkinford_peer_refused_total 2"));
  CHECK(Submit(0).code == 200);
}

// Guards against rejected peer calls during a secret rotation under load, which would show as
// unreachable shards and unanswered requests.
TEST_CASE_METHOD(signed_fleet_fixture, "peer secrets, replaced under load, reject no entry",
                 "[peer_auth][fleet]") {
  REQUIRE(started_);
  size_t read = 1;
  for (const std::string& text :
       {absl::StrCat(kOld, "\n", kNew), absl::StrCat(kNew, "\n", kOld), kNew}) {
    WriteSecrets(text);
    for (size_t i = 0; i < fleet_.Entries(); ++i) {
      fleet_.Entry(i).process.Signal(SIGHUP);
      for (int n = 0; n < 10; ++n) CHECK(Submit((i + n) % fleet_.Entries()).code == 200);
    }
    // All entries complete the step before the next one begins.
    ++read;
    for (size_t i = 0; i < fleet_.Entries(); ++i) {
      CHECK(HasRead(i, read));
      CHECK(HasMetric(i, "catkinford_peers_up 2"));
      CHECK(HasMetric(i, "catkinford_peer_refused_total 0"));
    }
  }
  const std::string forged = EncodeBatch("stranger", {release_message{}});
  peer_auth old;
  old.Set(std::get<peer_secrets>(ParsePeerSecrets(kOld)));
  const std::string& name = fleet_.Entry(0).name;
  CHECK(Deliver(0, old.Sign(name, forged)) == "refused");
}

}  // namespace catkinford
