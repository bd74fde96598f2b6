#include "process/site/site_metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace catkinford {
namespace {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;

// Seconds. An answer takes a few calls to the store of some milliseconds each.
const Histogram::BucketBoundaries kAnswerBounds = {0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                   0.25,  0.5,   1,    2,    5};
const Histogram::BucketBoundaries kStageBounds = {0.01, 0.03, 0.1, 0.25, 0.5, 1, 2, 5, 15};
const Histogram::BucketBoundaries kAgeBounds = {0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5};
const Histogram::BucketBoundaries kRatioBounds = {0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 4, 8};
// Actual less forecast wait.
const Histogram::BucketBoundaries kErrorBounds = {-30, -10, -5, -2, -1, -0.5, -0.2,
                                                  0.2, 0.5, 1,  2,  5,  10,   30};
const Histogram::BucketBoundaries kDecideBounds = {0.0001, 0.0005, 0.001, 0.002, 0.005, 0.02, 0.1};

prometheus::Family<Counter>& Counters(prometheus::Registry& registry, const char* name,
                                      const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Gauge& OneGauge(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

std::array<Counter*, kCopyReasons> CopiesStarted(prometheus::Registry& registry) {
  prometheus::Family<Counter>& family = Counters(registry, "catkinford_site_copies_total",
                                                 "Copies of tasks that were started, by reason.");
  std::array<Counter*, kCopyReasons> out{};
  for (size_t i = 0; i < kCopyReasons; ++i) {
    const auto reason = static_cast<copy_reason>(i);
    out[i] = &family.Add({{"reason", std::string(ToText(reason))}});
  }
  return out;
}

}  // namespace

site_metrics::site_metrics()
    : answers_(Counters(registry_, "catkinford_site_answers_total",
                        "Answers to callers, by call and status.")),
      store_calls_(Counters(registry_, "catkinford_site_store_calls_total",
                            "Calls to the platform's store, by call and outcome.")),
      commands_(Counters(registry_, "catkinford_site_orders_total",
                         "Commands to instances, by command and outcome.")),
      run_ends_(Counters(registry_, "catkinford_site_run_ends_total",
                         "Ends of runs reported by instances, by kind of end.")),
      version_reads_(Counters(registry_, "catkinford_site_version_reads_total",
                              "Reads of the configuration, by source and outcome.")),
      handovers_(Counters(registry_, "catkinford_site_handovers_total",
                          "Questions to former owners about what they knew, by outcome.")),
      link_bytes_(Counters(registry_, "catkinford_site_link_bytes_total",
                           "Bytes of this entry's calls, by kind of call and direction.")),
      call_faults_(Counters(registry_, "catkinford_site_call_faults_total",
                            "Calls without a complete response, by kind of call and reason.")),
      shed_(Counters(registry_, "catkinford_site_shed_total",
                     "Submissions rejected for lack of capacity, by queue.")),
      forecast_wait_seconds_(
          prometheus::BuildGauge()
              .Name("catkinford_site_forecast_wait_seconds")
              .Help("Forecast wait of a job beyond its workspace's share, by queue; at the owner.")
              .Register(registry_)),
      cpu_seconds_(prometheus::BuildGauge()
                       .Name("catkinford_site_cpu_seconds")
                       .Help("Processor time since the start of the process, by thread.")
                       .Register(registry_)),
      instances_(prometheus::BuildGauge()
                     .Name("catkinford_site_instances")
                     .Help("Instances known to the owner, by class of speed.")
                     .Register(registry_)),
      answer_seconds_(prometheus::BuildHistogram()
                          .Name("catkinford_site_answer_seconds")
                          .Help("Time from the arrival of a call to its answer.")
                          .Register(registry_)),
      stage_seconds_(prometheus::BuildHistogram()
                         .Name("catkinford_site_stage_seconds")
                         .Help("Time that a completed job spent in a stage, by stage and priority.")
                         .Register(registry_)),
      decide_seconds(prometheus::BuildHistogram()
                         .Name("catkinford_site_decide_seconds")
                         .Help("Duration of one decision round of the owner.")
                         .Register(registry_)
                         .Add({}, kDecideBounds)),
      listing_age_seconds(prometheus::BuildHistogram()
                              .Name("catkinford_site_listing_age_seconds")
                              .Help("Age of an instance's listing when the owner handled it.")
                              .Register(registry_)
                              .Add({}, kAgeBounds)),
      run_time_ratio(prometheus::BuildHistogram()
                         .Name("catkinford_site_run_time_ratio")
                         .Help("Actual over expected run time of tasks that ran undisturbed.")
                         .Register(registry_)
                         .Add({}, kRatioBounds)),
      takeovers(Counters(registry_, "catkinford_site_takeovers_total",
                         "Times that this entry became the owner of the site.")
                    .Add({})),
      owns_site(OneGauge(registry_, "catkinford_site_owns", "1 while this entry owns the site.")),
      jobs(OneGauge(registry_, "catkinford_site_jobs", "Jobs known to the owner.")),
      runs(OneGauge(registry_, "catkinford_site_runs", "Runs that occupy capacity.")),
      unplaceable_steps(OneGauge(registry_, "catkinford_site_unplaceable_steps",
                                 "Waiting steps that the present instances cannot hold.")),
      version(OneGauge(registry_, "catkinford_site_version",
                       "Version of the configuration in effect.")),
      store_age_seconds(OneGauge(registry_, "catkinford_site_store_age_seconds",
                                 "Time since the store last answered this entry.")),
      version_age_seconds(OneGauge(registry_, "catkinford_site_version_age_seconds",
                                   "Time since the configuration was last confirmed.")),
      evacuated_domains(OneGauge(registry_, "catkinford_site_evacuated_domains",
                                 "Failure domains that are closed to new work.")),
      unusable_registrations(
          OneGauge(registry_, "catkinford_site_unusable_registrations",
                   "Registrations that name no usable instance, as the owner last read them.")),
      version_bytes(OneGauge(registry_, "catkinford_site_version_bytes",
                             "Size of the configuration's text.")),
      version_texts_sent(Counters(registry_, "catkinford_site_version_texts_total",
                                  "Texts of the configuration sent to other entries.")
                             .Add({})),
      instance_connections(OneGauge(registry_, "catkinford_site_instance_connections",
                                    "Open connections to instances.")),
      instance_connections_opened(Counters(registry_,
                                           "catkinford_site_instance_connections_opened_total",
                                           "Connections opened to instances.")
                                      .Add({})),
      log_lines_left_out(Counters(registry_, "catkinford_site_log_lines_left_out_total",
                                  "Log lines that were dropped.")
                             .Add({})),
      request_bytes(OneGauge(registry_, "catkinford_site_request_bytes",
                             "Bytes held by requests and their answers.")),
      connections_closed(
          Counters(registry_, "catkinford_site_connections_closed_total",
                   "Connections closed because they held too much, or took too long.")
              .Add({})),
      requests_without_room(
          Counters(registry_, "catkinford_site_requests_without_room_total",
                   "Requests and connections rejected because others held too much.")
              .Add({})),
      copies_started(CopiesStarted(registry_)),
      copies_won(Counters(registry_, "catkinford_site_copies_won_total",
                          "Copies of tasks that ended as done first.")
                     .Add({})),
      copies_lost(Counters(registry_, "catkinford_site_copies_lost_total",
                           "Copies of tasks that were stopped since the first run had ended.")
                      .Add({})),
      copy_cpu_seconds(Counters(registry_, "catkinford_site_copy_cpu_seconds_total",
                                "Processor time of runs that lost against another of their task.")
                           .Add({})),
      returns_promised(Counters(registry_, "catkinford_site_returns_promised_total",
                                "Rejected callers that were promised a place.")
                           .Add({})),
      returns_kept(Counters(registry_, "catkinford_site_returns_kept_total",
                            "Callers that returned on time to the promised place.")
                       .Add({})),
      forecast_error_seconds(
          prometheus::BuildHistogram()
              .Name("catkinford_site_forecast_error_seconds")
              .Help("Wait of a job beyond the share until its first start, less its forecast.")
              .Register(registry_)
              .Add({}, kErrorBounds)) {}

void site_metrics::CountAnswer(const std::string& call, int status,
                               std::chrono::microseconds took) {
  answers_.Add({{"call", call}, {"status", std::to_string(status)}}).Increment();
  answer_seconds_.Add({{"call", call}}, kAnswerBounds)
      .Observe(std::chrono::duration<double>(took).count());
}

void site_metrics::CountStoreCall(const std::string& call, const std::string& outcome) {
  store_calls_.Add({{"call", call}, {"outcome", outcome}}).Increment();
}

void site_metrics::CountCommand(site_command command, command_result outcome) {
  constexpr std::array<const char*, kSiteCommands> kNames = {"start", "stop", "pace", "list"};
  const auto row = static_cast<size_t>(command);
  Counter*& counter = command_counters_[row][static_cast<size_t>(outcome)];
  if (counter == nullptr) {
    counter = &commands_.Add({{"order", kNames[row]}, {"outcome", std::string(ToText(outcome))}});
  }
  counter->Increment();
}

void site_metrics::CountRunEnd(run_end how) {
  Counter*& counter = run_end_counters_[static_cast<size_t>(how)];
  if (counter == nullptr) counter = &run_ends_.Add({{"how", std::string(ToText(how))}});
  counter->Increment();
}

void site_metrics::CountCopies(const copy_counts& counts) {
  for (size_t i = 0; i < kCopyReasons; ++i) {
    copies_started[i]->Increment(static_cast<double>(counts.started[i]));
  }
  copies_won.Increment(static_cast<double>(counts.won));
  copies_lost.Increment(static_cast<double>(counts.lost));
  copy_cpu_seconds.Increment(counts.wasted.count());
}

void site_metrics::CountCompletedJob(const completed_job& job) {
  const auto [found, added] = stages_of_priority_.try_emplace(job.priority);
  for (size_t i = 0; i < kJobStages; ++i) {
    const auto stage = static_cast<job_stage>(i);
    Histogram*& histogram = found->second[i];
    if (added) {
      histogram = &stage_seconds_.Add(
          {{"stage", std::string(ToText(stage))}, {"priority", std::to_string(job.priority)}},
          kStageBounds);
    }
    histogram->Observe(std::chrono::duration<double>(job.stages.Of(stage)).count());
  }
}

void site_metrics::SetInstances(speed_class speed, size_t count) {
  prometheus::Gauge*& gauge = instance_gauges_[static_cast<size_t>(speed)];
  if (gauge == nullptr) gauge = &instances_.Add({{"speed", std::string(ToText(speed))}});
  gauge->Set(static_cast<double>(count));
}

void site_metrics::CountVersionRead(const std::string& source, const std::string& outcome) {
  version_reads_.Add({{"source", source}, {"outcome", outcome}}).Increment();
}

void site_metrics::CountHandover(const std::string& outcome) {
  handovers_.Add({{"outcome", outcome}}).Increment();
}

void site_metrics::CountTraffic(const std::string& kind, const traffic& use) {
  link_bytes_.Add({{"call", kind}, {"direction", "sent"}}).Increment(static_cast<double>(use.sent));
  link_bytes_.Add({{"call", kind}, {"direction", "received"}})
      .Increment(static_cast<double>(use.received));
  for (const call_fault fault : kCallFaults) {
    if (use.Faults(fault) == 0) continue;
    call_faults_.Add({{"call", kind}, {"reason", std::string(ToText(fault))}})
        .Increment(static_cast<double>(use.Faults(fault)));
  }
}

void site_metrics::CountShed(const std::string& queue) {
  shed_.Add({{"queue", queue}}).Increment();
}

void site_metrics::SetForecastWait(const std::string& queue, std::chrono::milliseconds wait) {
  prometheus::Gauge*& gauge = forecast_waits_[queue];
  if (gauge == nullptr) gauge = &forecast_wait_seconds_.Add({{"queue", queue}});
  gauge->Set(std::chrono::duration<double>(wait).count());
}

void site_metrics::ClearForecastWaits() {
  for (const auto& [queue, gauge] : forecast_waits_) forecast_wait_seconds_.Remove(gauge);
  forecast_waits_.clear();
}

void site_metrics::SetCpuTime(const std::string& thread, std::chrono::microseconds total) {
  cpu_seconds_.Add({{"thread", thread}}).Set(std::chrono::duration<double>(total).count());
}

void site_metrics::SetConnections(const budget_counts& counts) {
  request_bytes.Set(static_cast<double>(counts.bytes));
  const auto closed = static_cast<double>(counts.closed_for_room + counts.closed_late);
  connections_closed.Increment(closed - connections_closed.Value());
  const auto rejected = static_cast<double>(counts.rejected);
  requests_without_room.Increment(rejected - requests_without_room.Value());
}

std::string site_metrics::Text() {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry_.Collect());
  return out.str();
}

}  // namespace catkinford
