#include "request/step_graph.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "request/bounded_json.h"
#include "request/text_compression.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json StepToJson(const step_spec& step) {
  json out;
  out["n"] = step.count;
  out["cpu"] = step.need.cpu_milli;
  out["mem"] = step.need.memory_mb;
  if (step.need.accelerators > 0) out["acc"] = step.need.accelerators;
  out["est"] = step.estimate.count();
  if (!step.after.empty()) out["after"] = step.after;
  if (step.checkpointing) out["ckpt"] = true;
  if (step.gang) out["gang"] = true;
  if (step.same_rack) out["rack"] = true;
  if (step.speculative) out["spec"] = true;
  if (step.long_running) out["long"] = true;
  if (step.fills) out["fill"] = true;
  if (!step.required_label.empty()) out["label"] = step.required_label;
  if (!step.data_rack.empty()) out["data"] = step.data_rack;
  if (step.max_per_instance > 0) out["most"] = step.max_per_instance;
  if (!step.image.empty()) out["image"] = step.image;
  if (step.tail_latency_target.count() > 0) out["tail"] = step.tail_latency_target.count();
  if (step.max_unavailable > 0) out["miss"] = step.max_unavailable;
  return out;
}

step_spec StepFromJson(const json& in) {
  step_spec step;
  step.count = WholeFrom<uint32_t>(in.at("n"));
  step.need.cpu_milli = WholeFrom<uint32_t>(in.at("cpu"));
  step.need.memory_mb = WholeFrom<uint32_t>(in.at("mem"));
  step.need.accelerators = WholeFrom<uint32_t>(in, "acc", 0);
  step.estimate = DurationFrom(in.at("est"));
  step.after = WholesFrom<uint32_t>(in, "after");
  step.checkpointing = in.value("ckpt", false);
  step.gang = in.value("gang", false);
  step.same_rack = in.value("rack", false);
  step.speculative = in.value("spec", false);
  step.long_running = in.value("long", false);
  step.fills = in.value("fill", false);
  step.required_label = in.value("label", std::string());
  step.data_rack = in.value("data", std::string());
  step.max_per_instance = WholeFrom<uint32_t>(in, "most", 0);
  step.image = in.value("image", std::string());
  step.tail_latency_target = DurationFrom(in, "tail");
  step.max_unavailable = WholeFrom<uint32_t>(in, "miss", 0);
  return step;
}

json TermsToJson(const job_terms& terms) {
  json out;
  out["service"] = terms.service;
  out["priority"] = terms.priority;
  out["attempts"] = terms.max_attempts;
  out["stretch"] = terms.stretch;
  out["target"] = terms.target_latency.count();
  if (terms.needs_advice) out["advice"] = true;
  return out;
}

job_terms TermsFromJson(const json& in) {
  job_terms terms;
  terms.service = in.at("service").get<std::string>();
  terms.priority = WholeFrom<int>(in.at("priority"));
  terms.max_attempts = WholeFrom<uint32_t>(in.at("attempts"));
  terms.stretch = in.at("stretch").get<double>();
  terms.target_latency = DurationFrom(in.at("target"));
  terms.needs_advice = in.value("advice", false);
  return terms;
}

int64_t Millis(wall_time time) { return time.time_since_epoch().count(); }

bool DependsOnEarlier(const std::vector<step_spec>& steps) {
  for (size_t i = 0; i < steps.size(); ++i) {
    for (const uint32_t earlier : steps[i].after) {
      if (earlier >= i) return false;
    }
  }
  return true;
}

}  // namespace

std::string_view ToText(graph_fault fault) {
  switch (fault) {
    case graph_fault::kBadId:
      return "bad_id";
    case graph_fault::kNoSteps:
      return "no_steps";
    case graph_fault::kTooManySteps:
      return "too_many_steps";
    case graph_fault::kNoTasks:
      return "no_tasks";
    case graph_fault::kTooManyTasks:
      return "too_many_tasks";
    case graph_fault::kBadDependency:
      return "bad_dependency";
    case graph_fault::kPayloadTooLong:
      return "payload_too_long";
    case graph_fault::kBadRepeats:
      return "bad_repeats";
  }
  return "unknown";
}

bool IsGraphId(std::string_view id) {
  const auto is_digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
  };
  return id.size() == kGraphIdLength && std::all_of(id.begin(), id.end(), is_digit);
}

leaf::result<void> CheckGraph(const graph_job& job) {
  if (!IsGraphId(job.id)) return leaf::new_error(graph_fault::kBadId);
  if (job.steps.empty()) return leaf::new_error(graph_fault::kNoSteps);
  if (job.steps.size() > kMaxSteps) return leaf::new_error(graph_fault::kTooManySteps);
  if (job.payload.size() > kMaxPayload) return leaf::new_error(graph_fault::kPayloadTooLong);
  for (const step_spec& step : job.steps) {
    if (step.count == 0) return leaf::new_error(graph_fault::kNoTasks);
    if (step.count > kMaxTasksPerStep) return leaf::new_error(graph_fault::kTooManyTasks);
  }
  if (!DependsOnEarlier(job.steps)) return leaf::new_error(graph_fault::kBadDependency);
  if (job.repeats > kMaxOccurrences || (job.repeats > 1 && job.interval.count() <= 0)) {
    return leaf::new_error(graph_fault::kBadRepeats);
  }
  return {};
}

milliseconds CriticalPathLength(const std::vector<step_spec>& steps,
                                std::span<const milliseconds> durations) {
  std::vector<milliseconds> ends(steps.size(), milliseconds{0});
  milliseconds longest{0};
  for (size_t i = 0; i < steps.size(); ++i) {
    milliseconds begin{0};
    for (const uint32_t earlier : steps[i].after) begin = std::max(begin, ends[earlier]);
    ends[i] = begin + durations[i];
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

std::string JobToText(const graph_job& job) {
  json out;
  out["id"] = job.id;
  out["queue"] = job.queue;
  if (!job.workspace.empty()) out["workspace"] = job.workspace;
  out["payload"] = job.payload;
  if (!job.accepted_by.empty()) out["by"] = job.accepted_by;
  if (job.known_epoch != 0) out["epoch"] = job.known_epoch;
  out["terms"] = TermsToJson(job.terms);
  out["accepted"] = Millis(job.accepted);
  if (job.repeats > 0) {
    out["first"] = Millis(job.first_run);
    out["every"] = job.interval.count();
    out["repeats"] = job.repeats;
  }
  json steps = json::array();
  for (const step_spec& step : job.steps) steps.push_back(StepToJson(step));
  out["steps"] = std::move(steps);
  // Invalid UTF-8 in a payload is replaced: it must not make the record unwritable.
  return CompressText(out.dump(-1, ' ', false, json::error_handler_t::replace));
}

leaf::result<graph_job> JobFromText(std::string_view bytes) {
  const auto text = DecompressText(bytes);
  if (!text) return leaf::new_error(record_parse_error{});
  const json in = ParseJson(*text, false, kMaxRequestJsonBytes);
  if (!in.is_object()) return leaf::new_error(record_parse_error{});
  graph_job job;
  try {
    job.id = in.at("id").get<std::string>();
    job.queue = in.at("queue").get<std::string>();
    job.workspace = in.value("workspace", std::string());
    job.payload = in.at("payload").get<std::string>();
    job.accepted_by = in.value("by", std::string());
    job.known_epoch = WholeFrom<uint64_t>(in, "epoch", 0);
    job.terms = TermsFromJson(in.at("terms"));
    job.accepted = wall_time(DurationFrom(in.at("accepted")));
    job.first_run = wall_time(DurationFrom(in, "first"));
    job.interval = DurationFrom(in, "every");
    job.repeats = WholeFrom<uint32_t>(in, "repeats", 0);
    for (const json& step : in.at("steps")) job.steps.push_back(StepFromJson(step));
  } catch (const json::exception&) {
    return leaf::new_error(record_parse_error{});
  }
  leaf::result<void> valid = CheckGraph(job);
  if (!valid) return valid.error();
  return job;
}

}  // namespace catkinford
