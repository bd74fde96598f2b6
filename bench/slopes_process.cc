// Slopes of what lives as long as the process: time line, metrics.
#include <memory>
#include <string>

#include "bench/slope.h"
#include "process/identity_history.h"
#include "process/metrics.h"
#include "process/timeline.h"

namespace catkinford {
namespace {

double TimelineMemory(double events) {
  return HeapOf([&] {
    auto ring = std::make_unique<timeline>(static_cast<size_t>(events));
    for (int i = 0; i < static_cast<int>(events); ++i) {
      ring->Record(event_code::kTaskStarted, {}, {1, 2}, 3, "endpoint-0123",
                   "interactive of team-012 for entry asahikawa-2");
    }
    return ring;
  });
}

double TimelineCpu(double events) {
  timeline ring(65536);
  return CpuOf([&] {
    for (int i = 0; i < static_cast<int>(events); ++i) {
      ring.Record(event_code::kTaskStarted, {}, {1, 2}, 3, "endpoint-0123", "interactive");
    }
  });
}

double MetricsTextCpu(double scrapes) {
  metrics all;
  return CpuOf([&] {
    for (int i = 0; i < static_cast<int>(scrapes); ++i) {
      if (all.Text().empty()) return;
    }
  });
}

// Identities that have ended, with an answer of 200 bytes each.
double IdentityMemory(double identities) {
  return HeapOf([&] {
    identity_options options;
    options.capacity = static_cast<size_t>(identities) + 1;
    options.answer_bytes = size_t{1} << 30;
    auto memory = std::make_unique<identity_history>(options);
    outcome result;
    result.kind = outcome_kind::kCompleted;
    result.answer = std::string(200, 'x');
    for (uint64_t i = 1; i <= static_cast<uint64_t>(identities); ++i) {
      memory->Begin({i, i}, true, {});
      memory->Finish({i, i}, result, {});
    }
    return memory;
  });
}

}  // namespace

std::vector<slope_question> ProcessSlopes() {
  return {
      {"timeline.memory",
       "bytes",
       "event",
       {4096, 16384, 32768, 65536},
       TimelineMemory,
       "timeline, full ring, subject and detail of usual length"},
      {"timeline.record_cpu",
       "us",
       "event",
       {10000, 50000, 100000, 200000},
       TimelineCpu,
       "timeline::Record"},
      {"identity.memory",
       "bytes",
       "identity",
       {1000, 5000, 10000, 40000},
       IdentityMemory,
       "identity_memory, ended, answers of 200 bytes; the shard of today keeps whole job_state"},
      {"metrics.scrape_cpu", "us", "scrape", {10, 20, 40, 80}, MetricsTextCpu, "metrics::Text"},
  };
}

}  // namespace catkinford
