#include "standin/command.h"

#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "standin/endpoint_server.h"
#include "standin/instance_server.h"
#include "standin/json_fields.h"
#include "standin/store_server.h"

ABSL_FLAG(uint32_t, port, 0, "port to listen on; 0: chosen by the system");
ABSL_FLAG(std::string, names, "",
          "endpoint: comma-separated names; ep-0..ep-16 expands to ep-0, ep-1 ... ep-16");
ABSL_FLAG(uint32_t, count, 0, "endpoint: number of endpoints, named PREFIX-0, PREFIX-1 ...");
ABSL_FLAG(std::string, prefix, "ep", "endpoint: prefix of the names");
ABSL_FLAG(std::string, shape, "16000,32768,0,8",
          "endpoint: capacity of each: millicores, memory in MB, accelerators, slots");
ABSL_FLAG(bool, fencing, true, "endpoint: reject calls with an epoch below the highest seen");
ABSL_FLAG(uint64_t, incarnation, 1,
          "endpoint: incarnation number; a restarted process needs a different one");
ABSL_FLAG(double, read_rate, 2000, "store: reads per second");
ABSL_FLAG(double, write_rate, 500, "store: writes per second");
ABSL_FLAG(bool, freeze_leases, false,
          "store: lease time does not advance while the store is down; else all leases may expire");
ABSL_FLAG(uint64_t, seed, 1, "store: random seed that selects the lost replies");
ABSL_FLAG(uint32_t, lag_ms, 500, "instances: age in ms of the list that readers see");
ABSL_FLAG(std::string, file, "", "instances: file with the initial instances, a JSON list");

namespace catkinford {
namespace {

constexpr int kUsageError = 2;
constexpr int kPortInUse = 3;
constexpr const char* kUsage =
    "Stand-ins for the platform's services; each process implements docs/PROTOCOL.md.\n"
    "  catkinford-standin endpoint --names ep-0..ep-16 --port 9101\n"
    "  catkinford-standin store --port 9000 --read_rate 2000 --write_rate 500\n"
    "  catkinford-standin instances --port 9001 --lag_ms 500 --file list.json\n";

// "ep-0..ep-16" appends 17 names; any other text is appended as one name.
void AppendNames(const std::string& text, std::vector<std::string>& names) {
  const std::vector<std::string> range_ends = absl::StrSplit(text, "..");
  const size_t digits_begin = range_ends[0].find_last_not_of("0123456789") + 1;
  const std::string prefix = range_ends[0].substr(0, digits_begin);
  uint32_t first = 0;
  uint32_t last = 0;
  const bool is_range = range_ends.size() == 2 && range_ends[1].size() > digits_begin &&
                        absl::SimpleAtoi(range_ends[0].substr(digits_begin), &first) &&
                        absl::SimpleAtoi(range_ends[1].substr(digits_begin), &last);
  if (!is_range) {
    names.push_back(text);
    return;
  }
  for (uint32_t i = first; i <= last; ++i) names.push_back(absl::StrCat(prefix, i));
}

std::vector<std::string> EndpointNames() {
  std::vector<std::string> names;
  const std::string names_flag = absl::GetFlag(FLAGS_names);
  if (!names_flag.empty()) {
    const std::vector<std::string> parts = absl::StrSplit(names_flag, ',');
    for (const std::string& part : parts) AppendNames(part, names);
  }
  for (uint32_t i = 0; i < absl::GetFlag(FLAGS_count); ++i) {
    names.push_back(absl::StrCat(absl::GetFlag(FLAGS_prefix), "-", i));
  }
  return names;
}

bool ParseShape(const std::string& text, resources& shape) {
  const std::vector<std::string> parts = absl::StrSplit(text, ',');
  return parts.size() == 4 && absl::SimpleAtoi(parts[0], &shape.cpu_milli) &&
         absl::SimpleAtoi(parts[1], &shape.memory_mb) &&
         absl::SimpleAtoi(parts[2], &shape.accelerators) &&
         absl::SimpleAtoi(parts[3], &shape.slots);
}

template <typename Server>
int Serve(Server& server, const sigset_t& stop_signals) {
  if (!server.Start()) {
    std::fprintf(stderr, "cannot listen: port is in use\n");
    return kPortInUse;
  }
  std::printf("ready %u\n", static_cast<unsigned>(server.Port()));
  std::fflush(stdout);
  int signal = 0;
  sigwait(&stop_signals, &signal);
  server.Stop();
  return 0;
}

int RunEndpoints(uint16_t port, const sigset_t& stop_signals) {
  endpoint_server_options options;
  options.port = port;
  options.names = EndpointNames();
  options.fencing = absl::GetFlag(FLAGS_fencing);
  options.incarnation = absl::GetFlag(FLAGS_incarnation);
  if (options.names.empty() || !ParseShape(absl::GetFlag(FLAGS_shape), options.shape)) {
    std::fprintf(stderr, "endpoint: needs --names or --count, and a --shape of four numbers\n");
    return kUsageError;
  }
  endpoint_server server(std::move(options));
  return Serve(server, stop_signals);
}

int RunStore(uint16_t port, const sigset_t& stop_signals) {
  store_options options;
  options.read_rate = absl::GetFlag(FLAGS_read_rate);
  options.write_rate = absl::GetFlag(FLAGS_write_rate);
  options.freeze_leases_while_down = absl::GetFlag(FLAGS_freeze_leases);
  options.seed = absl::GetFlag(FLAGS_seed);
  store_server server(port, options);
  return Serve(server, stop_signals);
}

int RunInstances(uint16_t port, const sigset_t& stop_signals) {
  nlohmann::json instances = nlohmann::json::array();
  if (const std::string file = absl::GetFlag(FLAGS_file); !file.empty()) {
    std::ifstream in(file);
    const nlohmann::json parsed = nlohmann::json::parse(in, nullptr, false, true);
    instances = parsed.is_object() ? ChildOf(parsed, "instances") : parsed;
    if (!instances.is_array()) {
      std::fprintf(stderr, "instances: --file does not contain a JSON list of instances\n");
      return kUsageError;
    }
  }
  instance_server server(port, std::chrono::milliseconds{absl::GetFlag(FLAGS_lag_ms)},
                         std::move(instances));
  return Serve(server, stop_signals);
}

}  // namespace

int RunStandin(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const std::string subcommand = positional.size() > 1 ? positional[1] : "";
  // Blocked before any thread starts, so that the signals are delivered only to sigwait().
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  const auto port = static_cast<uint16_t>(absl::GetFlag(FLAGS_port));
  if (subcommand == "endpoint") return RunEndpoints(port, stop_signals);
  if (subcommand == "store") return RunStore(port, stop_signals);
  if (subcommand == "instances") return RunInstances(port, stop_signals);
  std::fputs(kUsage, stderr);
  return kUsageError;
}

}  // namespace catkinford
