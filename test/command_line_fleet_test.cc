#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench/fleet.h"
#include "nlohmann/json.hpp"
#include "process/command_line.h"
#include "request/identity.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kGenerousLimit{30};

fleet_options SmallFleet() {
  fleet_options options;
  options.entries_per_domain = 1;
  options.endpoints_per_domain = 2;
  options.teams = 2;
  options.timing = {{"forget_drain", "1s"}};
  return options;
}

// A fleet of real processes, with the command line calling all its entries.
class command_line_fleet_fixture {
 public:
  command_line_fleet_fixture() {
    http_.Start();
    started_ = fleet_.Start(std::chrono::duration_cast<milliseconds>(kGenerousLimit));
    for (size_t i = 0; i < fleet_.Entries(); ++i) client_.entries.push_back(fleet_.UrlOf(i));
    client_.key = fleet_.Contract().operator_secret;
    client_.timeout = milliseconds{10000};
    options_.job.each = {500, 256, 0, 0};
    options_.job.payload = R"({"run_ms":20,"echo":"whole"})";
  }

 protected:
  int Run(const std::vector<std::string>& words) {
    out_.str("");
    err_.str("");
    entry_client calls(http_, client_);
    const int code = command_line(options_, calls, out_, err_).Run(words);
    INFO(out_.str() << err_.str());
    return code;
  }

  int RunWith(const std::string& key, const std::vector<std::string>& words) {
    const std::string before = client_.key;
    client_.key = key;
    const int code = Run(words);
    client_.key = before;
    return code;
  }

  // Runs the command at each entry separately until all return this code.
  bool EventuallyEverywhere(const std::string& key, const std::vector<std::string>& words,
                            exit_code wanted) {
    const std::vector<std::string> all = client_.entries;
    const auto deadline = steady_clock::now() + kGenerousLimit;
    size_t agreeing = 0;
    while (agreeing < all.size() && steady_clock::now() < deadline) {
      client_.entries = {all[agreeing]};
      if (RunWith(key, words) == Code(wanted)) {
        ++agreeing;
      } else {
        std::this_thread::sleep_for(milliseconds{50});
      }
    }
    client_.entries = all;
    return agreeing == all.size();
  }

  bool ReplaceAllEntries() {
    const auto limit = std::chrono::duration_cast<milliseconds>(kGenerousLimit);
    for (size_t i = 0; i < fleet_.Entries(); ++i) {
      // Another program on this machine may take the port between its choice and its use; the entry
      // then exits at once and is replaced again.
      bool ready = false;
      for (int attempts = 0; attempts < 3 && !ready; ++attempts) {
        ready = fleet_.ReplaceEntry(i) && fleet_.WaitReady(i, limit);
        if (fleet_.Entry(i).process.Alive()) break;
      }
      if (!ready) return false;
      client_.entries[i] = fleet_.UrlOf(i);
    }
    return true;
  }

  // Starts at the endpoint, from its own record.
  size_t StartsAt(const std::string& endpoint) {
    const std::vector<run_event> events = fleet_.Events();
    return static_cast<size_t>(
        std::count_if(events.begin(), events.end(), [&endpoint](const run_event& each) {
          return each.endpoint == endpoint && each.event == "start";
        }));
  }

  void SubmitMany(int count) {
    for (int i = 0; i < count; ++i) {
      REQUIRE(RunWith(fleet_.Contract().teams[0].secret, {"submit", "interactive"}) ==
              Code(exit_code::kDone));
    }
  }

  static int Code(exit_code code) { return static_cast<int>(code); }

  fleet fleet_{SmallFleet()};
  bool started_ = false;
  http_client http_{0};
  entry_client_options client_;
  command_options options_;
  std::ostringstream out_;
  std::ostringstream err_;
};

}  // namespace

TEST_CASE_METHOD(command_line_fleet_fixture, "command line, real fleet, submits and finds the job",
                 "[cli][fleet]") {
  REQUIRE(started_);
  const std::string key = fleet_.Contract().teams[0].secret;
  REQUIRE(RunWith(key, {"submit", "interactive"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains(" completed "));
  CHECK_THAT(out_.str(), Catch::Contains("whole"));
  const std::string id = out_.str().substr(0, 32);
  REQUIRE(RunWith(key, {"submit", "batch"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains(" accepted"));
  const std::string batch = out_.str().substr(0, 32);
  CHECK(RunWith(key, {"wait", batch}) == Code(exit_code::kDone));
  options_.id = id;
  REQUIRE(Run({"timeline"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("request_received id=" + id));
  CHECK_THAT(out_.str(), Catch::Contains("request_answered id=" + id));
  REQUIRE(Run({"members"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("shard "));
  CHECK(RunWith(key, {"members"}) == Code(exit_code::kUnauthorized));
}

// A withdrawn key must stop working at every entry, and no other key may.
TEST_CASE_METHOD(command_line_fleet_fixture, "command line, key withdrawn, stops at every entry",
                 "[cli][fleet]") {
  REQUIRE(started_);
  const std::string team = fleet_.Contract().teams[0].team;
  REQUIRE(Run({"key", "grant", team, "leaver"}) == Code(exit_code::kDone));
  const size_t position = out_.str().find("ck_");
  REQUIRE(position != std::string::npos);
  const std::string secret = out_.str().substr(position, 46);
  const std::vector<std::string> submit_command = {"submit", "interactive"};
  REQUIRE(EventuallyEverywhere(secret, submit_command, exit_code::kDone));
  REQUIRE(Run({"key", "withdraw", team, "leaver"}) == Code(exit_code::kDone));
  CHECK(EventuallyEverywhere(secret, submit_command, exit_code::kUnauthorized));
  CHECK(EventuallyEverywhere(fleet_.Contract().teams[0].secret, submit_command, exit_code::kDone));
  REQUIRE(Run({"contract", "history"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(),
             Catch::Contains(" UTC by " + fleet_.Contract().config.operator_keys[0].name));
}

// A change turns out to be wrong after every entry has been replaced. The operator must find it in
// the history, see its diff and restore the earlier version; a key withdrawn in between must stay
// withdrawn.
TEST_CASE_METHOD(command_line_fleet_fixture,
                 "command line, all entries replaced, finds and restores an earlier version",
                 "[cli][fleet]") {
  REQUIRE(started_);
  const std::string team = fleet_.Contract().teams[0].team;
  const std::string secret = fleet_.Contract().teams[0].secret;
  const std::string key = fleet_.Contract().config.workspaces[0].teams[0].keys[0].name;
  const std::string workspace = fleet_.Contract().config.workspaces[0].name;
  options_.json = true;
  REQUIRE(Run({"contract", "get"}) == Code(exit_code::kDone));
  const std::string base_version = nlohmann::json::parse(out_.str())["version"].dump();
  options_.json = false;
  REQUIRE(Run({"key", "withdraw", team, key}) == Code(exit_code::kDone));
  REQUIRE(Run({"contract", "remove", workspace}) == Code(exit_code::kDone));
  REQUIRE(ReplaceAllEntries());
  REQUIRE(Run({"contract", "history"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("key " + key + " of " + team + " withdrawn"));
  CHECK_THAT(out_.str(), Catch::Contains("workspace " + workspace + " removed"));
  REQUIRE(Run({"contract", "diff", base_version}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("\"name\": \"" + workspace + "\""));
  REQUIRE(Run({"contract", "restore", base_version}) == Code(exit_code::kDone));
  REQUIRE(Run({"contract", "get"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("\"name\": \"" + workspace + "\""));
  CHECK(RunWith(secret, {"submit", "interactive"}) == Code(exit_code::kUnauthorized));
  CHECK(Run({"contract", "get", "999999"}) == Code(exit_code::kNotFound));
  CHECK(Run({"contract", "restore", "yesterday"}) == Code(exit_code::kUsage));
}

// All entries are replaced while an endpoint is drained for repair. If the drain were lost, new
// work would start on an endpoint under repair.
TEST_CASE_METHOD(command_line_fleet_fixture,
                 "command line, endpoint drained and all entries replaced, gets no new work",
                 "[cli][fleet]") {
  REQUIRE(started_);
  const std::string endpoint = fleet_.EndpointsOf(0)[0];
  REQUIRE(Run({"endpoint", "drain", endpoint}) == Code(exit_code::kDone));
  REQUIRE(ReplaceAllEntries());
  const size_t before = StartsAt(endpoint);
  SubmitMany(90);
  CHECK(StartsAt(endpoint) == before);
  REQUIRE(Run({"members"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("drained " + endpoint + "\n"));
  CHECK(Run({"endpoint", "drain", endpoint}) == Code(exit_code::kDone));  // idempotent
  REQUIRE(Run({"endpoint", "undrain", endpoint}) == Code(exit_code::kDone));
  CHECK(Run({"endpoint", "undrain", endpoint}) == Code(exit_code::kDone));
  SubmitMany(90);
  CHECK(StartsAt(endpoint) > before);
  CHECK(Run({"endpoint", "undrain", "nowhere"}) == Code(exit_code::kNotFound));
  REQUIRE(Run({"contract", "history"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains(": endpoint " + endpoint + " drained"));
}

// Operators drain different endpoints through several entries at the same moment. None names an
// expected version, so none may get a conflict or lose the drain of another.
TEST_CASE_METHOD(command_line_fleet_fixture,
                 "command line, endpoints drained concurrently, are all drained", "[cli][fleet]") {
  REQUIRE(started_);
  std::vector<std::string> names;
  for (size_t domain = 0; domain < 3; ++domain) {
    for (const std::string& name : fleet_.EndpointsOf(domain)) names.push_back(name);
  }
  std::vector<int> codes(names.size(), -1);
  std::vector<std::thread> operators;
  operators.reserve(names.size());
  for (size_t i = 0; i < names.size(); ++i) {
    operators.emplace_back([this, i, &names, &codes] {
      entry_client_options client = client_;
      client.entries = {fleet_.UrlOf(i % fleet_.Entries())};
      entry_client calls(http_, client);
      std::ostringstream out;
      std::ostringstream err;
      codes[i] = command_line(options_, calls, out, err).Run({"endpoint", "drain", names[i]});
    });
  }
  for (std::thread& each : operators) each.join();
  CHECK(codes == std::vector<int>(names.size(), Code(exit_code::kDone)));
  options_.json = true;
  REQUIRE(Run({"members"}) == Code(exit_code::kDone));
  std::sort(names.begin(), names.end());
  CHECK(nlohmann::json::parse(out_.str())["drained"] == nlohmann::json(names));
}

// A drained endpoint is removed for good. A new one with the same name, weeks later, must get work
// although nobody removed the drain.
TEST_CASE_METHOD(command_line_fleet_fixture,
                 "command line, drained endpoint removed from the list, loses its drain",
                 "[cli][fleet]") {
  REQUIRE(started_);
  const std::string endpoint = fleet_.EndpointsOf(0)[0];
  REQUIRE(Run({"endpoint", "drain", endpoint}) == Code(exit_code::kDone));
  for (size_t i = 0; i < fleet_.Entries(); ++i) {
    http_call call;
    call.method = "POST";
    call.url = absl::StrCat("http://127.0.0.1:", fleet_.Entry(i).instances->Port(), "/control");
    call.body = R"({"remove":")" + endpoint + R"("})";
    REQUIRE(http_.SendAndWait(call).code == 200);
  }
  const auto deadline = steady_clock::now() + kGenerousLimit;
  bool removed = false;
  while (!removed && steady_clock::now() < deadline) {
    REQUIRE(Run({"members"}) == Code(exit_code::kDone));
    removed = out_.str().find("drained ") == std::string::npos;
    if (!removed) std::this_thread::sleep_for(milliseconds{50});
  }
  CHECK(removed);
  REQUIRE(Run({"contract", "history"}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("by entry:"));
}

TEST_CASE_METHOD(command_line_fleet_fixture, "command line, change from an old version, conflicts",
                 "[cli][fleet]") {
  REQUIRE(started_);
  const std::string file =
      absl::StrCat(CATKINFORD_BIN_DIR, "/fleet_", ToHex(NewRequestId()), ".json");
  configuration config = fleet_.Contract().config;
  config.workspaces[0].teams[0].queue_limit = 77;
  std::ofstream(file) << ToText(config);
  options_.dry_run = true;
  CHECK(Run({"contract", "apply", file}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("+     \"queue_limit\": 77"));
  options_.dry_run = false;
  CHECK(Run({"contract", "apply", file}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("in force: "));
  CHECK(Run({"contract", "diff", file}) == Code(exit_code::kDone));
  CHECK(out_.str().empty());
  config.workspaces[0].teams[0].queue_limit = 78;
  std::ofstream(file) << ToText(config);
  options_.expect = 1;  // the initial version of the fleet
  CHECK(Run({"contract", "apply", file}) == Code(exit_code::kConflict));
  options_.dry_run = true;
  CHECK(Run({"contract", "apply", file}) == Code(exit_code::kConflict));
  options_.dry_run = false;
  options_.expect.reset();
  // Lowering a limit gives a warning: it drains and is not in effect at once.
  config.workspaces[0].teams[0].running_limit -= 1;
  std::ofstream(file) << ToText(config);
  CHECK(Run({"contract", "apply", file}) == Code(exit_code::kDone));
  CHECK_THAT(out_.str(), Catch::Contains("is lowered: running"));
  std::remove(file.c_str());
  options_.dry_run = true;
  CHECK(Run({"endpoint", "drain", fleet_.EndpointsOf(0)[0]}) == Code(exit_code::kDone));
  CHECK(Run({"endpoint", "drain", "nowhere"}) == Code(exit_code::kNotFound));
}

}  // namespace catkinford
