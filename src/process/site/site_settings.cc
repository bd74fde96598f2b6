#include "process/site/site_settings.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr double kMillisPerSecond = 1000;

// Parser of one field; `expected` describes valid values in errors.
struct field_rule {
  std::function<bool(const json&, site_settings&)> apply;
  const char* expected;
  bool required = false;
};

template <typename Pick>
field_rule Text(Pick pick, bool required) {
  return {[pick](const json& in, site_settings& out) {
            if (!in.is_string()) return false;
            pick(out) = in.get<std::string>();
            return !pick(out).empty();
          },
          "a non-empty string", required};
}

template <typename Pick>
field_rule OptionalText(Pick pick) {
  return {[pick](const json& in, site_settings& out) {
            if (in.is_null()) return true;
            if (!in.is_string()) return false;
            pick(out) = in.get<std::string>();
            return true;
          },
          "a string or null"};
}

// `scale`: milliseconds per unit of the field.
template <typename Pick>
field_rule Time(Pick pick, double scale) {
  return {[pick, scale](const json& in, site_settings& out) {
            if (in.is_null()) return true;
            if (!in.is_number() || in.get<double>() <= 0) return false;
            pick(out) = milliseconds(static_cast<int64_t>(in.get<double>() * scale));
            return true;
          },
          "a number above 0, or null"};
}

template <typename Pick>
field_rule Number(Pick pick) {
  return {[pick](const json& in, site_settings& out) {
            if (in.is_null()) return true;
            if (!in.is_number() || in.get<double>() <= 0) return false;
            pick(out) = in.get<double>();
            return true;
          },
          "a number above 0, or null"};
}

template <typename Pick>
field_rule Switch(Pick pick) {
  return {[pick](const json& in, site_settings& out) {
            if (!in.is_boolean()) return false;
            pick(out) = in.get<bool>();
            return true;
          },
          "true or false"};
}

template <typename Pick>
field_rule Port(Pick pick, bool required) {
  return {[pick](const json& in, site_settings& out) {
            if (!in.is_number_integer()) return false;
            const auto port = in.get<int64_t>();
            if (port < 0 || port > UINT16_MAX) return false;
            pick(out) = static_cast<uint16_t>(port);
            return true;
          },
          "a port, 0 to 65535", required};
}

const std::map<std::string, field_rule>& Rules() {
  using s = site_settings;
  static const std::map<std::string, field_rule> rules = {
      {"name", Text([](s& o) -> std::string& { return o.name; }, true)},
      {"failure_domain", Text([](s& o) -> std::string& { return o.failure_domain; }, true)},
      {"listen.callers", Text([](s& o) -> std::string& { return o.listen.callers; }, true)},
      {"listen.ready", Text([](s& o) -> std::string& { return o.listen.ready; }, true)},
      {"listen.address", Text([](s& o) -> std::string& { return o.listen.address; }, true)},
      {"listen.peer_port", Port([](s& o) -> uint16_t& { return o.listen.peer_port; }, true)},
      {"listen.metrics_port", Port([](s& o) -> uint16_t& { return o.listen.metrics_port; }, false)},
      {"platform.store", Text([](s& o) -> std::string& { return o.platform.store; }, true)},
      {"platform.advice", OptionalText([](s& o) -> std::string& { return o.platform.advice; })},
      {"platform.call_timeout_ms",
       Time([](s& o) -> milliseconds& { return o.platform.call_timeout; }, 1)},
      {"platform.order_timeout_ms",
       Time([](s& o) -> milliseconds& { return o.platform.order_timeout; }, 1)},
      {"platform.shortest_lease_ms",
       Time([](s& o) -> milliseconds& { return o.platform.shortest_lease; }, 1)},
      {"bounds.longest_run_lease_ms",
       Time([](s& o) -> milliseconds& { return o.bounds.longest_run_lease; }, 1)},
      {"bounds.stop_limit_ms", Time([](s& o) -> milliseconds& { return o.bounds.stop_limit; }, 1)},
      {"bounds.gang_limit_ms", Time([](s& o) -> milliseconds& { return o.bounds.gang_limit; }, 1)},
      {"bounds.early_limit_ms",
       Time([](s& o) -> milliseconds& { return o.bounds.early_limit; }, 1)},
      {"bounds.keep_final_s",
       Time([](s& o) -> milliseconds& { return o.bounds.keep_final; }, kMillisPerSecond)},
      {"bounds.shutdown_limit_s",
       Time([](s& o) -> milliseconds& { return o.bounds.shutdown_limit; }, kMillisPerSecond)},
      {"bounds.config_limit_ms",
       Time([](s& o) -> milliseconds& { return o.bounds.config_limit; }, 1)},
      {"bounds.remote_factor", Number([](s& o) -> double& { return o.bounds.remote_factor; })},
      {"machine.cpu_share", Number([](s& o) -> double& { return o.machine.cpu_share; })},
      {"machine.link_mbps", Number([](s& o) -> double& { return o.machine.link_mbps; })},
      {"machine.memory_mb", Number([](s& o) -> double& { return o.machine.memory_mb; })},
      {"machine.descriptors", Number([](s& o) -> double& { return o.machine.descriptors; })},
      {"timing.owner_lease_ms",
       Time([](s& o) -> milliseconds& { return o.timing.owner_lease; }, 1)},
      {"timing.run_lease_ms", Time([](s& o) -> milliseconds& { return o.timing.run_lease; }, 1)},
      {"timing.registry_poll_ms",
       Time([](s& o) -> milliseconds& { return o.timing.registry_poll; }, 1)},
      {"timing.watch_wait_ms", Time([](s& o) -> milliseconds& { return o.timing.watch_wait; }, 1)},
      {"instance_speed.enabled", Switch([](s& o) -> bool& { return o.instance_speed.enabled; })},
      {"overload.enabled", Switch([](s& o) -> bool& { return o.overload.enabled; })},
      {"overload.figures_valid_ms",
       Time([](s& o) -> milliseconds& { return o.overload.figures_valid; }, 1)},
      {"overload.max_retry_after_s",
       Time([](s& o) -> milliseconds& { return o.overload.max_retry_after; }, kMillisPerSecond)},
      {"copies.enabled", Switch([](s& o) -> bool& { return o.copies.enabled; })},
      {"copies.max_share", Number([](s& o) -> double& { return o.copies.max_share; })},
      {"learning.persist", Switch([](s& o) -> bool& { return o.learning.persist; })},
      {"logs.lines_per_second",
       {[](const json& in, s& o) {
          if (!in.is_number_unsigned()) return false;
          o.logs.lines_per_second = in.get<uint32_t>();
          return true;
        },
        "a non-negative integer"}},
  };
  return rules;
}

leaf::result<void> ApplyField(const std::string& path, const json& value, site_settings& out,
                              std::map<std::string, bool>& seen) {
  const auto rule = Rules().find(path);
  if (rule == Rules().end()) {
    return leaf::new_error(settings_error{settings_fault::kUnknownField, path, value.dump(), ""});
  }
  if (!rule->second.apply(value, out)) {
    return leaf::new_error(
        settings_error{settings_fault::kWrongType, path, value.dump(), rule->second.expected});
  }
  seen[path] = true;
  return {};
}

}  // namespace

leaf::result<site_settings> ParseSiteSettings(std::string_view text) {
  const json in = ParseJson(text, true);
  if (!in.is_object()) {
    return leaf::new_error(settings_error{settings_fault::kNotJson, "", "", "a JSON object"});
  }
  site_settings out;
  std::map<std::string, bool> seen;
  for (const auto& [name, value] : in.items()) {
    if (!value.is_object()) {
      leaf::result<void> applied = ApplyField(name, value, out, seen);
      if (!applied) return applied.error();
      continue;
    }
    for (const auto& [inner, field] : value.items()) {
      leaf::result<void> applied = ApplyField(absl::StrCat(name, ".", inner), field, out, seen);
      if (!applied) return applied.error();
    }
  }
  for (const auto& [path, rule] : Rules()) {
    if (rule.required && !seen.contains(path)) {
      return leaf::new_error(
          settings_error{settings_fault::kMissingField, path, "", rule.expected});
    }
  }
  return out;
}

std::vector<std::string> AllSiteSettings() {
  std::vector<std::string> out;
  out.reserve(Rules().size());
  for (const auto& [path, rule] : Rules()) out.push_back(path);
  return out;
}

leaf::result<site_settings> LoadSiteSettings(const std::string& file) {
  BOOST_LEAF_AUTO(text, ReadSettingsFile(file));
  return ParseSiteSettings(text);
}

}  // namespace catkinford
