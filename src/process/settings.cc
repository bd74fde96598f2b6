#include "process/settings.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "process/settings_table.h"

namespace catkinford {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;
using failure = std::optional<settings_error>;

const setting_info* FindSetting(const std::string& path) {
  for (const setting_info& info : AllSettings()) {
    if (info.path == path) return &info;
  }
  return nullptr;
}

bool IsSection(const std::string& path) {
  const std::string prefix = path + ".";
  const auto settings_list = AllSettings();
  return std::any_of(settings_list.begin(), settings_list.end(),
                     [&](const setting_info& info) { return info.path.starts_with(prefix); });
}

// Finds names that appear twice in one object. nlohmann keeps the last one silently, so an edit of
// the first one would have no effect.
class duplicate_finder {
 public:
  bool operator()(int /*depth*/, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) names_.emplace_back();
    if (event == json::parse_event_t::object_end) names_.pop_back();
    if (event == json::parse_event_t::key) AddName(parsed.get_ref<const std::string&>());
    return true;
  }
  const std::string& Found() const { return found_; }

 private:
  void AddName(const std::string& name) {
    if (!names_.back().insert(name).second && found_.empty()) found_ = name;
  }

  std::vector<std::set<std::string>> names_;
  std::string found_;
};

std::string Print(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Reads one JSON value into the field of one setting.
struct value_reader {
  const setting_info& info;
  const json& value;

  failure Fail(settings_fault fault) const {
    return settings_error{fault, std::string(info.path), Print(value), ExpectedText(info)};
  }

  failure operator()(std::string* slot) const {
    if (!value.is_string()) return Fail(settings_fault::kWrongType);
    *slot = value.get<std::string>();
    if (!HasForm(info.form, *slot)) return Fail(settings_fault::kOutOfRange);
    return std::nullopt;
  }

  failure operator()(std::vector<std::string>* slot) const {
    if (!value.is_array()) return Fail(settings_fault::kWrongType);
    for (const json& item : value) {
      if (!item.is_string()) return Fail(settings_fault::kWrongType);
      const auto name = item.get<std::string>();
      const bool repeated = std::find(slot->begin(), slot->end(), name) != slot->end();
      if (repeated || !HasForm(info.form, name)) return Fail(settings_fault::kOutOfRange);
      slot->push_back(name);
    }
    return InRange(static_cast<int64_t>(slot->size())) ? failure()
                                                       : Fail(settings_fault::kOutOfRange);
  }

  failure operator()(bool* slot) const {
    if (!value.is_boolean()) return Fail(settings_fault::kWrongType);
    *slot = value.get<bool>();
    return std::nullopt;
  }

  failure operator()(milliseconds* slot) const {
    if (value.is_number()) return Fail(settings_fault::kWrongUnit);
    if (!value.is_string()) return Fail(settings_fault::kWrongType);
    const auto duration = ParseDuration(value.get_ref<const std::string&>());
    if (!duration) return Fail(settings_fault::kWrongUnit);
    if (!InRange(duration->count())) return Fail(settings_fault::kOutOfRange);
    *slot = *duration;
    return std::nullopt;
  }

  template <typename Number>
  failure operator()(Number* slot) const {
    if (!value.is_number_integer()) return Fail(settings_fault::kWrongType);
    // nlohmann would wrap values above the int64_t range to negative numbers.
    const bool huge =
        value.is_number_unsigned() && value.get<uint64_t>() > std::numeric_limits<int64_t>::max();
    if (huge || !InRange(value.get<int64_t>())) return Fail(settings_fault::kOutOfRange);
    *slot = static_cast<Number>(value.get<int64_t>());
    return std::nullopt;
  }

  bool InRange(int64_t number) const { return number >= info.lowest && number <= info.highest; }
};

// Reads one file and records which settings it contains.
class settings_reader {
 public:
  failure ReadObject(const json& object, const std::string& prefix) {
    for (const auto& [name, value] : object.items()) {
      if (failure error = ReadField(prefix + name, value)) return error;
    }
    return std::nullopt;
  }

  failure CheckRequired() const {
    for (const setting_info& info : AllSettings()) {
      if (!info.required || seen_.contains(std::string(info.path))) continue;
      return settings_error{settings_fault::kMissingField, std::string(info.path), "",
                            ExpectedText(info)};
    }
    return std::nullopt;
  }

  settings& Result() { return result_; }

 private:
  failure ReadField(const std::string& path, const json& value) {
    if (const setting_info* info = FindSetting(path)) {
      seen_.insert(path);
      return std::visit(value_reader{*info, value}, info->slot(result_));
    }
    if (!IsSection(path)) {
      return settings_error{settings_fault::kUnknownField, path, Print(value),
                            "a setting of docs/OPERATING.md"};
    }
    if (!value.is_object()) {
      return settings_error{settings_fault::kWrongType, path, Print(value), "an object"};
    }
    return ReadObject(value, path + ".");
  }

  settings result_;
  std::set<std::string> seen_;
};

failure Contradiction(std::string path, std::string value, std::string want) {
  return settings_error{settings_fault::kContradiction, std::move(path), std::move(value),
                        std::move(want)};
}

failure CheckDomains(const settings& s) {
  const auto& domains = s.failure_domains;
  if (std::find(domains.begin(), domains.end(), s.failure_domain) != domains.end()) {
    return std::nullopt;
  }
  return Contradiction("failure_domain", s.failure_domain, "one of failure_domains");
}

failure CheckTls(const settings& s) {
  const bool certificate = !s.listen.tls_certificate_file.empty();
  const bool key = !s.listen.tls_key_file.empty();
  if (certificate == key) return std::nullopt;
  return Contradiction("listen.tls_key_file", s.listen.tls_key_file,
                       "set together with listen.tls_certificate_file, or neither");
}

// With a heartbeat as long as the lease, a member would expire between two heartbeats; with a
// window shorter than a deadline, a retried request could start twice; with a sync held as long as
// the lease, every idle endpoint would kill its tasks.
failure CheckTiming(const settings& s) {
  const auto& t = s.timing;
  if (t.heartbeat >= t.member_lease) {
    return Contradiction("timing.heartbeat", DurationText(t.heartbeat),
                         "less than timing.member_lease");
  }
  if (t.sync_wait >= t.task_lease) {
    return Contradiction("timing.sync_wait", DurationText(t.sync_wait),
                         "less than timing.task_lease");
  }
  if (t.default_deadline > t.max_deadline) {
    return Contradiction("timing.default_deadline", DurationText(t.default_deadline),
                         "at most timing.max_deadline");
  }
  if (t.identity_window <= t.max_deadline) {
    return Contradiction("timing.identity_window", DurationText(t.identity_window),
                         "more than timing.max_deadline");
  }
  return std::nullopt;
}

}  // namespace

leaf::result<settings> ParseSettings(std::string_view text) {
  duplicate_finder duplicates;
  const json root = json::parse(text.begin(), text.end(), std::ref(duplicates), false, true);
  if (root.is_discarded() || !root.is_object()) {
    return leaf::new_error(
        settings_error{settings_fault::kNotJson, "", "", "one JSON object, comments allowed"});
  }
  if (!duplicates.Found().empty()) {
    return leaf::new_error(settings_error{settings_fault::kDuplicateField, duplicates.Found(), "",
                                          "a single occurrence"});
  }
  settings_reader reader;
  if (failure error = reader.ReadObject(root, "")) return leaf::new_error(*error);
  if (failure error = reader.CheckRequired()) return leaf::new_error(*error);
  for (const auto check : {CheckDomains, CheckTls, CheckTiming}) {
    if (failure error = check(reader.Result())) return leaf::new_error(*error);
  }
  return reader.Result();
}

leaf::result<settings> LoadSettings(const std::string& file) {
  BOOST_LEAF_AUTO(text, ReadSettingsFile(file));
  return ParseSettings(text);
}

}  // namespace catkinford
