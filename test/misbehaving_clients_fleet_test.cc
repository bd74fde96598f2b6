// Entries of real processes beside a crowd of clients that hold on to what they can.
//
// Each test checks what holds on a machine of any speed: the process lives, stays within the memory
// and the descriptors of its machine, and answers an ordinary request while the crowd is connected.
#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/fleet.h"
#include "client_crowd.h"
#include "request/text_compression.h"
#include "site_fixture.h"

namespace catkinford {
namespace {

using nlohmann::json;

constexpr size_t kCrowd = 320;
constexpr size_t kBody = size_t{1} << 20;  // also the limit of a body where one is legal
constexpr size_t kPiece = 16384;
constexpr uint64_t kMachineKilobytes = uint64_t{256} << 10;
// Descriptors of a machine on which connections alone are the attack, and those of them that the
// process needs for its own calls.
constexpr rlim_t kFewDescriptors = 256;
constexpr size_t kOwnDescriptors = 32;

std::string Text(size_t size) { return std::string(size, 'x'); }

// `element` in an array, again and again, up to `size` bytes.
std::string SmallValues(const std::string& begin, const std::string& element,
                        const std::string& end, size_t size) {
  std::string out = begin + element;
  while (out.size() + element.size() + 1 + end.size() <= size) out += "," + element;
  return out + end;
}

// Lowers the limit of descriptors for processes started meanwhile.
class descriptor_limit {
 public:
  explicit descriptor_limit(rlim_t limit) {
    getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit lowered{limit, before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &before_); }
  descriptor_limit(const descriptor_limit&) = delete;
  descriptor_limit& operator=(const descriptor_limit&) = delete;

 private:
  rlimit before_{};
};

size_t OpenDescriptors(const child_process& process) {
  size_t count = 0;
  const std::string folder = absl::StrCat("/proc/", process.Pid(), "/fd");
  for ([[maybe_unused]] const auto& each : std::filesystem::directory_iterator(folder)) ++count;
  return count;
}

void CheckWithinMachine(child_process& process, size_t descriptors) {
  REQUIRE(process.Alive());
  CHECK(process.Usage().peak_resident_kb <= kMachineKilobytes);
  CHECK(OpenDescriptors(process) + kOwnDescriptors <= descriptors);
}

class crowded_site_fixture : public site_fixture {
 protected:
  crowded_site_fixture() : site_fixture(no_entries{}) {
    SetBodyLimit(kBody);
    constexpr double kFastLink = 1e6;  // does not limit how often a configuration is sent
    AddEntry("entry-0", store_.Address(), kFastLink);
  }

  void SetBodyLimit(size_t bytes) {
    json version = json::parse(*store_.Value("op/config"));
    version["version"] = version["version"].get<uint64_t>() + 1;
    version["limits"]["max-body-bytes"] = bytes;
    store_.Put("op/config", version.dump());
  }

  void StartEntry() {
    Start(*entries_[0]);
    REQUIRE(Eventually([this] { return Ready(0) && Owner() >= 0; }));
  }

  uint16_t PeerPort() {
    std::ifstream in(entries_[0]->settings_file);
    return json::parse(in).at("listen").at("peer_port").get<uint16_t>();
  }

  void CheckServes(size_t descriptors = 4100) {
    CheckWithinMachine(entries_[0]->process, descriptors);
    const std::string path = "/open/" + JobId(1);
    CHECK(Eventually([&] { return Call(0, "POST", path, TwoSteps()).code == 200; }));
    CHECK(Eventually([&] { return StateOf(0, path) == "completed"; }));
    CHECK(Eventually([this] { return Ready(0); }));
    CHECK(Eventually([this] { return Metric(0, "catkinford_site_owns") == 1; }));
    CheckWithinMachine(entries_[0]->process, descriptors);
  }

  // Of a crowd whose bodies stop one byte before their end, on one listener.
  void CheckPieces(uint16_t port, const std::string& path) {
    client_crowd crowd(port, kCrowd);
    crowd.Send(RequestHead("POST", path, kBody) + Text(kBody - 1), kPiece);
    CheckServes();
  }
  void CheckChunks(uint16_t port, const std::string& path, size_t size, size_t body) {
    client_crowd crowd(port, kCrowd);
    std::string bytes = RequestHead("POST", path, -1) + InChunks(Text(body), size);
    bytes.resize(bytes.size() - 3);  // of the last chunk one byte and its end are missing
    crowd.Send(bytes, kPiece);
    CheckServes();
  }
};

// Guards against a process that keeps each body of legal size, and builds all that its text
// describes, whatever the number of them.
TEST_CASE_METHOD(crowded_site_fixture, "site, crowd of whole bodies of small values, serves",
                 "[crowd]") {
  StartEntry();
  client_crowd crowd(entries_[0]->callers, kCrowd);
  const std::string path = "/open/" + JobId(2);
  const std::string body = SmallValues(R"({"steps":[)", "{}", "]}", kBody);
  crowd.Send(RequestHead("POST", path, static_cast<int64_t>(body.size())) + body, kBody);
  CheckServes();
}

// Guards against a process that keeps all that jobs of legal size hold once they are accepted.
TEST_CASE_METHOD(crowded_site_fixture, "site, crowd of whole jobs of legal size, serves",
                 "[crowd]") {
  StartEntry();
  client_crowd crowd(entries_[0]->callers, kCrowd);
  const std::string body =
      absl::StrCat(R"({"steps":[{"count":1,"image":")", Text(kBody - 64), R"("}]})");
  const auto head = [&](size_t client) {
    const std::string path = "/open/" + JobId(static_cast<uint32_t>(100 + client));
    return RequestHead("POST", path, static_cast<int64_t>(body.size()));
  };
  crowd.SendAfter(head, body, kBody);
  CheckServes();
}

TEST_CASE_METHOD(crowded_site_fixture, "site, large jobs one after the other, serves", "[crowd]") {
  StartEntry();
  for (uint32_t i = 0; i < kCrowd; ++i) {
    const std::string body =
        absl::StrCat(R"({"steps":[{"count":1,"image":")", i, Text(kBody - 64), R"("}]})");
    const int code = Call(0, "POST", "/open/" + JobId(1000 + i), body).code;
    CHECK((code == 200 || code == 503));
  }
  CheckServes();
}

// Guards against a process that keeps unfinished bodies for as long as their clients like.
TEST_CASE_METHOD(crowded_site_fixture, "site, crowd of bodies in pieces without their end, serves",
                 "[crowd]") {
  StartEntry();
  CheckPieces(entries_[0]->callers, "/open/" + JobId(2));
}

TEST_CASE_METHOD(crowded_site_fixture, "site, crowd of large chunks without their end, serves",
                 "[crowd]") {
  StartEntry();
  CheckChunks(entries_[0]->callers, "/open/" + JobId(2), kBody, kBody);
}

TEST_CASE_METHOD(crowded_site_fixture, "site, crowd of small chunks without their end, serves",
                 "[crowd]") {
  StartEntry();
  CheckChunks(entries_[0]->callers, "/open/" + JobId(2), 16, kBody);
}

// Guards against a process that takes in a body whole before it compares it with the limit.
TEST_CASE_METHOD(crowded_site_fixture, "site, crowd of bodies announced over the limit, serves",
                 "[crowd]") {
  SetBodyLimit(20000);
  StartEntry();
  client_crowd crowd(entries_[0]->callers, kCrowd);
  const std::string head = RequestHead("POST", "/open/" + JobId(2), kBody);
  crowd.Send(head + Text(kBody - 1), kPiece);
  CheckServes();
}

TEST_CASE_METHOD(crowded_site_fixture, "site, crowd of endless bodies over the limit, serves",
                 "[crowd]") {
  SetBodyLimit(20000);
  StartEntry();
  client_crowd crowd(entries_[0]->callers, kCrowd);
  const std::string head = RequestHead("POST", "/open/" + JobId(2), -1);
  crowd.Send(head + InChunks(Text(kBody), kPiece), kPiece);
  CheckServes();
}

// Guards against a listener other than the callers' that has no limit.
TEST_CASE_METHOD(crowded_site_fixture, "site, crowd at the listener of readiness, serves",
                 "[crowd]") {
  StartEntry();
  CheckPieces(entries_[0]->ready, "/v1/readiness");
}

TEST_CASE_METHOD(crowded_site_fixture, "site, crowd at the listener of metrics, serves",
                 "[crowd]") {
  StartEntry();
  CheckPieces(entries_[0]->metrics, "/metrics");
}

TEST_CASE_METHOD(crowded_site_fixture, "site, crowd at the listener of peers, serves", "[crowd]") {
  StartEntry();
  CheckPieces(PeerPort(), "/peer/calls");
}

TEST_CASE_METHOD(crowded_site_fixture, "site, chunks at the listener of peers, serves", "[crowd]") {
  StartEntry();
  CheckChunks(PeerPort(), "/peer/calls", kBody, kBody);
}

// Guards against a short message that takes a lot of memory once it is read.
TEST_CASE_METHOD(crowded_site_fixture, "site, compressed small values from peers, serves",
                 "[crowd]") {
  StartEntry();
  client_crowd crowd(PeerPort(), kCrowd);
  constexpr size_t kPlain = size_t{7} << 20;
  const std::string packed =
      CompressText(std::string("\xdd\x00\x70\x00\x00", 5) + std::string(kPlain, '\x80'));
  const std::string text = CompressText(SmallValues("[", "{}", "]", kPlain));
  for (const std::string& body : {packed, text}) {
    for (const char* path : {"/peer/advise", "/peer/job?id=0123456789abcdef"}) {
      crowd.Send(RequestHead("POST", path, static_cast<int64_t>(body.size())) + body, kPiece);
    }
  }
  CheckServes();
}

// Guards against connections that take the descriptors of the process's own calls.
TEST_CASE_METHOD(crowded_site_fixture, "site, crowd of silent connections, serves", "[crowd]") {
  {
    const descriptor_limit lowered(kFewDescriptors);
    StartEntry();
  }
  const client_crowd callers(entries_[0]->callers, kCrowd);
  CheckServes(kFewDescriptors);
}

TEST_CASE_METHOD(crowded_site_fixture, "site, silent connections at each listener, serves",
                 "[crowd]") {
  {
    const descriptor_limit lowered(kFewDescriptors);
    StartEntry();
  }
  const client_crowd callers(entries_[0]->callers, kCrowd);
  const client_crowd readiness(entries_[0]->ready, kCrowd);
  const client_crowd metrics(entries_[0]->metrics, kCrowd);
  const client_crowd peers(PeerPort(), kCrowd);
  CheckServes(kFewDescriptors);
}

// Guards against answers that are kept for clients that never read them.
TEST_CASE_METHOD(crowded_site_fixture, "site, crowd that reads no answer, serves", "[crowd]") {
  PutVersion(3, {"key-1", Text(kBody / 10 * 9)});
  StartEntry();
  client_crowd crowd(PeerPort(), kCrowd);
  crowd.Send(RequestHead("GET", "/peer/version?have=0&text=1", 0), kPiece);
  CheckServes();
}

// Guards against a bound that rejects a request within the limits although nothing else is held.
TEST_CASE_METHOD(crowded_site_fixture, "site, one body of legal size, is served", "[crowd]") {
  StartEntry();
  std::string body = TwoSteps();
  body.insert(1, kBody - body.size(), ' ');
  CHECK(Call(0, "POST", "/open/" + JobId(3), body).code == 200);
  CheckServes();
}

fleet_options OneEntry() {
  fleet_options options;
  options.domains = {"otaru"};
  options.entries_per_domain = 1;
  options.endpoints_per_domain = 2;
  options.teams = 1;
  return options;
}

class crowded_daemon_fixture {
 protected:
  crowded_daemon_fixture() { http_.Start(); }

  void StartFleet() {
    REQUIRE(fleet_.Start(std::chrono::duration_cast<std::chrono::milliseconds>(kGenerousLimit)));
  }

  void CheckServes(size_t descriptors = 4100) {
    CheckWithinMachine(fleet_.Entry(0).process, descriptors);
    CHECK(Eventually([this] {
      http_call call{"POST", fleet_.UrlOf(0) + "/v1/jobs",
                     R"({"kind":"interactive","cpu_milli":100,"memory_mb":64,
                         "payload":"{\"run_ms\":20}"})",
                     fleet_.Contract().teams[0].secret};
      call.timeout = std::chrono::milliseconds(5000);
      return http_.SendAndWait(call).code == 200;
    }));
    CheckWithinMachine(fleet_.Entry(0).process, descriptors);
  }

  // Whole bodies, bodies in pieces and bodies in chunks, at one listener.
  void CheckCrowd(uint16_t port, const std::string& path) {
    const std::string values = SmallValues(R"({"jobs":[)", "{}", "]}", kBody);
    client_crowd whole(port, kCrowd);
    whole.Send(RequestHead("POST", path, static_cast<int64_t>(values.size())) + values, kBody);
    client_crowd pieces(port, kCrowd);
    pieces.Send(RequestHead("POST", path, kBody) + Text(kBody - 1), kPiece);
    client_crowd chunks(port, kCrowd);
    std::string bytes = RequestHead("POST", path, -1) + InChunks(Text(kBody), 4096);
    chunks.Send(bytes.substr(0, bytes.size() - 3), kPiece);
    CheckServes();
  }

  fleet fleet_{OneEntry()};
  http_client http_{0};
};

// Guards against a daemon of another fleet without the same bounds.
TEST_CASE_METHOD(crowded_daemon_fixture, "daemon, crowd at the listener of callers, serves",
                 "[crowd]") {
  StartFleet();
  CheckCrowd(fleet_.Entry(0).caller_port, "/v1/batch");
}

TEST_CASE_METHOD(crowded_daemon_fixture, "daemon, crowd at the listener of peers, serves",
                 "[crowd]") {
  StartFleet();
  CheckCrowd(fleet_.Entry(0).peer_port, "/");
}

// Guards against a listener that takes in a body of any size.
TEST_CASE_METHOD(crowded_daemon_fixture, "daemon, endless body at the listener of peers, serves",
                 "[crowd]") {
  StartFleet();
  client_crowd crowd(fleet_.Entry(0).peer_port, 1);
  crowd.Send(RequestHead("POST", "/", -1) + InChunks(Text(kCrowd * kBody), kBody), kBody);
  CheckServes();
}

TEST_CASE_METHOD(crowded_daemon_fixture, "daemon, crowd of silent connections, serves", "[crowd]") {
  {
    const descriptor_limit lowered(kFewDescriptors);
    StartFleet();
  }
  const client_crowd callers(fleet_.Entry(0).caller_port, kCrowd);
  const client_crowd peers(fleet_.Entry(0).peer_port, kCrowd);
  CheckServes(kFewDescriptors);
}

}  // namespace
}  // namespace catkinford
