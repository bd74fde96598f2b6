#include "process/settings_table.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <type_traits>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kSecond = 1000;
constexpr int64_t kMinute = 60 * kSecond;
constexpr int64_t kHour = 60 * kMinute;
constexpr size_t kNameLimit = 63;

struct duration_unit {
  std::string_view suffix;
  int64_t in_milliseconds;
};

constexpr std::array<duration_unit, 4> kUnits = {
    {{"h", kHour}, {"m", kMinute}, {"s", kSecond}, {"ms", 1}}};

constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info", "warning", "error"};

constexpr std::array kSettings = std::to_array<setting_info>({
    {"name", [](settings& s) { return setting_slot(&s.name); }, true, text_form::kName, 0, 0,
     "This entry's name, unique in the fleet."},
    {"failure_domain", [](settings& s) { return setting_slot(&s.failure_domain); }, true,
     text_form::kName, 0, 0, "Failure domain of this entry."},
    {"failure_domains", [](settings& s) { return setting_slot(&s.failure_domains); }, true,
     text_form::kName, 1, 64,
     "All failure domains of the fleet, in the same order on every entry."},

    {"listen.address", [](settings& s) { return setting_slot(&s.listen.address); }, false,
     text_form::kIpAddress, 0, 0, "IP address that both ports listen on and peers connect to."},
    {"listen.caller_port", [](settings& s) { return setting_slot(&s.listen.caller_port); }, true,
     text_form::kAny, 0, 65535,
     "Port for callers, operators and metrics; 0: chosen by the system."},
    {"listen.peer_port", [](settings& s) { return setting_slot(&s.listen.peer_port); }, true,
     text_form::kAny, 0, 65535, "Port for the fleet's other entries; 0: chosen by the system."},
    {"listen.tls_certificate_file",
     [](settings& s) { return setting_slot(&s.listen.tls_certificate_file); }, false,
     text_form::kAny, 0, 0, "PEM certificate of the caller port; empty: plain HTTP."},
    {"listen.tls_key_file", [](settings& s) { return setting_slot(&s.listen.tls_key_file); }, false,
     text_form::kAny, 0, 0, "PEM private key of the certificate."},
    {"listen.peer_secret_file",
     [](settings& s) { return setting_slot(&s.listen.peer_secret_file); }, false, text_form::kAny,
     0, 0, "Secrets that sign calls between entries, one per line; empty: calls are not checked."},

    {"platform.store_url", [](settings& s) { return setting_slot(&s.platform.store_url); }, true,
     text_form::kUrl, 0, 0, "Base URL of the platform's key-value store."},
    {"platform.instances_url", [](settings& s) { return setting_slot(&s.platform.instances_url); },
     true, text_form::kUrl, 0, 0, "Base URL of the platform's instance list."},
    {"platform.endpoints_fence",
     [](settings& s) { return setting_slot(&s.platform.endpoints_fence); }, false, text_form::kAny,
     0, 0,
     "Whether endpoints reject an epoch lower than the highest seen; if not, lease times protect."},

    {"shards.per_domain", [](settings& s) { return setting_slot(&s.shards.per_domain); }, false,
     text_form::kAny, 1, 64,
     "Number of shards that the endpoints of each failure domain are split into."},

    {"timing.member_lease", [](settings& s) { return setting_slot(&s.timing.member_lease); }, false,
     text_form::kAny, 100, 5 * kMinute,
     "Lease of a member in the store; shards of a lost owner are taken over after it."},
    {"timing.heartbeat", [](settings& s) { return setting_slot(&s.timing.heartbeat); }, false,
     text_form::kAny, 10, kMinute,
     "Minimum interval between heartbeats inside the failure domain."},
    {"timing.far_heartbeat", [](settings& s) { return setting_slot(&s.timing.far_heartbeat); },
     false, text_form::kAny, 10, kMinute,
     "Minimum interval between heartbeats to one other failure domain."},
    {"timing.instance_poll", [](settings& s) { return setting_slot(&s.timing.instance_poll); },
     false, text_form::kAny, 10, 5 * kMinute, "Interval between reads of the instance list."},
    {"timing.task_lease", [](settings& s) { return setting_slot(&s.timing.task_lease); }, false,
     text_form::kAny, 100, kHour,
     "Lease of a running task; without a renewal the endpoint kills the task."},
    {"timing.sync_wait", [](settings& s) { return setting_slot(&s.timing.sync_wait); }, false,
     text_form::kAny, 10, 5 * kMinute,
     "How long an endpoint may hold a sync that has nothing to report."},
    {"timing.call_timeout", [](settings& s) { return setting_slot(&s.timing.call_timeout); }, false,
     text_form::kAny, 10, kMinute, "Timeout of each call to a peer, an endpoint or the platform."},
    {"timing.identity_window", [](settings& s) { return setting_slot(&s.timing.identity_window); },
     false, text_form::kAny, 100, kHour,
     "How long the id of a finished request is retained; longer than any deadline."},
    {"timing.default_deadline",
     [](settings& s) { return setting_slot(&s.timing.default_deadline); }, false, text_form::kAny,
     10, kHour, "Deadline of a request that gives none."},
    {"timing.max_deadline", [](settings& s) { return setting_slot(&s.timing.max_deadline); }, false,
     text_form::kAny, 10, kHour, "Longest deadline that a waiting caller may request."},
    {"timing.shutdown_limit", [](settings& s) { return setting_slot(&s.timing.shutdown_limit); },
     false, text_form::kAny, 0, kHour,
     "How long a graceful shutdown waits for requests in flight."},
    {"timing.forget_drain", [](settings& s) { return setting_slot(&s.timing.forget_drain); }, false,
     text_form::kAny, 1000, 24 * kHour,
     "How long an endpoint must be off the instance list before its drain is removed."},

    {"bounds.waiting_requests",
     [](settings& s) { return setting_slot(&s.bounds.waiting_requests); }, false, text_form::kAny,
     1, 1000000, "Requests that may wait in this entry; more are rejected at once."},
    {"bounds.body_bytes", [](settings& s) { return setting_slot(&s.bounds.body_bytes); }, false,
     text_form::kAny, 1024, 64 << 20, "Maximum body size of a caller's request, in bytes."},
    {"bounds.request_bytes", [](settings& s) { return setting_slot(&s.bounds.request_bytes); },
     false, text_form::kAny, 1 << 20, int64_t{2} << 30,
     "Bytes that all requests may hold in this entry; 64 times `bounds.body_bytes` are always "
     "allowed."},
    {"bounds.batch_jobs", [](settings& s) { return setting_slot(&s.bounds.batch_jobs); }, false,
     text_form::kAny, 1, 100000, "Maximum number of jobs in one call of /v1/batch."},
    {"bounds.peer_bytes", [](settings& s) { return setting_slot(&s.bounds.peer_bytes); }, false,
     text_form::kAny, 500, 10000000,
     "Bytes per second for heartbeats, sent and received; larger fleets send them less often."},
    {"bounds.history_versions",
     [](settings& s) { return setting_slot(&s.bounds.history_versions); }, false, text_form::kAny,
     1, 2000, "Past versions of the configuration kept in the store."},
    {"bounds.history_bytes", [](settings& s) { return setting_slot(&s.bounds.history_bytes); },
     false, text_form::kAny, 1 << 20, 1 << 30,
     "Bytes of the past versions kept in the store; the oldest are deleted first."},

    {"isolation.key_grace", [](settings& s) { return setting_slot(&s.isolation.key_grace); }, false,
     text_form::kAny, 0, 24 * kHour,
     "How long keys stay trusted while isolated from the platform and all peers."},

    {"logs.level", [](settings& s) { return setting_slot(&s.logs.level); }, false,
     text_form::kLogLevel, 0, 0, "Lowest level logged: debug, info, warning or error."},
    {"logs.file", [](settings& s) { return setting_slot(&s.logs.file); }, false, text_form::kAny, 0,
     0, "Log file; empty: standard error."},
    {"logs.timeline_events", [](settings& s) { return setting_slot(&s.logs.timeline_events); },
     false, text_form::kAny, 16, 10000000,
     "Events kept for the timeline; older ones are overwritten."},
});

bool IsNameCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kNameLimit &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsIpAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes;
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

bool IsUrl(const std::string& text) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (text.starts_with(scheme) && text.size() > scheme.size() && text.back() != '/') return true;
  }
  return false;
}

std::string Quoted(const std::string& text) { return absl::StrCat("\"", text, "\""); }

std::string RangeText(int64_t lowest, int64_t highest) {
  return absl::StrCat("from ", lowest, " to ", highest);
}

std::string FormText(text_form form) {
  switch (form) {
    case text_form::kAny:
      return "a string";
    case text_form::kName:
      return "a name of letters, digits, '-', '_' and '.', at most 63";
    case text_form::kIpAddress:
      return "an IP address";
    case text_form::kUrl:
      return "a string that starts with http:// or https:// and does not end in /";
    case text_form::kLogLevel:
      return "one of debug, info, warning, error";
  }
  return "";
}

struct expected_text_writer {
  const setting_info& info;

  std::string operator()(const std::string* /*slot*/) const { return FormText(info.form); }
  std::string operator()(const std::vector<std::string>* /*slot*/) const {
    return "a list of distinct names";
  }
  std::string operator()(const bool* /*slot*/) const { return "true or false"; }
  std::string operator()(const milliseconds* /*slot*/) const {
    return "a duration with a unit (\"250ms\", \"10s\", \"10m\", \"2h\") from " +
           DurationText(milliseconds(info.lowest)) + " to " +
           DurationText(milliseconds(info.highest));
  }
  template <typename Number>
  std::string operator()(const Number* /*slot*/) const {
    return "an integer " + RangeText(info.lowest, info.highest);
  }
};

struct value_writer {
  std::string operator()(const std::string* slot) const { return Quoted(*slot); }
  std::string operator()(const std::vector<std::string>* slot) const {
    std::string out = "[";
    for (const std::string& item : *slot) {
      if (out.size() > 1) out += ", ";
      out += Quoted(item);
    }
    return out + "]";
  }
  std::string operator()(const bool* slot) const { return *slot ? "true" : "false"; }
  std::string operator()(const milliseconds* slot) const { return Quoted(DurationText(*slot)); }
  template <typename Number>
  std::string operator()(const Number* slot) const {
    return std::to_string(*slot);
  }
};

}  // namespace

std::span<const setting_info> AllSettings() { return kSettings; }

std::optional<milliseconds> ParseDuration(std::string_view text) {
  int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, count);
  if (error != std::errc() || count < 0) return std::nullopt;
  const std::string_view suffix(rest, static_cast<size_t>(end - rest));
  for (const duration_unit& unit : kUnits) {
    if (unit.suffix != suffix) continue;
    if (count > INT64_MAX / unit.in_milliseconds) return std::nullopt;
    return milliseconds(count * unit.in_milliseconds);
  }
  return std::nullopt;
}

std::string DurationText(milliseconds duration) {
  const int64_t count = duration.count();
  for (const duration_unit& unit : kUnits) {
    if (count == 0 || count % unit.in_milliseconds != 0) continue;
    return std::to_string(count / unit.in_milliseconds) + std::string(unit.suffix);
  }
  return std::to_string(count) + "ms";
}

bool HasForm(text_form form, const std::string& text) {
  switch (form) {
    case text_form::kAny:
      return true;
    case text_form::kName:
      return IsName(text);
    case text_form::kIpAddress:
      return IsIpAddress(text);
    case text_form::kUrl:
      return IsUrl(text);
    case text_form::kLogLevel:
      return std::find(kLogLevels.begin(), kLogLevels.end(), text) != kLogLevels.end();
  }
  return false;
}

std::string ExpectedText(const setting_info& info) {
  settings scratch;
  return std::visit(expected_text_writer{info}, info.slot(scratch));
}

std::string ValueText(const setting_info& info, settings& all) {
  return std::visit(value_writer{}, info.slot(all));
}

std::string SettingsTableText() {
  settings defaults;
  std::string out = "| setting | default | values | meaning |\n| --- | --- | --- | --- |\n";
  for (const setting_info& info : kSettings) {
    const std::string standard =
        info.required ? "(required)" : absl::StrCat("`", ValueText(info, defaults), "`");
    out += "| `" + std::string(info.path) + "` | " + standard + " | " + ExpectedText(info) + " | " +
           std::string(info.meaning) + " |\n";
  }
  return out;
}

}  // namespace catkinford
