// `catkinford-bench spread`: how long a withdrawn key goes on working at any entry, and what a
// change of the configuration costs on the links between entries, at a given size of the document.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/fleet.h"
#include "connection/http_client.h"
#include "version/contract_edit.h"
#include "version/key_ring.h"

ABSL_FLAG(uint32_t, document_bytes, 172000, "spread: size of the configuration");
ABSL_FLAG(uint32_t, withdrawals, 20, "spread: keys that are withdrawn, one after the other");
ABSL_FLAG(uint32_t, pause_ms, 0, "spread: between one withdrawal and the next");
ABSL_FLAG(uint32_t, store_delay_ms, 0, "spread: delay of each call of the store");

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartLimit{60000};
constexpr milliseconds kStopLimit{20000};
constexpr milliseconds kRest{3000};

double Ms(steady_clock::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

class spread_run {
 public:
  explicit spread_run(fleet& running) : running_(running) { http_.Start(); }

  // Makes the document as large as asked, with the keys that will be withdrawn.
  bool Prepare() {
    configuration config = running_.Contract().config;
    team_contract& team = config.workspaces[0].teams[0];
    for (uint32_t i = 0; i < absl::GetFlag(FLAGS_withdrawals); ++i) {
      leavers_.push_back(MakeKey(absl::StrCat("leaver-", i), false));
      team.keys.push_back(leavers_.back().record);
    }
    team_contract& last = config.workspaces.back().teams.back();
    while (ToText(config).size() < absl::GetFlag(FLAGS_document_bytes)) {
      for (int i = 0; i < 20; ++i) {
        last.keys.push_back(MakeKey(absl::StrCat("key-", last.keys.size()), false).record);
      }
    }
    team_ = team.name;
    // Asked for work, a good key is told that its kind is not allowed, and a withdrawn one that it
    // is not known: neither sends anything to another entry.
    team.kinds.clear();
    team.urgent_kinds.clear();
    return Put(config) && Read();
  }

  json Withdraw() {
    std::vector<double> answered;
    std::vector<double> stopped;
    const double rest = BytesAtRest();
    const double before = BytesSent();
    const auto begun = steady_clock::now();
    for (const new_key& key : leavers_) {
      configuration config = config_;
      WithdrawKey(config, team_, key.record.name);
      if (!TimeOne(key.secret, config, answered, stopped)) return {{"failed", true}};
    }
    const double seconds = Ms(steady_clock::now() - begun) / 1000;
    const double bytes = BytesSent() - before - rest * seconds;
    std::sort(stopped.begin(), stopped.end());
    return {{"document_bytes", ToText(config_).size()},
            {"answered_ms_median", Median(answered)},
            {"stopped_everywhere_ms_median", Median(stopped)},
            {"stopped_everywhere_ms_max", stopped.back()},
            {"first_to_last_entry_ms_median", Median(apart_)},
            {"peer_bytes_per_change", bytes / static_cast<double>(leavers_.size())}};
  }

 private:
  http_result Operate(const std::string& method, const std::string& path, const std::string& body) {
    http_call call{method, running_.UrlOf(0) + path, body, running_.Contract().operator_secret};
    call.timeout = kStopLimit;
    return http_.SendAndWait(call);
  }

  bool Read() {
    const json read = json::parse(Operate("GET", "/v1/config", "").body, nullptr, false);
    if (!read.is_object()) return false;
    version_ = read.value("version", uint64_t{0});
    return version_ != 0;
  }

  bool Put(const configuration& config) {
    if (version_ == 0 && !Read()) return false;
    const json body = {{"expect", version_}, {"text", ToText(config)}};
    const std::string text = body.dump();
    sent_ = steady_clock::now();
    const http_result result = Operate("PUT", "/v1/config", text);
    if (result.code != 200) return false;
    const json answer = json::parse(result.body, nullptr, false);
    version_ = answer.value("version", uint64_t{0});
    config_ = config;
    return true;
  }

  // Every entry is asked with the key over and over until it refuses it.
  bool TimeOne(const std::string& secret, const configuration& config,
               std::vector<double>& answered, std::vector<double>& stopped) {
    std::vector<steady_clock::time_point> refused(running_.Entries());
    std::vector<std::thread> callers;
    const auto limit = steady_clock::now() + kStopLimit;
    for (size_t i = 0; i < refused.size(); ++i) {
      callers.emplace_back([this, i, &refused, &secret, limit] {
        const std::string job = R"({"kind":"batch","cpu_milli":1,"memory_mb":1})";
        while (steady_clock::now() < limit) {
          http_call call{"POST", running_.UrlOf(i) + "/v1/jobs", job, secret};
          const auto sent = steady_clock::now();
          if (http_.SendAndWait(call).code != 401) continue;
          refused[i] = sent;
          return;
        }
      });
    }
    const bool done = Put(config);
    answered.push_back(Ms(steady_clock::now() - sent_));
    for (std::thread& caller : callers) caller.join();
    const auto [first, last] = std::minmax_element(refused.begin(), refused.end());
    stopped.push_back(Ms(*last - sent_));
    apart_.push_back(Ms(*last - *first));
    std::this_thread::sleep_for(milliseconds{absl::GetFlag(FLAGS_pause_ms)});
    const bool all = std::none_of(refused.begin(), refused.end(),
                                  [](const auto& at) { return at == steady_clock::time_point{}; });
    return done && all;
  }

  double BytesSent() {
    double sum = 0;
    for (size_t i = 0; i < running_.Entries(); ++i) {
      const std::string text = http_.SendAndWait({"GET", running_.UrlOf(i) + "/metrics", ""}).body;
      const std::string name = "\ncatkinford_peer_bytes_sent_total ";
      const size_t at = text.find(name);
      if (at != std::string::npos) sum += std::stod(text.substr(at + name.size()));
    }
    return sum;
  }

  // A second, of all entries together.
  double BytesAtRest() {
    const double before = BytesSent();
    std::this_thread::sleep_for(kRest);
    return (BytesSent() - before) / (Ms(kRest) / 1000);
  }

  fleet& running_;
  http_client http_{0};
  configuration config_;
  uint64_t version_ = 0;
  steady_clock::time_point sent_;  // of the last change
  std::string team_;
  std::vector<double> apart_;  // between the first and the last entry that refused
  std::vector<new_key> leavers_;
};

}  // namespace

int SpreadMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  fleet_options options;
  options.endpoints_per_domain = 2;
  options.seed = absl::GetFlag(FLAGS_seed);
  fleet running(options);
  if (!running.Start(kStartLimit)) return 1;
  spread_run run(running);
  if (!run.Prepare()) {
    std::fprintf(stderr, "spread: the document was not taken\n");
    return 1;
  }
  const uint32_t delay = absl::GetFlag(FLAGS_store_delay_ms);
  if (delay > 0) running.SetStore({{"mode", "slow"}, {"delay_ms", delay}});
  const json result = run.Withdraw();
  std::puts(result.dump(2).c_str());
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) std::ofstream(file) << result.dump() << '\n';
  return result.contains("failed") ? 1 : 0;
}

}  // namespace catkinford
