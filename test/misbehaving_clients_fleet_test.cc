// Entries of real processes beside a crowd of clients that hold on to what they can.
//
// Each test checks what holds on a machine of any speed: the process lives, stays within the memory
// and the descriptors of its machine, and answers an ordinary request while the crowd is connected.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

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
// Descriptors that the process needs for its own calls.
constexpr size_t kOwnDescriptors = 32;

std::string Text(size_t size) { return std::string(size, 'x'); }

// `element` in an array, again and again, up to `size` bytes.
std::string SmallValues(const std::string& begin, const std::string& element,
                        const std::string& end, size_t size) {
  std::string out = begin + element;
  while (out.size() + element.size() + 1 + end.size() <= size) out += "," + element;
  return out + end;
}

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
};

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

}  // namespace
}  // namespace catkinford
