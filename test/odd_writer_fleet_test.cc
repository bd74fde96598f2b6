// A site of real processes beside a writer of odd bytes, under each key that others write and to
// each listener.
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "request/text_compression.h"
#include "site_fixture.h"

namespace catkinford {
namespace {

using nlohmann::json;

class odd_writer_fixture : public site_fixture {
 protected:
  static std::string Deep(char opening) { return std::string(200'000, opening); }

  std::string PeerAddressOf(size_t at) {
    const auto entry = store_.Value("site/entry/" + entries_[at]->name);
    return entry ? json::parse(*entry).at("address").get<std::string>() : std::string();
  }

  int PostToPeer(size_t at, const std::string& path, const std::string& body) {
    http_call call;
    call.method = "POST";
    call.url = absl::StrCat("http://", PeerAddressOf(at), path);
    call.body = body;
    call.timeout = std::chrono::milliseconds(3000);
    return http_.SendAndWait(call).code;
  }

  // Damaged entries of each kind, beside those of the site.
  void WriteOddEntries() {
    const std::vector<std::string> odd = {
        Deep('['),
        Deep('\x91'),
        "1e400",
        "{",
        std::string("\0\xff", 2),
        R"({"service":"svc","address":"10.0.0.1:99999","zone":"z","state":"ready","labels":[],
            "capacity":{"cpu":1e308,"mem-mb":1,"gpu":0},"born":18446744073709551616})",
        R"({"service":"svc","address":"","zone":"z","state":"ready","labels":[],
            "capacity":{"cpu":4000,"mem-mb":4000,"gpu":0},"born":1})"};
    for (size_t i = 0; i < odd.size(); ++i) {
      store_.Put(absl::StrCat("servers/odd-", i), odd[i]);
      store_.Put(absl::StrCat("op/evacuate/odd-", i), odd[i]);
      store_.Put(absl::StrCat("site/entry/odd-", i), odd[i]);
      store_.Put(absl::StrCat("inbox/job/odd-", i), odd[i]);
      store_.Put(absl::StrCat("progress/odd-", i), odd[i]);
      store_.Put("op/config", odd[i]);
    }
  }

  void CheckServes(uint32_t job) {
    const std::string path = "/open/" + JobId(job);
    CHECK(Eventually([&] { return Call(job % 2, "POST", path, TwoSteps()).code == 200; }));
    CHECK(Eventually([&] { return StateOf(0, path) == "completed"; }));
    for (const auto& entry : entries_) CHECK(entry->process.Alive());
  }
};

// Guards against a process that one message ends: its nesting used up the stack.
TEST_CASE_METHOD(odd_writer_fixture, "site, deeply nested bodies to each listener, goes on") {
  for (size_t at = 0; at < 2; ++at) {
    for (const char* path : {"/peer/calls", "/peer/advise", "/peer/start", "/peer/started",
                             "/peer/job?id=0123456789abcdef", "/peer/handover"}) {
      for (const std::string& body :
           {Deep('\x91'), Deep('['), CompressText(Deep('\x91')), CompressText(Deep('['))}) {
        INFO(path);
        CHECK(PostToPeer(at, path, body) != 0);
      }
    }
    CHECK(Call(at, "POST", "/open/" + JobId(1), std::string(20'000, '[')).code == 400);
  }
  CheckServes(2);
}

// Guards against processes that end, or follow a list no longer, because of one odd entry in it: as
// it is written, after the store's history was dropped, and at the start.
TEST_CASE_METHOD(odd_writer_fixture, "site, odd entries in each list, follows the others") {
  WriteOddEntries();
  CheckServes(1);
  store_.DropHistory();
  CheckServes(2);
  // The lists are followed on: a configuration, and an owner that takes over.
  PutVersion(2, {"key-2"});
  for (size_t at = 0; at < 2; ++at) {
    CHECK(Eventually([&] { return Call(at, "GET", "/keyed/", "", "key-2").code == 200; }));
  }
  REQUIRE(Eventually([this] { return Owner() >= 0; }));
  const auto owner = static_cast<size_t>(Owner());
  CHECK(Eventually([&] { return Metric(owner, "catkinford_site_unusable_registrations") == 7; }));
  entries_[owner]->process.Kill();
  CHECK(Eventually([&] { return Owner() == static_cast<int>(1 - owner); }));
  Start(*entries_[owner]);
  CHECK(Eventually([&] { return Ready(owner); }));
  CheckServes(3);
}

}  // namespace
}  // namespace catkinford
