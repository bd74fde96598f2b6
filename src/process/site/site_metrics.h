// Counters and histograms of an entry of a site, in the Prometheus text format.
#ifndef CATKINFORD_PROCESS_SITE_SITE_METRICS_H_
#define CATKINFORD_PROCESS_SITE_SITE_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "connection/connection_budget.h"
#include "connection/traffic_counter.h"
#include "process/scheduling/job_stages.h"
#include "process/scheduling/scheduler_messages.h"
#include "process/speed/instance_speed.h"

namespace catkinford {

enum class site_command : uint8_t { kStart, kStop, kPace, kList };

class site_metrics {
 public:
  site_metrics();
  site_metrics(const site_metrics&) = delete;
  site_metrics& operator=(const site_metrics&) = delete;

  // `call`: submit, cancel, state or pending; `status`: the HTTP status of the answer.
  void CountAnswer(const std::string& call, int status, std::chrono::microseconds took);
  void CountStoreCall(const std::string& call, const std::string& outcome);
  void CountCommand(site_command command, command_result outcome);
  void CountRunEnd(run_end how);
  void CountCopies(const copy_counts& counts);
  void CountCompletedJob(const completed_job& job);
  void SetInstances(speed_class speed, size_t count);
  // `source`: store, watch or peer; `outcome`: done, refused, absent, history_gone or
  // broken_off.
  void CountVersionRead(const std::string& source, const std::string& outcome);
  // `outcome`: taken, or why what a former owner knew could not be used.
  void CountHandover(const std::string& outcome);
  // Adds the bytes and faults of calls of one kind since the last time.
  void CountTraffic(const std::string& kind, const traffic& use);
  // A submission to the queue was rejected for lack of capacity.
  void CountShed(const std::string& queue);
  // The forecast wait of a job beyond its workspace's share, at the owner.
  void SetForecastWait(const std::string& queue, std::chrono::milliseconds wait);
  void ClearForecastWaits();
  // `thread`: loop, instances, starts, peers, store or other; `total` since the process began.
  void SetConnections(const budget_counts& counts);
  void SetCpuTime(const std::string& thread, std::chrono::microseconds total);
  std::string Text();

 private:
  static constexpr size_t kSiteCommands = static_cast<size_t>(site_command::kList) + 1;
  static constexpr size_t kCommandResults = static_cast<size_t>(command_result::kUnknown) + 1;
  static constexpr size_t kRunEnds = static_cast<size_t>(run_end::kUnknown) + 1;

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Family<prometheus::Counter>& commands_;
  prometheus::Family<prometheus::Counter>& run_ends_;
  prometheus::Family<prometheus::Counter>& version_reads_;
  prometheus::Family<prometheus::Counter>& handovers_;
  prometheus::Family<prometheus::Counter>& link_bytes_;
  prometheus::Family<prometheus::Counter>& call_faults_;
  prometheus::Family<prometheus::Counter>& shed_;
  prometheus::Family<prometheus::Gauge>& forecast_wait_seconds_;
  std::map<std::string, prometheus::Gauge*> forecast_waits_;  // by queue
  prometheus::Family<prometheus::Gauge>& cpu_seconds_;
  prometheus::Family<prometheus::Gauge>& instances_;
  prometheus::Family<prometheus::Histogram>& answer_seconds_;
  prometheus::Family<prometheus::Histogram>& stage_seconds_;
  // A look-up by labels compares and copies strings, for each command and each end. Null: not used
  // yet.
  std::array<std::array<prometheus::Counter*, kCommandResults>, kSiteCommands> command_counters_{};
  std::array<prometheus::Counter*, kRunEnds> run_end_counters_{};
  std::array<prometheus::Gauge*, 3> instance_gauges_{};  // by class of speed
  // By priority. A look-up by labels compares and copies strings, for each stage of each job.
  std::map<int, std::array<prometheus::Histogram*, kJobStages>> stages_of_priority_;

 public:
  prometheus::Histogram& decide_seconds;       // one decision round of the owner
  prometheus::Histogram& listing_age_seconds;  // of an instance's listing when it was handled
  prometheus::Histogram& run_time_ratio;       // actual over expected run time, of sound runs
  prometheus::Counter& takeovers;              // times that this entry became owner
  prometheus::Gauge& owns_site;                // 1 or 0
  prometheus::Gauge& jobs;                     // known to the owner
  prometheus::Gauge& runs;                     // that occupy capacity
  prometheus::Gauge& unplaceable_steps;        // which the present instances cannot hold
  prometheus::Gauge& version;                  // number of the configuration in effect
  prometheus::Gauge& store_age_seconds;        // since the store last answered
  prometheus::Gauge& version_age_seconds;      // since the store last confirmed the configuration
  prometheus::Gauge& evacuated_domains;        // failure domains that are closed to new work
  prometheus::Gauge& unusable_registrations;   // that the owner read last and leaves out
  prometheus::Gauge& version_bytes;            // of the configuration's text
  prometheus::Counter& version_texts_sent;     // sent to other entries
  prometheus::Gauge& instance_connections;     // open
  prometheus::Counter& instance_connections_opened;
  prometheus::Counter& log_lines_left_out;
  prometheus::Gauge& request_bytes;  // held by requests and their answers
  prometheus::Counter& connections_closed;
  prometheus::Counter& requests_without_room;
  std::array<prometheus::Counter*, kCopyReasons> copies_started;  // by reason
  prometheus::Counter& copies_won;
  prometheus::Counter& copies_lost;
  prometheus::Counter& copy_cpu_seconds;  // of runs that lost against another run of their task
  prometheus::Counter& returns_promised;  // to rejected callers
  prometheus::Counter& returns_kept;      // callers that came back on time and got in
  prometheus::Histogram& forecast_error_seconds;  // of the wait until the first start
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_METRICS_H_
