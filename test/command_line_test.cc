#include "process/command_line.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "connection/http_server.h"
#include "nlohmann/json.hpp"
#include "process/flag_check.h"
#include "process/timeline_merge.h"
#include "request/identity.h"
#include "version/contract.h"
#include "version/key_ring.h"

ABSL_FLAG(absl::Duration, test_time, absl::Seconds(1), "for the tests of flags");
ABSL_FLAG(bool, test_yes, false, "for the tests of flags");

namespace catkinford {
namespace {

using nlohmann::json;

constexpr const char* kContracts = R"({"workspaces": [{"name": "showrooms", "teams": [
  {"name": "booking", "share": 60, "kinds": ["interactive"],
   "limit": {"cpu_milli": 64000, "memory_mb": 131072, "running": 400}}]}]})";

// Fake entry that answers configuration and job calls, with configurable faults.
class fake_entry {
 public:
  fake_entry() {
    server_ = std::make_unique<http_server>(
        http_server_options{}, [this](http_server::token token, const http_request& request) {
          const std::lock_guard lock(mutex_);
          const http_response response = Answer(request);
          if (!silent) server_->Respond(token, response);
        });
    server_->Start();
  }

  std::string Url() const { return absl::StrCat("http://127.0.0.1:", server_->Port()); }
  void Stop() { server_->Stop(); }

  uint64_t version = 0;
  std::string text;
  bool silent = false;               // executes calls but sends no answer
  std::string concurrent_change;     // document of another operator, written before the next change
  std::vector<std::string> pending;  // domains that have not confirmed
  std::vector<std::string> submitted_keys;
  http_response put_answer{0, ""};  // fixed answer to a change, which is then not made
  size_t calls = 0;
  http_response job_answer{200, R"({"id":"1","outcome":"completed","answer":"whole"})"};

 private:
  http_response Answer(const http_request& request) {
    ++calls;
    if (request.bearer != "ck_operator") return {401, R"({"error":"unknown_key"})"};
    if (request.path == "/v1/config" && request.method == "PUT") return Change(request);
    if (request.path == "/v1/config") return {200, CurrentAnswer().dump()};
    if (request.path == "/v1/jobs") {
      submitted_keys.push_back(json::parse(request.body)["idempotency_key"]);
      return job_answer;
    }
    if (request.path == "/v1/timeline") return {200, Timeline(request.Query("since"))};
    return {404, R"({"error":"not_found"})"};
  }

  json CurrentAnswer() const { return {{"version", version}, {"text", text}}; }

  http_response Change(const http_request& request) {
    if (put_answer.status != 0) return put_answer;
    if (!concurrent_change.empty()) {
      text = concurrent_change;
      version += 1;
      concurrent_change.clear();
    }
    const json body = json::parse(request.body);
    if (body["expect"] != version) {
      json conflict = CurrentAnswer();
      conflict["error"] = "conflict";
      return {409, conflict.dump()};
    }
    if (!body.contains("dry_run")) {
      version += 10;
      text = body["text"];
    }
    return {200, json{{"version", version}, {"in_force", {"a"}}, {"pending", pending}}.dump()};
  }

  static std::string Timeline(const std::string& since) {
    if (since != "0") return R"({"process":"e1","failure_domain":"a","next":3,"events":[]})";
    return R"({"process":"e1","failure_domain":"a","mono_us":100,"wall_us":1000100,"next":3,
      "events":[{"seq":1,"mono_us":50,"code":200,"name":"request_received","id":"ab"},
                {"seq":2,"mono_us":90,"code":208,"name":"request_answered","id":"ab"}]})";
  }

  std::mutex mutex_;
  std::unique_ptr<http_server> server_;
};

class command_line_fixture {
 public:
  command_line_fixture() {
    http_.Start();
    client_.entries = {entry_.Url()};
    client_.key = "ck_operator";
    client_.timeout = std::chrono::milliseconds{2000};
  }
  ~command_line_fixture() { std::remove(file_.c_str()); }

 protected:
  int Run(const std::vector<std::string>& words) {
    out_.str("");
    err_.str("");
    entry_client calls(http_, client_);
    return command_line(options_, calls, out_, err_).Run(words);
  }

  static int Code(exit_code code) { return static_cast<int>(code); }

  std::string FileWith(const std::string& text) const {
    std::ofstream(file_) << text;
    return file_;
  }

  configuration CurrentConfig() const {
    return std::get<configuration>(ParseConfiguration(entry_.text));
  }

  std::string file_ =
      absl::StrCat(CATKINFORD_BIN_DIR, "/contracts_", ToHex(NewRequestId()), ".json");
  http_client http_{0};
  fake_entry entry_;
  entry_client_options client_;
  command_options options_;
  std::ostringstream out_;
  std::ostringstream err_;
};

}  // namespace

TEST_CASE_METHOD(command_line_fixture,
                 "command line, contract applied, reports where it is in effect", "[cli]") {
  CHECK(Run({"contract", "apply", FileWith(kContracts)}) == Code(exit_code::kDone));
  CHECK(entry_.version == 10);
  CHECK(CurrentConfig().workspaces[0].teams[0].name == "booking");
  CHECK(out_.str() == "version 10\nin force: a\n");
}

TEST_CASE_METHOD(command_line_fixture, "command line, domain not confirmed, returns its exit code",
                 "[cli]") {
  entry_.pending = {"b"};
  CHECK(Run({"contract", "apply", FileWith(kContracts)}) == Code(exit_code::kNotYetInForce));
  CHECK(out_.str().find("not yet confirmed: b") != std::string::npos);
}

TEST_CASE_METHOD(command_line_fixture, "command line, dry run, changes nothing", "[cli]") {
  options_.dry_run = true;
  CHECK(Run({"contract", "apply", FileWith(kContracts)}) == Code(exit_code::kDone));
  CHECK(entry_.version == 0);
  CHECK_THAT(out_.str(), Catch::Contains("+   \"name\": \"showrooms\","));
}

TEST_CASE_METHOD(command_line_fixture, "command line, invalid contract, names the field", "[cli]") {
  CHECK(Run({"contract", "check", FileWith(R"({"workspaces":[{"name":"w"}]})")}) ==
        Code(exit_code::kContract));
  CHECK(err_.str().find("missing_field at workspaces[0].teams") != std::string::npos);
}

// Two operators change the contracts concurrently. The second must see the change of the first and
// its own intended change, and must not overwrite the first.
TEST_CASE_METHOD(command_line_fixture, "command line, operators race, shows both versions",
                 "[cli]") {
  Run({"contract", "apply", FileWith(kContracts)});
  configuration theirs = CurrentConfig();
  theirs.workspaces[0].teams[0].share = 50;
  entry_.concurrent_change = ToText(theirs);
  std::string mine = kContracts;
  mine.replace(mine.find("400}"), 3, "300");
  CHECK(Run({"contract", "apply", FileWith(mine)}) == Code(exit_code::kConflict));
  CHECK(CurrentConfig().workspaces[0].teams[0].share == 50);
  CHECK(CurrentConfig().workspaces[0].teams[0].running_limit == 400);
  CHECK_THAT(out_.str(), Catch::Contains("+     \"share\": 50"));
  CHECK_THAT(out_.str(), Catch::Contains("+      \"running\": 300"));
}

// A key is granted while another operator changes a contract: both changes must be kept.
TEST_CASE_METHOD(command_line_fixture, "command line, key granted concurrently, keeps both changes",
                 "[cli]") {
  Run({"contract", "apply", FileWith(kContracts)});
  configuration theirs = CurrentConfig();
  theirs.workspaces[0].teams[0].share = 50;
  entry_.concurrent_change = ToText(theirs);
  CHECK(Run({"key", "grant", "booking", "desk"}) == Code(exit_code::kDone));
  CHECK(CurrentConfig().workspaces[0].teams[0].share == 50);
  const size_t position = out_.str().find("ck_");
  REQUIRE(position != std::string::npos);
  const std::string secret = out_.str().substr(position, 46);
  CHECK(key_ring(CurrentConfig()).Find(secret).has_value());
  CHECK(entry_.text.find(secret) == std::string::npos);
  CHECK(Run({"key", "withdraw", "booking", "desk"}) == Code(exit_code::kDone));
  CHECK_FALSE(key_ring(CurrentConfig()).Find(secret).has_value());
  // A file saved before the withdrawal must not re-enable the key.
  std::string stale = entry_.text;
  stale.replace(stale.find("\"withdrawn\": true"), 17, "\"withdrawn\": false");
  CHECK(Run({"contract", "apply", FileWith(stale)}) == Code(exit_code::kDone));
  CHECK_FALSE(key_ring(CurrentConfig()).Find(secret).has_value());
  CHECK(Run({"key", "grant", "booking", "desk"}) == Code(exit_code::kUsage));
  CHECK(Run({"key", "withdraw", "nobody", "desk"}) == Code(exit_code::kNotFound));
}

// An entry accepts a job and does not answer. The command line calls the next entry with the same
// idempotency key, so that the job cannot run twice; without any answer it must not report that
// nothing ran.
TEST_CASE_METHOD(command_line_fixture,
                 "command line, entry does not answer, calls the next with one key", "[cli]") {
  fake_entry second;
  client_.entries.push_back(second.Url());
  client_.timeout = std::chrono::milliseconds{150};
  entry_.silent = true;
  CHECK(Run({"submit", "interactive"}) == Code(exit_code::kDone));
  CHECK(out_.str() == "1 completed whole\n");
  REQUIRE(entry_.submitted_keys.size() == 1);
  CHECK(entry_.submitted_keys == second.submitted_keys);
  second.silent = true;
  CHECK(Run({"submit", "interactive"}) == Code(exit_code::kUnknown));
  second.Stop();
  entry_.Stop();
  CHECK(Run({"submit", "interactive"}) == Code(exit_code::kUnreachable));
}

// The first entry makes the change and its answer is lost. The second finds it made: the operator
// must get a success, not a conflict.
TEST_CASE_METHOD(command_line_fixture, "command line, answer to a change lost, reports it as made",
                 "[cli]") {
  client_.timeout = std::chrono::milliseconds{150};
  fake_entry second;
  configuration made = std::get<configuration>(ParseConfiguration(kContracts));
  second.concurrent_change = ToText(made);
  client_.entries = {second.Url()};
  CHECK(Run({"contract", "apply", FileWith(kContracts)}) == Code(exit_code::kDone));
  CHECK(second.version == 1);
}

TEST_CASE_METHOD(command_line_fixture, "command line, each outcome, has an exit code", "[cli]") {
  entry_.job_answer = {503,
                       R"({"id":"1","outcome":"refused","reason":"shed","retry_after_ms":70})"};
  CHECK(Run({"submit", "batch"}) == Code(exit_code::kRefused));
  CHECK(out_.str() == "1 refused shed retry_after=70ms\n");
  entry_.job_answer = {502, R"({"id":"1","outcome":"failed"})"};
  CHECK(Run({"submit", "batch"}) == Code(exit_code::kFailed));
  entry_.job_answer = {504, R"({"id":"1","outcome":"unknown"})"};
  CHECK(Run({"submit", "batch"}) == Code(exit_code::kUnknown));
  client_.key = "ck_other";
  CHECK(Run({"submit", "batch"}) == Code(exit_code::kUnauthorized));
  CHECK(Run({"submit"}) == Code(exit_code::kUsage));
  CHECK(Run({"nonsense"}) == Code(exit_code::kUsage));
}

TEST_CASE_METHOD(command_line_fixture, "command line, timeline, is merged by wall time", "[cli]") {
  CHECK(Run({"timeline"}) == Code(exit_code::kDone));
  CHECK(out_.str() ==
        "1970-01-01 00:00:01.000050 e1 (a) 200 request_received id=ab\n"
        "1970-01-01 00:00:01.000090 e1 (a) 208 request_answered id=ab\n");
}

TEST_CASE("timeline, several processes, becomes one Chrome trace", "[cli]") {
  merged_timeline merged;
  // The monotonic clock of the second process has another origin; only wall time relates the two.
  CHECK(AddProcess(R"({"process":"e1","failure_domain":"a","mono_us":100,"wall_us":1100,"events":[
    {"seq":1,"mono_us":50,"code":200,"name":"request_received","id":"ab"},
    {"seq":2,"mono_us":95,"code":208,"name":"request_answered","id":"ab"}]})",
                   merged));
  CHECK(AddProcess(R"({"process":"e2","failure_domain":"b","mono_us":7000,"wall_us":1100,"events":[
    {"seq":1,"mono_us":6970,"code":202,"name":"request_queued","id":"ab","subject":"b/0"},
    {"seq":2,"mono_us":6975,"code":300,"name":"shard_claimed","id":"00","subject":"b/0"}]})",
                   merged));
  CHECK_FALSE(AddProcess("[]", merged));
  SortByTime(merged);
  const std::vector<std::string> names = {"request_received", "request_queued", "shard_claimed",
                                          "request_answered"};
  REQUIRE(merged.events.size() == names.size());
  for (size_t i = 0; i < names.size(); ++i) CHECK(merged.events[i].name == names[i]);
  const json trace = json::parse(ToChromeTrace(merged));
  REQUIRE(trace["traceEvents"].size() == 6);
  CHECK(trace["traceEvents"][2]["ph"] == "b");
  CHECK(trace["traceEvents"][4]["ph"] == "i");
  CHECK(trace["traceEvents"][5]["ph"] == "e");
  KeepOnly("ab", merged);
  CHECK(merged.events.size() == 3);
}

TEST_CASE("command line, each command, has help with an example", "[cli]") {
  const std::vector<std::vector<std::string>> commands = {{"submit"},
                                                          {"status"},
                                                          {"cancel"},
                                                          {"wait"},
                                                          {"contract", "check"},
                                                          {"contract", "apply"},
                                                          {"contract", "get"},
                                                          {"contract", "diff"},
                                                          {"contract", "history"},
                                                          {"key", "grant"},
                                                          {"key", "withdraw"},
                                                          {"key", "list"},
                                                          {"endpoint", "drain"},
                                                          {"endpoint", "undrain"},
                                                          {"contract", "restore"},
                                                          {"contract", "remove"},
                                                          {"key", "make"},
                                                          {"domain", "evacuate"},
                                                          {"members"},
                                                          {"timeline"},
                                                          {"check-config"}};
  for (const auto& words : commands) {
    INFO(words[0]);
    CHECK(HelpOn(words).find("Examples:\ncatkinford " + words[0]) != std::string::npos);
  }
}

// An operator withdraws the only operator key. If allowed, the configuration could only be changed
// by hand in the platform's store.
TEST_CASE_METHOD(command_line_fixture, "command line, last operator's key, is not withdrawn",
                 "[cli]") {
  configuration config;
  config.operator_keys = {MakeKey("night", true).record, MakeKey("day", true).record};
  entry_.text = ToText(config);
  options_.is_operator = true;
  CHECK(Run({"key", "withdraw", "night"}) == Code(exit_code::kDone));
  CHECK(Run({"key", "withdraw", "day"}) == Code(exit_code::kRefused));
  CHECK_THAT(err_.str(), Catch::Contains("last_operator_key"));
  CHECK(Run({"key", "withdraw", "night"}) == Code(exit_code::kDone));  // idempotent
}

// --entry is missing. The message "no entry is reachable" would wrongly suggest a network fault.
TEST_CASE_METHOD(command_line_fixture, "command line, no entry given, reports how to set one",
                 "[cli]") {
  client_.entries.clear();
  for (const std::vector<std::string>& words :
       {std::vector<std::string>{"members"}, {"contract", "history"}, {"submit", "batch"}}) {
    CHECK(Run(words) == Code(exit_code::kUsage));
    CHECK_THAT(err_.str(), Catch::Contains("CATKINFORD_ENTRY"));
  }
}

TEST_CASE("entry address, with slashes or without scheme, is normalized or rejected", "[cli]") {
  CHECK(BaseUrl("http://10.0.0.1:8080") == std::string("http://10.0.0.1:8080"));
  CHECK(BaseUrl("https://10.0.0.1:8080//") == std::string("https://10.0.0.1:8080"));
  CHECK_FALSE(BaseUrl("10.0.0.1:8080").has_value());
  CHECK_FALSE(BaseUrl("http://").has_value());
}

// The store did not answer the entry, so the change may have been made. Reported as rejected, a
// script would make it twice.
TEST_CASE_METHOD(command_line_fixture,
                 "command line, store did not answer, reports the change as unknown", "[cli]") {
  entry_.put_answer = {504, R"({"error":"unknown","detail":"read it back"})"};
  CHECK(Run({"contract", "apply", FileWith(kContracts)}) == Code(exit_code::kUnknown));
  entry_.text = kContracts;
  CHECK(Run({"contract", "apply", FileWith(kContracts)}) == Code(exit_code::kDone));
}

TEST_CASE_METHOD(command_line_fixture, "command line, invalid input, is rejected before any call",
                 "[cli]") {
  for (const std::vector<std::string>& words : {std::vector<std::string>{"status", "zz"},
                                                {"cancel", "zz"},
                                                {"wait", "zz"},
                                                {"key", "make", "A B"},
                                                {"key", "grant", "booking", "A B"},
                                                {"contract", "get", "yesterday"},
                                                {"contract", "diff", "40", "x"},
                                                {"contract", "restore", "x"},
                                                {"submit", "bacth"}}) {
    INFO(words[0] << " " << words[1]);
    CHECK(Run(words) == Code(exit_code::kUsage));
    CHECK(!err_.str().empty());
  }
  CHECK(entry_.calls == 0);
  entry_.job_answer = {422, R"({"error":"bad_field","path":"tasks"})"};
  CHECK(Run({"submit", "batch"}) == Code(exit_code::kUsage));  // not kContract
}

TEST_CASE_METHOD(command_line_fixture, "command line, diff as json, can be parsed", "[cli]") {
  options_.json = true;
  CHECK(Run({"contract", "diff", FileWith(kContracts)}) == Code(exit_code::kDone));
  const json lines = json::parse(out_.str())["lines"];
  REQUIRE(!lines.empty());
  CHECK(lines[0].contains("mark"));
}

TEST_CASE_METHOD(command_line_fixture,
                 "command line, contract that allows nothing, gives a warning", "[cli]") {
  std::string text = kContracts;
  text.replace(text.find("\"running\": 400"), 14, "\"running\": 0");
  text.replace(text.find("[\"interactive\"]"), 15, "[]");
  CHECK(Run({"contract", "check", FileWith(text)}) == Code(exit_code::kDone));
  CHECK_THAT(err_.str(), Catch::Contains("warning: "));
  CHECK_THAT(err_.str(), !Catch::Contains("key"));
  CHECK(Run({"contract", "check", FileWith(kContracts)}) == Code(exit_code::kDone));
  CHECK(err_.str().empty());
}

TEST_CASE("help, on a group of commands, lists only these", "[cli]") {
  const std::string text = HelpOn({"contract"});
  CHECK(text.find("catkinford contract restore VERSION") != std::string::npos);
  CHECK(text.find("catkinford members") == std::string::npos);
  CHECK(HelpOn({"nonsense"}).find("catkinford members") != std::string::npos);
}

// The flag library would end the program with 1, the exit code of a job that ran and failed.
TEST_CASE("flags, unknown, without value or invalid, are reported", "[cli]") {
  CHECK_FALSE(CheckFlags({"members", "--test_time", "3s", "--test_yes", "--notest_yes"}));
  CHECK_FALSE(CheckFlags({"submit", "--", "--nosuch"}));
  CHECK(CheckFlags({"--nosuch"})->fault == flag_fault::kUnknown);
  CHECK(CheckFlags({"--notest_time"})->fault == flag_fault::kUnknown);
  CHECK(CheckFlags({"members", "--test_time"})->fault == flag_fault::kNoValue);
  CHECK(CheckFlags({"--test_time=soon"})->fault == flag_fault::kBadValue);
  CHECK_THAT(ToText(*CheckFlags({"--test_time=soon"})), Catch::Contains("--test_time"));
}

}  // namespace catkinford
