// The calls of callers and operators: strict parsing from HTTP into types, before they reach the
// core. docs/PROTOCOL.md specifies the calls.
#ifndef CATKINFORD_REQUEST_CALLER_CALL_H_
#define CATKINFORD_REQUEST_CALLER_CALL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "connection/http_server.h"
#include "request/job_request.h"
#include "request/outcome.h"
#include "request/typed_error.h"

namespace catkinford {

// One job as submitted by its caller.
struct job_spec {
  workload_kind kind = workload_kind::kInteractive;
  bool urgent = false;
  bool repeatable = true;
  bool wait = false;
  bool first_ask = false;  // first use of this idempotency key, as the caller states
  uint32_t tasks = 1;
  resources each;
  std::string idempotency_key;            // empty: none
  std::chrono::milliseconds deadline{0};  // 0: not given
  std::chrono::milliseconds run_time{0};  // 0: not given
  std::string payload;
};

struct submit_call {
  std::vector<job_spec> jobs;
  bool is_batch = false;
  request_memory memory;
};
struct status_call {
  request_id id;
  std::chrono::milliseconds wait{0};
};
struct cancel_call {
  request_id id;
};
struct get_config_call {
  uint64_t version = 0;  // 0: the current one
};
struct put_config_call {
  uint64_t expect = 0;
  std::string text;
  bool dry_run = false;
};
struct config_history_call {};
struct drain_call {
  std::string endpoint;
  bool undo = false;
  bool dry_run = false;
};
struct evacuate_call {
  std::string failure_domain;
  bool dry_run = false;
};
struct members_call {};
struct timeline_call {
  uint64_t since = 0;
};
struct health_call {};
struct ready_call {};
struct metrics_call {};

using caller_call =
    std::variant<submit_call, status_call, cancel_call, get_config_call, put_config_call,
                 config_history_call, drain_call, evacuate_call, members_call, timeline_call,
                 health_call, ready_call, metrics_call>;

// Malformed input; the call had no effect.
struct call_error {
  int status = 400;
  std::string error;   // error code: bad_json, bad_field, unknown_path, wrong_method, too_many
  std::string path;    // of the field, "jobs[3].cpu_milli"
  std::string detail;  // what is expected
};

struct call_limits {
  size_t batch_jobs = 1000;
};

// Error type: call_error, for malformed input.
leaf::result<caller_call> ReadCall(const http_request& request, const call_limits& limits);

http_response ToResponse(const call_error& error);
http_response ToResponse(const outcome& result);
http_response ToResponse(const std::vector<outcome>& results);
// `{"error": code, ...}` with an HTTP status, for errors without further fields.
http_response ErrorResponse(int status, const std::string& code, const std::string& detail = {});

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_CALLER_CALL_H_
