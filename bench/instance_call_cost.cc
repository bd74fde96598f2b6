// What a call to an instance costs an owner: by instance_calls and http_client, its answer handed
// to the event loop, on sockets against a server in a process of its own.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "bench/commands.h"
#include "bench/flags.h"
#include "bench/forked_server.h"
#include "bench/thread_clock.h"
#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection/traffic_counter.h"
#include "platform/instance_calls.h"
#include "process/site/event_loop.h"

ABSL_FLAG(int, call_hosts, 300, "instances called");
ABSL_FLAG(int, call_count, 20000, "calls in all");
ABSL_FLAG(int, call_rate, 2000, "calls a second");

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kCallTimeout{5000};
constexpr milliseconds kTick{5};
constexpr size_t kLoopCapacity = 65536;
constexpr size_t kConnectionsPerHost = 4;
constexpr int kRows = 8;  // of a listing

std::string Listing() {
  nlohmann::json running = nlohmann::json::array();
  for (int i = 0; i < kRows; ++i) {
    running.push_back(
        {absl::StrCat("5c0e7a21d94b36f8.0.1.", i), 2, "00000bb87a21d94b", 41, 1500 + i});
  }
  return nlohmann::json{{"clock-ms", 482113},
                        {"born", 1764792000123},
                        {"running", running},
                        {"ended", {{58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""}}}}
      .dump();
}

void ServeInstances(uint16_t port, const std::function<void()>& wait) {
  http_server_options options;
  options.port = port;
  options.address = "0.0.0.0";
  http_server* self = nullptr;
  const std::string listing = Listing();
  http_server server(options, [&](http_server::token token, const http_request& request) {
    const bool hold = absl::EndsWith(request.path, "hold");
    self->Respond(token, {200, hold ? listing : std::string(R"({"clock-ms":482113})")});
  });
  self = &server;
  server.Start();
  wait();
  server.Stop();
}

// Sends the calls from the event loop at the given rate, six listings, two starts and two stops of
// ten.
class paced_calls {
 public:
  paced_calls(http_client& http, event_loop& loop, uint16_t port)
      : loop_(loop),
        instances_(http, kCallTimeout),
        port_(port),
        left_(absl::GetFlag(FLAGS_call_count)) {}

  void Run() {
    loop_.Post([this] { Tick(); });
    done_.get_future().wait();
  }
  int Failed() const { return failed_; }
  nanoseconds ClientTime() const { return client_time_; }
  nanoseconds LoopTime() const { return loop_time_; }

 private:
  using answer_callback = platform::instance_calls::answer_callback;
  using listing_callback = platform::instance_calls::listing_callback;

  void Tick() {
    if (left_ <= 0) return;
    loop_.After(kTick, [this] { Tick(); });
    const auto now = std::chrono::steady_clock::now();
    if (begun_.time_since_epoch().count() == 0) begun_ = now;
    const std::chrono::duration<double> spent = now - begun_;
    const int due = static_cast<int>(spent.count() * absl::GetFlag(FLAGS_call_rate)) + 1;
    while (sent_ < due && left_ > 0) Send();
  }

  void Send() {
    --left_;
    const int number = sent_++;
    const int host = number % absl::GetFlag(FLAGS_call_hosts);
    command_target to;
    to.instance = absl::StrCat("i-", host);
    to.address = absl::StrCat("127.0.", 1 + host / 250, ".", 1 + host % 250, ":", port_);
    to.incarnation = 7;
    const task_key key{"5c0e7a21d94b36f8", 0, 1, 17};
    constexpr uint64_t kEpoch = 7;
    const int kind = number % 10;
    const auto answered = loop_.OnLoop(answer_callback(
        [this](const command_answer& answer) { Count(answer.result == command_result::kDone); }));
    if (kind < 2) {
      instances_.Start({to, key, 2, std::string(200, 'x'), 486000, "00000bb87a21d94b", {}}, kEpoch,
                       Sampled(answered));
    } else if (kind < 4) {
      instances_.Stop({to, key, 2}, kEpoch, Sampled(answered));
    } else {
      list_command list;
      list.to = to;
      list.lease_until_ms = 486000;
      list.ends_seen = 57;
      list.wait = milliseconds{1000};
      const auto listed = loop_.OnLoop(
          listing_callback([this](const std::optional<instance_listing>& listing, command_result) {
            Count(listing && listing->running.size() == kRows);
          }));
      instances_.List(
          list, kEpoch,
          [this, listed](std::optional<instance_listing> listing, command_result result) mutable {
            listed(std::move(listing), result);
            client_time_ = thread_clock::Now();
          });
    }
  }

  answer_callback Sampled(answer_callback done) {
    return [this, done = std::move(done)](command_answer answer) {
      done(answer);
      client_time_ = thread_clock::Now();
    };
  }

  void Count(bool good) {
    if (!good) ++failed_;
    loop_time_ = thread_clock::Now();
    if (++answered_ == absl::GetFlag(FLAGS_call_count)) done_.set_value();
  }

  event_loop& loop_;
  platform::instance_calls instances_;
  uint16_t port_;
  int left_;
  int sent_ = 0;
  int answered_ = 0;
  int failed_ = 0;
  std::chrono::steady_clock::time_point begun_{};
  std::atomic<nanoseconds> client_time_{nanoseconds{0}};
  std::atomic<nanoseconds> loop_time_{nanoseconds{0}};
  std::promise<void> done_;
};

}  // namespace

int InstanceCallsMain(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  forked_server server(ServeInstances);
  traffic_counter traffic;
  http_client http(kConnectionsPerHost, {}, &traffic);
  event_loop loop(kLoopCapacity);
  paced_calls calls(http, loop, server.Port());
  http.Start();
  loop.Start();
  const double before = ProcessCpuMicroseconds();
  calls.Run();
  const double spent = ProcessCpuMicroseconds() - before;
  const uint64_t opened = http.Connections().opened;
  loop.Stop();
  http.Stop();
  server.Stop();
  const double count = absl::GetFlag(FLAGS_call_count);
  const auto per_call = [count](nanoseconds time) {
    return std::chrono::duration<double, std::micro>(time).count() / count;
  };
  std::printf(
      "processor time a call: %.1f us (client's thread %.1f us, loop %.1f us), "
      "connections opened %llu, failed %d\n",
      spent / count, per_call(calls.ClientTime()), per_call(calls.LoopTime()),
      static_cast<unsigned long long>(opened), calls.Failed());  // NOLINT
  const std::string file = absl::GetFlag(FLAGS_json);
  if (!file.empty()) {
    std::ofstream(file) << nlohmann::json{{"cpu_us", spent / count},
                                          {"client_cpu_us", per_call(calls.ClientTime())},
                                          {"loop_cpu_us", per_call(calls.LoopTime())},
                                          {"connections_opened", opened},
                                          {"failed", calls.Failed()}}
                               .dump(1)
                        << "\n";
  }
  return calls.Failed() == 0 ? 0 : 1;
}

}  // namespace catkinford
