#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "bench/fleet.h"
#include "nlohmann/json.hpp"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kGenerousLimit{30};

// Two entries in one failure domain with one endpoint, which runs one task of these jobs at a time.
class owner_killed_fixture {
 public:
  owner_killed_fixture() : fleet_(Options()) {
    http_.Start();
    REQUIRE(fleet_.Start(std::chrono::duration_cast<milliseconds>(kGenerousLimit)));
  }
  ~owner_killed_fixture() { http_.Stop(); }

 protected:
  static fleet_options Options() {
    fleet_options options;
    options.domains = {"otaru"};
    options.endpoints_per_domain = 1;
    options.teams = 1;
    return options;
  }

  json SendCall(const std::string& method, const std::string& path, const json& body,
                bool as_operator) {
    const std::string& key =
        as_operator ? fleet_.Contract().operator_secret : fleet_.Contract().teams.front().secret;
    for (size_t slot = 0; slot < fleet_.Entries(); ++slot) {
      if (!fleet_.Entry(slot).process.Alive()) continue;
      http_call call{method, fleet_.UrlOf(slot) + path, body.is_null() ? "" : body.dump(), key};
      call.timeout = milliseconds{12000};
      return json::parse(http_.SendAndWait(call).body, nullptr, false);
    }
    return {};
  }

  // Submits a job of `tasks` that each use the whole endpoint; returns the id of the accepted job.
  std::string Submit(uint32_t tasks, const json& payload, milliseconds deadline) {
    json job = {{"kind", "batch"}, {"tasks", tasks}, {"cpu_milli", 16000}, {"memory_mb", 1024}};
    job["payload"] = payload.dump();
    if (deadline.count() > 0) job["deadline_ms"] = deadline.count();
    const json answer = SendCall("POST", "/v1/jobs", job, false);
    REQUIRE(answer.value("outcome", "") == "accepted");
    return answer.value("id", "");
  }

  json Status(const std::string& id) { return SendCall("GET", "/v1/jobs/" + id, json(), false); }

  template <typename Condition>
  bool WaitFor(Condition condition) {
    const auto until = steady_clock::now() + kGenerousLimit;
    while (!condition()) {
      if (steady_clock::now() >= until) return false;
      std::this_thread::sleep_for(milliseconds{50});
    }
    return true;
  }

  void KillOwner() {
    const json members = SendCall("GET", "/v1/members", json(), true);
    const std::string owner = members.at("shards").at(0).value("owner", "");
    for (size_t slot = 0; slot < fleet_.Entries(); ++slot) {
      if (fleet_.Entry(slot).name == owner) fleet_.Entry(slot).process.Kill();
    }
  }

  fleet fleet_;
  http_client http_{0};
};

uint64_t Count(const json& status, const char* state) {
  return status.contains("tasks") ? status["tasks"].value(state, uint64_t{0}) : 0;
}

}  // namespace

// Guards against a lost result: tasks of a job fail, then the owner of its shard dies. Unless the
// next owner knows which tasks failed and the first one's message, it reports the job as done or
// gives no reason.
TEST_CASE_METHOD(owner_killed_fixture, "owner killed, tasks that failed before, reported as failed",
                 "[fleet]") {
  const json fails = {{"run_ms", 400}, {"result", "fail"}, {"echo", "disk full"}};
  const std::string id = Submit(6, fails, milliseconds{0});
  REQUIRE(WaitFor([&] { return Count(Status(id), "failed") >= 2; }));
  KillOwner();
  json status;
  REQUIRE(WaitFor([&] {
    status = Status(id);
    return status.value("state", "") == "finished";
  }));
  CHECK(Count(status, "failed") == 6);
  CHECK(Count(status, "done") == 0);
  CHECK(status["outcome"].value("outcome", "") == "failed");
  CHECK(status["outcome"].value("detail", "") == "disk full");
}

// Guards against a lost deadline: the owner of a shard dies while a job waits behind a longer one.
// The next owner must not start it after its deadline.
TEST_CASE_METHOD(owner_killed_fixture, "owner killed, deadline of a waiting job, still enforced",
                 "[fleet]") {
  const std::string long_job = Submit(1, {{"run_ms", 600000}}, milliseconds{0});
  REQUIRE(WaitFor([&] { return Count(Status(long_job), "running") == 1; }));
  const std::string id = Submit(1, {{"run_ms", 100}}, milliseconds{4000});
  KillOwner();
  json status;
  REQUIRE(WaitFor([&] {
    status = Status(id);
    return status.value("state", "") == "finished";
  }));
  CHECK(Count(status, "running") == 0);
  CHECK(status["outcome"].value("outcome", "") == "unknown");
  CHECK(status["outcome"].value("detail", "").find("deadline") != std::string::npos);
}

}  // namespace catkinford
