// What an owner may conclude about jobs, runs and ends that reach it late
// or in an unusual order.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "connection/http_client.h"
#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The first end of its instance: of the job's first task and its first run.
ended_row Ended(uint32_t job, run_end how) {
  ended_row row;
  row.number = 1;
  row.key.job = JobId(job);
  row.run = 1;
  row.how = how;
  return row;
}

// The first run of a task of job 1.
running_row Running(uint32_t index) {
  running_row row;
  row.key.job = JobId(1);
  row.key.index = index;
  row.run = 1;
  row.percent = 10;
  return row;
}

// A second owner whose records may be incomplete. Of the two instances that it inherits, one is
// listed and has no runs; the other one does not answer.
class takeover_fixture {
 protected:
  takeover_fixture() : takeover_fixture(scheduler_options{}) {}
  explicit takeover_fixture(const scheduler_options& options) : owner(options, 2, took_over) {
    for (const char* id : {"listed", "silent"}) {
      instance_report report;
      report.id = id;
      report.service = "service";
      report.capacity = {16000, 32768, 0, 0};
      report.incarnation = 1;
      reports.push_back(report);
    }
    owner.OnInherited(reports, now);
    owner.OnRegistry(reports, now);
    owner.OnFleetStored(reports);
    List("listed", {});
  }

  wall_time Wall() const { return WallAt(now - took_over); }
  static wall_time WallAt(monotonic_time::duration after_takeover) {
    return wall_time{} + seconds(1000000) +
           std::chrono::duration_cast<milliseconds>(after_takeover);
  }

  void List(const std::string& instance, std::vector<running_row> running,
            std::vector<ended_row> ended = {}) {
    const auto clock = std::chrono::duration_cast<milliseconds>(now - took_over).count() + 5000;
    owner.OnListing({{instance, "", 1}, {}, 0, {}},
                    {clock, 1, std::move(running), std::move(ended)}, now, now);
  }

  void SetMaximum(uint32_t cpu_milli) {
    std::vector<workspace_config> workspaces = {{"workspace", {}, 1, {cpu_milli, 0, 0, 0}}};
    owner.SetVersion(std::make_shared<const site_configuration>(
        1, std::vector<queue_config>{}, std::move(workspaces), std::vector<service_config>{},
        caller_limits{}));
  }

  // The job becomes known now; it was accepted `accepted` after the takeover.
  void Learn(graph_job job, milliseconds accepted) {
    job.accepted = WallAt(accepted);
    owner.OnJob(std::move(job), "", false, Wall(), now);
  }
  void Inherit(graph_job job, const std::string& progress = "") {
    job.accepted = WallAt(-seconds(1));
    owner.OnJob(std::move(job), progress, true, Wall(), now);
  }

  // The tasks that are started now, once their records are stored.
  std::vector<task_key> Started() {
    auto starts = owner.Decide(Wall(), now).starts;
    owner.OnStored(owner.TakeUnstored(10));
    for (start_command& sent : owner.TakeStarts(now)) starts.push_back(std::move(sent));
    std::vector<task_key> out;
    out.reserve(starts.size());
    for (const start_command& start : starts) out.push_back(start.key);
    return out;
  }

  const monotonic_time took_over{seconds(100)};
  monotonic_time now = took_over;
  std::vector<instance_report> reports;
  job_scheduler owner;
};

// Guards against two runs of a task at the same time: the earlier owner, which acts for 0.7 s, has
// started the job at the silent instance, and the inbox watch brings the job only later.
TEST_CASE_METHOD(takeover_fixture,
                 "takeover, job accepted while earlier owner acts, known later, waits") {
  now += seconds(1);
  Learn(Job(1, {Tasks(1, 1000, seconds(60))}), milliseconds(200));
  CHECK(Started().empty());
}

TEST_CASE_METHOD(takeover_fixture,
                 "takeover, job accepted after earlier owner's time, starts at once") {
  now += seconds(2);
  Learn(Job(1, {Tasks(1, 1000, seconds(60))}), milliseconds(1900));
  CHECK(Started().size() == 1);
}

// Guards against two runs of a task at the same time: one task of the job is listed as the work of
// an earlier owner, which may have started the other one too.
TEST_CASE_METHOD(takeover_fixture,
                 "takeover, unidentified run, its job brought by the watch, other tasks wait") {
  now += milliseconds(100);
  List("listed", {Running(0)});
  REQUIRE(owner.TakeUnknownJobs() == std::vector<std::string>{JobId(1)});
  now += seconds(1);
  Learn(Job(1, {Tasks(2, 1000, seconds(60))}), milliseconds(50));
  CHECK(Started().empty());
}

// Guards against a second run after an end `done`, which was acknowledged: the earlier owner's time
// of day was ahead, so that the occurrence is not due here yet.
TEST_CASE_METHOD(takeover_fixture,
                 "takeover, end of an occurrence that is not due, listed, does not run again") {
  List("silent", {});
  graph_job job = Job(1, {Tasks(1, 1000, seconds(60))});
  job.repeats = 1;
  job.interval = seconds(100);
  job.first_run = Wall() + seconds(1);
  Inherit(job);
  List("listed", {}, {Ended(1, run_end::kDone)});
  now += seconds(2);
  CHECK(Started().empty());
}

// Guards against a second run after an end `done`: the occurrence was finished before it is due
// here, and a late end of another run of it is listed.
TEST_CASE_METHOD(takeover_fixture,
                 "takeover, finished occurrence that is not due, another end, does not run again") {
  List("silent", {});
  graph_job job = Job(1, {Tasks(1, 1000, seconds(60))});
  job.repeats = 2;
  job.interval = seconds(100);
  job.first_run = Wall() + seconds(1);
  Inherit(job);
  ended_row second = Ended(1, run_end::kStopped);
  second.number = 2;
  second.run = 2;
  List("listed", {}, {Ended(1, run_end::kDone), second});
  now += seconds(2);
  CHECK(Started().empty());
}

// Guards against occurrences that wait until the last one of their job is due.
TEST_CASE_METHOD(takeover_fixture, "takeover, first of two occurrences due, starts") {
  List("silent", {});
  graph_job job = Job(1, {Tasks(1, 1000, seconds(60))});
  job.repeats = 2;
  job.interval = seconds(100);
  job.first_run = Wall() + seconds(1);
  Inherit(job);
  now += seconds(2);
  CHECK(Started().size() == 1);
}

// Guards against two runs of a task at the same time.
TEST_CASE_METHOD(takeover_fixture,
                 "takeover, run of an occurrence that is not due, listed, holds its task") {
  List("silent", {});
  graph_job job = Job(1, {Tasks(1, 1000, seconds(60))});
  job.repeats = 1;
  job.interval = seconds(100);
  job.first_run = Wall() + seconds(1);
  Inherit(job);
  List("listed", {Running(0)});
  now += seconds(2);
  CHECK(Started().empty());
}

// Guards against workspaces that get no starts while the store does not answer: an end uses no
// capacity.
TEST_CASE_METHOD(takeover_fixture,
                 "takeover, end of an unknown job, store silent, limited workspace still starts") {
  SetMaximum(100000);
  List("silent", {});
  List("listed", {}, {Ended(9, run_end::kLapsed)});
  now += seconds(10);
  Learn(Job(1, {Tasks(1, 1000, seconds(60))}), seconds(10));
  CHECK(Started().size() == 1);
}

// Guards against a workspace beyond its maximum: the earlier owner may have heard of the first
// step's end and started the second one, whose ten tasks fill the maximum.
TEST_CASE_METHOD(takeover_fixture,
                 "takeover, inherited job with a wide second step, its workspace's new job waits") {
  SetMaximum(10000);
  Inherit(Job(1, {Tasks(1, 1000, seconds(1)), Tasks(10, 1000, seconds(60), {0})}));
  now += seconds(2);
  Learn(Job(2, {Tasks(4, 1000, seconds(60))}), seconds(2));
  CHECK(Started().empty());
}

// Guards against two runs of a task at the same time: the earlier owner still acts, and the next
// incarnation has seen no epoch that would keep it from starting inherited work there.
TEST_CASE_METHOD(
    takeover_fixture,
    "takeover, silent instance restarts while earlier owner acts, inherited job waits") {
  Inherit(Job(1, {Tasks(1, 1000, seconds(60))}));
  now += milliseconds(100);
  reports[1].incarnation = 2;
  owner.OnRegistry(reports, now);
  now += milliseconds(10);
  CHECK(Started().empty());
}

// Guards against a gang that waits for the remaining members of an attempt that is over.
TEST_CASE_METHOD(takeover_fixture,
                 "takeover, unidentified gang, one member ended, stops the other one") {
  step_spec step = Tasks(2, 1000, seconds(60));
  step.gang = true;
  List("listed", {}, {Ended(1, run_end::kLapsed)});
  List("silent", {Running(1)});
  now += milliseconds(10);
  Learn(Job(1, {step}), milliseconds(0));
  const auto stops = owner.Decide(Wall(), now).stops;
  REQUIRE(stops.size() == 1);
  CHECK(stops.front().to.instance == "silent");
}

scheduler_options WithUnconfirmedOwner() {
  scheduler_options options;
  options.unconfirmed_owner = milliseconds(3500);
  return options;
}

// The records are known to be complete, and one names a run at the silent instance.
class recorded_at_silent_fixture : public takeover_fixture {
 protected:
  recorded_at_silent_fixture() : takeover_fixture(WithUnconfirmedOwner()) {
    job_entry entry;
    entry.job = Job(1, {Tasks(1, 1000, seconds(60))});
    entry.phase = graph_phase::kRunning;
    entry.occurrences[0] = MakeOccurrence(entry.job, 0, now);
    entry.occurrences[0]->steps[0].tasks[0].open_runs.push_back({1, "silent", {}});
    Inherit(entry.job, ProgressToText(entry));
    owner.SetRecordsComplete();
  }

  bool StartsBefore(milliseconds after_takeover) {
    for (; now < took_over + after_takeover; now += milliseconds(100)) {
      for (const list_command& list : owner.Decide(Wall(), now).listings) {
        if (list.to.instance == "listed") {
          List("listed", {});
        } else {
          owner.OnNoListing(list, command_result::kUnknown, now);
        }
      }
      if (!Started().empty()) return true;
    }
    return false;
  }
};

// All leases are over 0.7 s and a lease of 4 s, of a clock that is 2 % slow, after the takeover.
TEST_CASE_METHOD(recorded_at_silent_fixture,
                 "takeover, records complete, silent instance, task starts after its lease") {
  CHECK(StartsBefore(milliseconds(5200)));
}

// Guards against a task that waits longer because the earlier owner is seen to be dead.
TEST_CASE_METHOD(
    recorded_at_silent_fixture,
    "takeover, records complete, earlier owner found dead late, task starts no later") {
  REQUIRE_FALSE(StartsBefore(seconds(3)));
  owner.OnEarlierOwnerDead(now);
  CHECK(StartsBefore(milliseconds(5200)));
}

// Guards against two runs of a task at the same time: an answer of the earlier incarnation says
// nothing of the next one, where the repeated call may still arrive.
TEST_CASE("takeover, start answered stale by earlier incarnation, next one gets a stop") {
  monotonic_time now{seconds(100)};
  job_scheduler owner(scheduler_options{}, 1, monotonic_time{});
  instance_report report;
  report.id = "instance";
  report.service = "service";
  report.capacity = kSmallInstance;
  report.incarnation = 1;
  const auto list = [&](int64_t incarnation) {
    owner.OnListing({{"instance", "", incarnation}, {}, 0, {}}, {5000, incarnation, {}, {}}, now,
                    now);
  };
  owner.OnRegistry({report}, now);
  list(1);
  owner.OnFleetStored(owner.Fleet());
  owner.OnJob(Job(1, {Tasks(1, 1000, seconds(60))}), "", false, wall_time{}, now);
  owner.Decide(wall_time{}, now);
  owner.OnStored(owner.TakeUnstored(10));
  const start_command start = owner.TakeStarts(now).at(0);
  now += milliseconds(100);
  report.incarnation = 2;
  owner.OnRegistry({report}, now);
  owner.OnStartAnswer(start, {command_result::kStale, 5000}, now);
  now += milliseconds(10);
  list(2);
  now += milliseconds(700);
  const auto stops = owner.Decide(wall_time{}, now).stops;
  CHECK(std::any_of(stops.begin(), stops.end(), [&](const stop_command& stop) {
    return stop.key == start.key && stop.run == start.run && stop.to.incarnation == 2;
  }));
  CHECK_FALSE(owner.StartsPlanned());
}

// A server that answers the first call on a connection, reads the second one and closes the
// connection without an answer. A further connection gets 503 for each call.
class closing_server {
 public:
  closing_server() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    [[maybe_unused]] const int bound =
        bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(listener_, 4);
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }
  ~closing_server() {
    thread_.join();
    close(listener_);
  }
  uint16_t Port() const { return port_; }

 private:
  static bool ReadCall(int connection) {
    std::string text;
    std::array<char, 1024> buffer{};
    while (!text.ends_with("\r\n\r\nx")) {
      const ssize_t got = recv(connection, buffer.data(), buffer.size(), 0);
      if (got <= 0) return false;
      text.append(buffer.data(), static_cast<size_t>(got));
    }
    return true;
  }
  static void Answer(int connection, const std::string& status) {
    const std::string text = absl::StrCat("HTTP/1.1 ", status, "\r\nContent-Length: 2\r\n\r\n{}");
    send(connection, text.data(), text.size(), MSG_NOSIGNAL);
  }
  int Accept() const {
    pollfd ready{listener_, POLLIN, 0};
    return poll(&ready, 1, 1000) > 0 ? accept(listener_, nullptr, nullptr) : -1;
  }
  void Serve() const {
    const int first = Accept();
    if (first < 0) return;
    if (ReadCall(first)) Answer(first, "200 OK");
    ReadCall(first);
    close(first);
    const int second = Accept();
    if (second < 0) return;
    if (ReadCall(second)) Answer(second, "503 Service Unavailable");
    close(second);
  }

  int listener_ = -1;
  uint16_t port_ = 0;
  std::thread thread_;
};

// Guards against a job that runs though its submission was rejected, and against a start that is
// given up and runs: libcurl repeats a call whose reused connection closes without an answer, and
// the refusal of the repeated call was read as that of both.
TEST_CASE("takeover, reused connection closes after the call was read, outcome is unknown",
          "[http]") {
  closing_server server;
  http_client client(0);
  client.Start();
  const auto call = [&] {
    http_call out{"POST", absl::StrCat("http://127.0.0.1:", server.Port(), "/call"), "x"};
    out.timeout = milliseconds{2000};
    return out;
  };
  REQUIRE(client.SendAndWait(call()).code == 200);
  const http_result result = client.SendAndWait(call());
  client.Stop();
  INFO("code " << result.code);
  CHECK(result.status == transfer_status::kMaybeSent);
}

}  // namespace
}  // namespace catkinford
