#include "version/json_reader.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using nlohmann::json;

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxExcerptLength = 80;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsHexDigit(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

}  // namespace

bool IsContractName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

void first_contract_error::Add(contract_fault fault, std::string path, std::string value) {
  if (!first_) first_ = contract_error{fault, std::move(path), std::move(value)};
}

std::string Excerpt(const json& value) {
  // Not serialized: that is recursive, and a million brackets would overflow the stack.
  if (value.is_object()) return "{...}";
  if (value.is_array()) return "[...]";
  return value.dump(-1, ' ', true, json::error_handler_t::replace).substr(0, kMaxExcerptLength);
}

json_object_reader::json_object_reader(const json& value, std::string path,
                                       first_contract_error& faults)
    : value_(value), path_(std::move(path)), faults_(faults) {
  if (!value_.is_object()) faults_.Add(contract_fault::kWrongType, path_, Excerpt(value_));
}

std::string json_object_reader::PathOf(std::string_view field) const {
  if (path_.empty()) return std::string(field);
  return absl::StrCat(path_, ".", std::string(field));
}

const json* json_object_reader::FindField(std::string_view field, bool required) {
  known_fields_.emplace_back(field);
  if (!value_.is_object()) return nullptr;
  const auto found = value_.find(known_fields_.back());
  if (found != value_.end()) return &*found;
  if (required) faults_.Add(contract_fault::kMissingField, PathOf(field), "");
  return nullptr;
}

std::string json_object_reader::Text(std::string_view field) {
  const json* found = FindField(field, true);
  if (found == nullptr) return {};
  if (found->is_string()) return found->get<std::string>();
  faults_.Add(contract_fault::kWrongType, PathOf(field), Excerpt(*found));
  return {};
}

std::string json_object_reader::Name(std::string_view field) {
  std::string text = Text(field);
  if (!IsContractName(text)) faults_.Add(contract_fault::kOutOfRange, PathOf(field), Excerpt(text));
  return text;
}

std::string json_object_reader::Hex(std::string_view field, size_t digits) {
  std::string text = Text(field);
  const bool valid = text.size() == digits && std::all_of(text.begin(), text.end(), IsHexDigit);
  if (!valid) faults_.Add(contract_fault::kOutOfRange, PathOf(field), Excerpt(text));
  return text;
}

double json_object_reader::Number(std::string_view field, double low, double high) {
  const json* found = FindField(field, true);
  if (found == nullptr) return low;
  if (!found->is_number()) {
    faults_.Add(contract_fault::kWrongType, PathOf(field), Excerpt(*found));
    return low;
  }
  const auto number = found->get<double>();
  if (number >= low && number <= high) return number;
  faults_.Add(contract_fault::kOutOfRange, PathOf(field), Excerpt(*found));
  return low;
}

uint32_t json_object_reader::Count(std::string_view field, uint32_t high,
                                   std::optional<uint32_t> fallback) {
  const json* found = FindField(field, !fallback.has_value());
  if (found == nullptr) return fallback.value_or(0);
  if (!found->is_number_integer()) {
    faults_.Add(contract_fault::kWrongType, PathOf(field), Excerpt(*found));
    return 0;
  }
  // Negative numbers are signed here, and all others unsigned.
  if (found->is_number_unsigned() && found->get<uint64_t>() <= high) {
    return found->get<uint32_t>();
  }
  faults_.Add(contract_fault::kOutOfRange, PathOf(field), Excerpt(*found));
  return 0;
}

bool json_object_reader::Flag(std::string_view field, bool fallback) {
  const json* found = FindField(field, false);
  if (found == nullptr) return fallback;
  if (found->is_boolean()) return found->get<bool>();
  faults_.Add(contract_fault::kWrongType, PathOf(field), Excerpt(*found));
  return fallback;
}

const json* json_object_reader::Array(std::string_view field, bool required) {
  const json* found = FindField(field, required);
  if (found == nullptr || found->is_array()) return found;
  faults_.Add(contract_fault::kWrongType, PathOf(field), Excerpt(*found));
  return nullptr;
}

const json* json_object_reader::Object(std::string_view field) { return FindField(field, true); }

void json_object_reader::RejectUnknownFields() {
  if (!value_.is_object()) return;
  for (const auto& [name, value] : value_.items()) {
    if (std::find(known_fields_.begin(), known_fields_.end(), name) != known_fields_.end())
      continue;
    faults_.Add(contract_fault::kUnknownField, PathOf(name), Excerpt(value));
  }
}

std::optional<std::string> FindDuplicateName(std::string_view text) {
  std::vector<absl::flat_hash_set<std::string>> open;
  std::optional<std::string> repeated;
  const json::parser_callback_t on_event = [&](int /*depth*/, json::parse_event_t event,
                                               json& parsed) {
    if (event == json::parse_event_t::object_start) open.emplace_back();
    if (event == json::parse_event_t::object_end) open.pop_back();
    if (event == json::parse_event_t::key) {
      auto name = parsed.get<std::string>();
      if (!open.back().insert(name).second && !repeated) repeated = std::move(name);
    }
    return true;
  };
  const json ignored = json::parse(text, on_event, false, true);
  return repeated;
}

}  // namespace catkinford
