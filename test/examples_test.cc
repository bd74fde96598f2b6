// Runs the examples of the documentation as written, because engineers copy them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "bench/fleet.h"
#include "connection/http_client.h"
#include "nlohmann/json.hpp"
#include "process/command_line.h"
#include "request/identity.h"
#include "standin/endpoint_server.h"
#include "standin/instance_server.h"
#include "standin/store_server.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStartLimit{30000};

struct example {
  std::string caller;  // whose key is sent: team, operator, or empty for none
  std::string method;
  std::string path;
  std::string body;
  std::string status;  // "…": any
  std::string answer;  // empty: any
};

std::string ReadPage(const std::string& path) {
  std::ifstream in(std::string(CATKINFORD_SOURCE_DIR) + "/" + path);
  REQUIRE(in.good());
  return {std::istreambuf_iterator<char>(in), {}};
}

// The text of each code block of the page that is fenced as ```KIND.
std::vector<std::string> CodeBlocks(const std::string& page, const std::string& kind) {
  std::vector<std::string> blocks;
  std::istringstream lines(page);
  std::string line;
  bool inside = false;
  while (std::getline(lines, line)) {
    if (!inside && line == "```" + kind) {
      inside = true;
      blocks.emplace_back();
    } else if (inside && line == "```") {
      inside = false;
    } else if (inside) {
      blocks.back() += line + "\n";
    }
  }
  return blocks;
}

std::vector<example> ParseExamples(const std::string& kind) {
  static const std::regex call(R"(^> (?:\[(\w+)\] )?(\w+) (\S+) ?(.*)$)");
  static const std::regex answer(R"(^< (\d+|"…") ?(.*)$)");
  std::vector<example> list;
  const std::vector<std::string> blocks =
      CodeBlocks(ReadPage("docs/PROTOCOL.md"), "examples " + kind);
  REQUIRE(blocks.size() == 1);
  std::istringstream lines(blocks[0]);
  std::string line;
  std::smatch found;
  while (std::getline(lines, line)) {
    INFO(line);
    if (std::regex_match(line, found, call)) {
      list.push_back({found[1], found[2], found[3], found[4], "", ""});
    } else {
      REQUIRE(std::regex_match(line, found, answer));
      REQUIRE(!list.empty());
      list.back().status = found[1];
      list.back().answer = found[2];
    }
  }
  return list;
}

class examples_fixture {
 public:
  examples_fixture() { http_.Start(); }

 protected:
  void RunAll(const std::string& kind, const std::string& url) {
    const std::vector<example> list = ParseExamples(kind);
    CHECK(!list.empty());
    for (const example& each : list) RunExample(each, url);
  }

  void RunExample(const example& each, const std::string& url) {
    http_call call;
    call.method = each.method;
    call.url = url + Substitute(each.path);
    call.body = Substitute(each.body);
    call.bearer = keys_[each.caller];
    call.timeout = milliseconds{20000};
    const http_result result = http_.SendAndWait(call);
    INFO(each.method << " " << call.url << " " << call.body << "\n" << result.body);
    REQUIRE(result.status == transfer_status::kDone);
    if (each.status != "\"…\"") CHECK(std::to_string(result.code) == each.status);
    if (each.answer.empty()) return;
    const json expected = json::parse(each.answer, nullptr, false);
    REQUIRE(!expected.is_discarded());
    CHECK(Matches(expected, json::parse(result.body, nullptr, false)));
  }

  // Replaces all known names by their values.
  std::string Substitute(std::string text) const {
    for (const auto& [name, value] : values_) {
      const std::string replacement = value.is_string() ? value.get<std::string>() : value.dump();
      text = absl::StrReplaceAll(text, {{name, replacement}});
    }
    return text;
  }

  bool MatchesText(const std::string& expected, const json& answer) {
    if (expected == "…") return true;
    if (!expected.empty() && expected[0] == '$') {
      const auto [at, is_new] = values_.emplace(expected, answer);
      return is_new || at->second == answer;
    }
    return answer.is_string() && answer.get<std::string>() == Substitute(expected);
  }

  bool Matches(const json& expected, const json& answer) {
    if (expected.is_string()) return MatchesText(expected.get<std::string>(), answer);
    if (expected.is_object()) {
      if (!answer.is_object()) return false;
      for (const auto& [name, value] : expected.items()) {
        if (!answer.contains(name) || !Matches(value, answer[name])) return false;
      }
      return true;
    }
    if (!expected.is_array()) return expected == answer;
    if (!answer.is_array() || expected.size() != answer.size()) return false;
    for (size_t i = 0; i < expected.size(); ++i) {
      if (!Matches(expected[i], answer[i])) return false;
    }
    return true;
  }

  http_client http_{0};
  std::map<std::string, std::string> keys_;
  std::map<std::string, json> values_;
};

}  // namespace

TEST_CASE_METHOD(examples_fixture,
                 "examples of the endpoint's calls, run, give the documented answers",
                 "[examples]") {
  endpoint_server_options options;
  options.names = {"worker-0"};
  endpoint_server endpoint(options);
  REQUIRE(endpoint.Start());
  RunAll("endpoint", absl::StrCat("http://127.0.0.1:", endpoint.Port()));
}

TEST_CASE_METHOD(examples_fixture,
                 "examples of the store's calls, run, give the documented answers", "[examples]") {
  store_server store(0, {});
  REQUIRE(store.Start());
  RunAll("store", absl::StrCat("http://127.0.0.1:", store.Port()));
}

TEST_CASE_METHOD(examples_fixture,
                 "examples of the instance list's calls, run, give the documented answers",
                 "[examples]") {
  const json shape = {
      {"cpu_milli", 16000}, {"memory_mb", 32768}, {"accelerators", 0}, {"slots", 8}};
  const json list = {{{"name", "worker-0"},
                      {"role", "endpoint"},
                      {"failure_domain", "otaru"},
                      {"rack", "otaru-rack-0"},
                      {"address", "http://127.0.0.1:9002"},
                      {"state", "live"},
                      {"shape", shape}},
                     {{"name", "otaru-0"},
                      {"role", "entry"},
                      {"failure_domain", "otaru"},
                      {"rack", ""},
                      {"address", "http://127.0.0.1:9011"},
                      {"state", "live"}}};
  instance_server instances(0, milliseconds{0}, list);
  REQUIRE(instances.Start());
  RunAll("instances", absl::StrCat("http://127.0.0.1:", instances.Port()));
}

TEST_CASE_METHOD(examples_fixture,
                 "examples of callers' and operators' calls, run, give the documented answers",
                 "[examples][fleet]") {
  fleet_options options;
  options.entries_per_domain = 1;
  options.endpoints_per_domain = 2;
  options.teams = 2;
  fleet running(options);
  REQUIRE(running.Start(kStartLimit));
  keys_["team"] = running.Contract().teams[0].secret;
  keys_["operator"] = running.Contract().operator_secret;
  values_["$ENDPOINT"] = running.EndpointsOf(0)[0];
  RunAll("entry", running.UrlOf(0));
}

// Guards against a call that the page's tables list without an example to run.
TEST_CASE_METHOD(examples_fixture, "examples, compared with the tables, cover every call",
                 "[examples]") {
  std::set<std::string> covered_calls;
  for (const char* kind : {"endpoint", "store", "instances", "entry"}) {
    for (const example& each : ParseExamples(kind)) {
      covered_calls.insert(each.method + " " + each.path.substr(0, each.path.find('?')));
    }
  }
  static const std::regex row(R"(\n\| `(GET|POST|PUT) ([^`?\[]+))");
  const std::string page = ReadPage("docs/PROTOCOL.md");
  size_t rows = 0;
  for (std::sregex_iterator at(page.begin(), page.end(), row), end; at != end; ++at) {
    const std::string call = (*at)[1].str() + " " + (*at)[2].str();
    const std::string pattern = std::regex_replace(call, std::regex("\\b(NAME|ID)\\b"), "[^/]+");
    const bool found = std::any_of(
        covered_calls.begin(), covered_calls.end(),
        [&](const std::string& each) { return std::regex_match(each, std::regex(pattern)); });
    INFO(call);
    CHECK(found);
    ++rows;
  }
  CHECK(rows > 15);
}

TEST_CASE_METHOD(examples_fixture, "examples of contracts, checked by check-config, are valid",
                 "[examples]") {
  const std::vector<std::string> blocks = CodeBlocks(ReadPage("docs/CONTRACTS.md"), "json");
  REQUIRE(!blocks.empty());
  for (const std::string& block : blocks) {
    const std::string file =
        absl::StrCat(CATKINFORD_BIN_DIR, "/example_", ToHex(NewRequestId()), ".json");
    std::ofstream(file) << block;
    entry_client calls(http_, {});
    std::ostringstream out;
    std::ostringstream err;
    const int code = command_line({}, calls, out, err).Run({"check-config", "contracts", file});
    std::remove(file.c_str());
    INFO(block << out.str() << err.str());
    CHECK(code == 0);
  }
}

}  // namespace catkinford
