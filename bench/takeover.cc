// Takeover of one shard: raise the epoch, read the job log, fence and list every endpoint, adopt
// what runs. Against it: fencing the same endpoints with nothing to list, which is the least that
// any takeover with a checkpoint would take as well, and reading such a checkpoint.
#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/forked_server.h"
#include "connection/endpoint_adapter.h"
#include "connection/http_client.h"
#include "connection/json_fields.h"
#include "connection/store_adapter.h"
#include "process/decision_core.h"
#include "process/job_log.h"
#include "standin/endpoint_server.h"
#include "standin/store_server.h"

ABSL_FLAG(uint32_t, shard_endpoints, 467, "takeover: endpoints in the shard");
ABSL_FLAG(uint32_t, shard_tasks, 13000, "takeover: tasks that run there");
ABSL_FLAG(uint32_t, shard_jobs, 2600, "takeover: durable jobs that are not over");
ABSL_FLAG(uint32_t, rounds, 5, "takeover: how often it is done");

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr uint32_t kEndpointProcesses = 4;
constexpr size_t kConnections = 64;  // to each process of endpoints
constexpr milliseconds kTimeout{30000};
constexpr milliseconds kLease{600000};
constexpr size_t kCheckpointValue = 900 << 10;  // a store value ends at 1 MB
constexpr resources kTask{100, 100, 0, 1};
constexpr resources kShape{64000, 131072, 0, 64};

std::string NameOf(uint32_t endpoint) { return absl::StrCat("endpoint-", endpoint); }

// Counts answers and lets the main thread wait for all of them.
class answer_gate {
 public:
  void Answered(const std::function<void()>& take) {
    const std::lock_guard lock(mutex_);
    take();
    ++answered_;
    changed_.notify_one();
  }
  void WaitFor(size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return answered_ >= count; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  size_t answered_ = 0;
};

class stopwatch {
 public:
  double Milliseconds() const {
    return std::chrono::duration<double, std::milli>(steady_clock::now() - start_).count();
  }

 private:
  steady_clock::time_point start_ = steady_clock::now();
};

void ServeEndpoints(uint32_t process, uint32_t endpoints, uint16_t port,
                    const std::function<void()>& wait) {
  endpoint_server_options options;
  options.port = port;
  options.shape = kShape;
  for (uint32_t i = process; i < endpoints; i += kEndpointProcesses) {
    options.names.push_back(NameOf(i));
  }
  endpoint_server server(options);
  server.Start();
  wait();
  server.Stop();
}

void ServeStore(uint16_t port, const std::function<void()>& wait) {
  store_options options;
  options.read_rate = 1e6;
  options.write_rate = 1e6;
  store_server server(port, options);
  server.Start();
  wait();
  server.Stop();
}

// A shard's endpoints and the store, each in processes of their own, and the owner's clients.
class takeover_bench {
 public:
  explicit takeover_bench(uint32_t endpoints)
      : endpoints_(endpoints), store_server_(ServeStore), http_(kConnections) {
    for (uint32_t process = 0; process < kEndpointProcesses; ++process) {
      servers_.push_back(std::make_unique<forked_server>(
          [process, endpoints](uint16_t port, const std::function<void()>& wait) {
            ServeEndpoints(process, endpoints, port, wait);
          }));
    }
    http_.Start();
    adapter_ = std::make_unique<endpoint_adapter>(http_, kTimeout);
    store_ = std::make_unique<store_adapter>(
        http_, absl::StrCat("http://127.0.0.1:", store_server_.Port()), kTimeout);
  }
  // The last child first: a child holds open what the earlier ones wait for to be closed.
  ~takeover_bench() {
    http_.Stop();
    while (!servers_.empty()) servers_.pop_back();
  }
  takeover_bench(const takeover_bench&) = delete;
  takeover_bench& operator=(const takeover_bench&) = delete;

  void StartTasks(uint32_t tasks) {
    answer_gate gate;
    for (uint32_t endpoint = 0; endpoint < endpoints_; ++endpoint) {
      std::vector<start_task> starts;
      for (uint32_t task = endpoint; task < tasks; task += endpoints_) {
        start_task start{{{7, 1 + task / 5}, task % 5, 1}, kTask, workload_kind::kBatch, "team-1"};
        start.payload = "{\"run_ms\":600000}";
        start.lease = kLease;
        starts.push_back(std::move(start));
      }
      adapter_->Start(Address(endpoint), 1, starts,
                      [&gate](const endpoint_reply&) { gate.Answered([] {}); });
    }
    gate.WaitFor(endpoints_);
  }

  void WriteJobs(uint32_t jobs) {
    call_tags tags;
    job_log log({"jobs/d/0/", "bench", 1}, tags);
    Drive(log, [&] { return log.State() == job_log_state::kReady; });
    for (uint32_t i = 0; i < jobs; ++i) {
      durable_job job;
      job.id = {7, 1 + i};
      job.team = "team-1";
      job.tasks = 5;
      job.each = kTask;
      job.payload.assign(200, 'x');
      log.Append(job);
    }
    Drive(log, [&] { return log.Pending() == 0; });
    log_bytes_ = log.Bytes();
    log_segments_ = log.Segments();
  }

  // Milliseconds for one compare-and-swap.
  double Raise() {
    const stopwatch watch;
    answer_gate gate;
    store_->CompareAndSwap("shard/d/0", shard_revision_, "{}", "bench", "",
                           [&](const store_reply& reply) {
                             gate.Answered([&] { shard_revision_ = reply.revision; });
                           });
    gate.WaitFor(1);
    return watch.Milliseconds();
  }

  double ReadJobs(uint64_t epoch, size_t& jobs) {
    const stopwatch watch;
    call_tags tags;
    job_log log({"jobs/d/0/", "bench", epoch}, tags);
    Drive(log, [&] { return log.State() == job_log_state::kReady; });
    jobs = log.Jobs().size();
    return watch.Milliseconds();
  }

  struct fence_result {
    double first_ms = 0;
    double half_ms = 0;  // half of the endpoints are listed and may be used again
    double all_ms = 0;
    size_t failed = 0;
    std::vector<std::pair<uint32_t, endpoint_reply>> replies;
  };
  fence_result FenceAll(uint64_t epoch) {
    fence_result result;
    std::vector<double> times;
    const stopwatch watch;
    answer_gate gate;
    for (uint32_t endpoint = 0; endpoint < endpoints_; ++endpoint) {
      adapter_->Fence(Address(endpoint), epoch, [&, endpoint](endpoint_reply reply) {
        gate.Answered([&] {
          times.push_back(watch.Milliseconds());
          if (reply.status != endpoint_status::kDone) ++result.failed;
          result.replies.emplace_back(endpoint, std::move(reply));
        });
      });
    }
    gate.WaitFor(endpoints_);
    result.first_ms = times.front();
    result.half_ms = times[times.size() / 2];
    result.all_ms = times.back();
    return result;
  }

  // The checkpoint of the alternative: the same statuses as values of the store.
  size_t WriteCheckpoint(const std::vector<std::pair<uint32_t, endpoint_reply>>& replies) {
    std::vector<std::string> values(1);
    for (const auto& [endpoint, reply] : replies) {
      for (const task_status& task : reply.tasks) {
        if (values.back().size() > kCheckpointValue) values.emplace_back();
        std::string& value = values.back();
        absl::StrAppend(&value, value.empty() ? "[" : ",", "{\"id\":\"", ToText(task.id),
                        "\",\"endpoint\":", endpoint, ",\"team\":", Quoted(task.team));
        absl::StrAppend(&value, ",\"kind\":", static_cast<int>(task.kind),
                        ",\"cpu_milli\":", task.amount.cpu_milli,
                        ",\"memory_mb\":", task.amount.memory_mb, "}");
      }
    }
    size_t bytes = 0;
    answer_gate gate;
    for (size_t i = 0; i < values.size(); ++i) {
      values[i].push_back(']');
      bytes += values[i].size();
      store_->CompareAndSwap(absl::StrCat("checkpoint/", i), 0, values[i], "bench", "",
                             [&gate](const store_reply&) { gate.Answered([] {}); });
    }
    gate.WaitFor(values.size());
    return bytes;
  }

  double ReadCheckpoint(size_t& tasks) {
    const stopwatch watch;
    answer_gate gate;
    store_reply read;
    store_->Range("checkpoint/",
                  [&](store_reply reply) { gate.Answered([&] { read = std::move(reply); }); });
    gate.WaitFor(1);
    tasks = 0;
    for (const store_item& item : read.items) {
      const nlohmann::json list = nlohmann::json::parse(item.value, nullptr, false);
      for (const nlohmann::json& task : list) {
        if (ParseTaskId(TextAt(task, "id"))) ++tasks;
      }
    }
    return watch.Milliseconds();
  }

  size_t LogBytes() const { return log_bytes_; }
  size_t LogSegments() const { return log_segments_; }

 private:
  endpoint_address Address(uint32_t endpoint) const {
    const uint16_t port = servers_[endpoint % kEndpointProcesses]->Port();
    return {absl::StrCat("http://127.0.0.1:", port), NameOf(endpoint)};
  }

  // Runs the log against the store, with a clock of its own that never waits.
  template <typename Done>
  void Drive(job_log& log, const Done& done) {
    monotonic_time now{std::chrono::hours{1}};
    while (!done()) {
      now += milliseconds{100};
      std::vector<store_request> calls;
      log.Tick(now, calls);
      for (const store_request& call : calls) {
        answer_gate gate;
        store_reply got;
        const auto take = [&](store_reply reply) {
          gate.Answered([&] { got = std::move(reply); });
        };
        if (call.kind == store_call_kind::kRange) store_->Range(call.key, take);
        if (call.kind == store_call_kind::kSwap) {
          store_->CompareAndSwap(call.key, call.expect, call.value, call.write_id, "", take);
        }
        gate.WaitFor(1);
        log.OnReply(call.tag, got, now);
      }
    }
  }

  uint32_t endpoints_;
  forked_server store_server_;
  std::vector<std::unique_ptr<forked_server>> servers_;
  http_client http_;
  std::unique_ptr<endpoint_adapter> adapter_;
  std::unique_ptr<store_adapter> store_;
  uint64_t shard_revision_ = 0;
  size_t log_bytes_ = 0;
  size_t log_segments_ = 0;
};

// Milliseconds for the decision core to take in what the lists say.
double Adopt(const std::vector<std::pair<uint32_t, endpoint_reply>>& replies, size_t& tasks) {
  const stopwatch watch;
  const monotonic_time now{std::chrono::hours{1}};
  decision_core core({});
  core.SetTeam(0, {1.0, {100000000, 100000000, 0, 0}, 1000000, 1000}, now);
  tasks = 0;
  for (const auto& [endpoint, reply] : replies) {
    core.SetEndpoint(endpoint, {kShape, endpoint / 8, 0}, endpoint_state::kOpen, now);
    for (const task_status& task : reply.tasks) {
      core.Adopt({task.id, 0, task.kind, task.amount, endpoint}, now);
      ++tasks;
    }
  }
  return watch.Milliseconds();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace

int TakeoverMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const uint32_t endpoints = absl::GetFlag(FLAGS_shard_endpoints);
  const uint32_t rounds = absl::GetFlag(FLAGS_rounds);
  takeover_bench bench(endpoints);
  uint64_t epoch = 1;
  size_t failed = 0;

  std::vector<double> empty;
  for (uint32_t i = 0; i <= rounds; ++i) {
    const auto fenced = bench.FenceAll(epoch);
    failed += fenced.failed;
    if (i != 0) empty.push_back(fenced.all_ms);  // the first one opens the connections
  }
  bench.StartTasks(absl::GetFlag(FLAGS_shard_tasks));
  bench.WriteJobs(absl::GetFlag(FLAGS_shard_jobs));

  std::vector<double> raise, jobs, first, half, all, adopt, total;
  size_t tasks = 0;
  size_t job_count = 0;
  size_t checkpoint_bytes = 0;
  for (uint32_t i = 0; i < rounds; ++i) {
    ++epoch;
    const stopwatch watch;
    raise.push_back(bench.Raise());
    jobs.push_back(bench.ReadJobs(epoch, job_count));
    const auto fenced = bench.FenceAll(epoch);
    adopt.push_back(Adopt(fenced.replies, tasks));
    total.push_back(watch.Milliseconds());
    failed += fenced.failed;
    first.push_back(fenced.first_ms);
    half.push_back(fenced.half_ms);
    all.push_back(fenced.all_ms);
    if (i == 0) checkpoint_bytes = bench.WriteCheckpoint(fenced.replies);
  }
  std::vector<double> checkpoint;
  size_t checkpoint_tasks = 0;
  for (uint32_t i = 0; i < rounds; ++i) {
    checkpoint.push_back(bench.ReadCheckpoint(checkpoint_tasks));
  }

  const nlohmann::json figures = {
      {"endpoints", endpoints},
      {"tasks", tasks},
      {"jobs", job_count},
      {"log_bytes", bench.LogBytes()},
      {"log_segments", bench.LogSegments()},
      {"failed_calls", failed},
      {"raise_ms", Median(raise)},
      {"read_jobs_ms", Median(jobs)},
      {"first_listed_ms", Median(first)},
      {"half_listed_ms", Median(half)},
      {"all_listed_ms", Median(all)},
      {"adopt_ms", Median(adopt)},
      {"takeover_ms", Median(total)},
      {"takeover_worst_ms", *std::max_element(total.begin(), total.end())},
      {"fence_nothing_to_list_ms", Median(empty)},
      {"checkpoint_bytes", checkpoint_bytes},
      {"checkpoint_tasks", checkpoint_tasks},
      {"read_checkpoint_ms", Median(checkpoint)}};
  std::printf("%s\n", figures.dump(1).c_str());
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) std::ofstream(file) << figures.dump(1) << "\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace catkinford
