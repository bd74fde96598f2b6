// Slopes of the platform's instance list as an entry reads it.
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "bench/forked_server.h"
#include "bench/slope.h"
#include "connection/http_client.h"
#include "connection/instance_adapter.h"
#include "standin/instance_server.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

nlohmann::json MakeInstances(int count) {
  nlohmann::json list = nlohmann::json::array();
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(1000 + i);
    list.push_back(
        {{"name", "endpoint-" + number},
         {"role", "endpoint"},
         {"failure_domain", "domain-" + std::to_string(i % 9)},
         {"rack", "rack-" + std::to_string(i / 8)},
         {"address", "http://127.0.0.1:9" + number},
         {"state", "live"},
         {"shape",
          {{"cpu_milli", 64000}, {"memory_mb", 256000}, {"accelerators", 0}, {"slots", 40}}}});
  }
  return list;
}

struct list_cost {
  double cpu_us = 0;
  double bytes = 0;
};

// One read of a list of this many instances; our side.
list_cost ReadList(double instances) {
  forked_server server([instances](uint16_t port, const std::function<void()>& wait) {
    instance_server list(port, milliseconds{0}, MakeInstances(static_cast<int>(instances)));
    list.Start();
    wait();
    list.Stop();
  });
  http_client http(1);
  http.Start();
  instance_adapter adapter(http, "http://127.0.0.1:" + std::to_string(server.Port()),
                           milliseconds{10000});
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
  const double cpu = ProcessCpuMicroseconds();
  adapter.List([&](const instance_reply& /*reply*/) {
    const std::lock_guard lock(mutex);
    done = true;
    changed.notify_one();
  });
  std::unique_lock lock(mutex);
  changed.wait(lock, [&] { return done; });
  lock.unlock();
  const list_cost cost{ProcessCpuMicroseconds() - cpu, SocketBytes(server.Port())};
  http.Stop();
  return cost;
}

double ListCpu(double instances) { return ReadList(instances).cpu_us; }
double ListBytes(double instances) { return ReadList(instances).bytes; }

}  // namespace

std::vector<slope_question> InstanceSlopes() {
  const std::vector<double> sizes = {50, 500, 1500, 4254};
  return {
      {"instances.bytes", "bytes", "instance", sizes, ListBytes,
       "instance_adapter::List, both ways"},
      {"instances.cpu", "us", "instance", sizes, ListCpu, "instance_adapter::List, our side"},
  };
}

}  // namespace catkinford
