// Reads fields of a JSON object received over the network. A field that is absent or of another
// type yields a default instead of an exception.
#ifndef CATKINFORD_CONNECTION_JSON_FIELDS_H_
#define CATKINFORD_CONNECTION_JSON_FIELDS_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "request/bounded_json.h"

namespace catkinford {

// The unsigned number at `name`, or `fallback` if there is none or it does not fit `Integer`.
template <typename Integer = uint64_t>
Integer NumberAt(const nlohmann::json& object, const char* name, Integer fallback = 0) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned()) return fallback;
  const auto value = found->get<uint64_t>();
  return value > static_cast<uint64_t>(std::numeric_limits<Integer>::max())
             ? fallback
             : static_cast<Integer>(value);
}

inline std::chrono::milliseconds MillisecondsAt(const nlohmann::json& object, const char* name) {
  return std::chrono::milliseconds{NumberAt<int64_t>(object, name)};
}

inline std::string TextAt(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return {};
  return found->get_ref<const std::string&>();
}

inline bool FlagAt(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_boolean() && found->get<bool>();
}

// The array at `name`, or an empty array.
inline const nlohmann::json& ArrayAt(const nlohmann::json& object, const char* name) {
  static const nlohmann::json none = nlohmann::json::array();
  const auto found = object.find(name);
  return found != object.end() && found->is_array() ? *found : none;
}

// `text` as a quoted and escaped JSON string; invalid UTF-8 is replaced.
inline std::string Quoted(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Parses a JSON object; returns a discarded value if `text` is not one. Never throws.
inline nlohmann::json ParseObject(const std::string& text) {
  nlohmann::json parsed = ParseJson(text);
  if (!parsed.is_object()) return nlohmann::json(nlohmann::json::value_t::discarded);
  return parsed;
}

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_JSON_FIELDS_H_
