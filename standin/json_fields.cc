#include "standin/json_fields.h"

namespace catkinford {

const nlohmann::json& ChildOf(const nlohmann::json& object, const char* name) {
  static const nlohmann::json null_value;
  if (!object.is_object()) return null_value;
  const auto found = object.find(name);
  return found == object.end() ? null_value : *found;
}

int64_t IntOf(const nlohmann::json& object, const char* name, int64_t fallback) {
  const nlohmann::json& child = ChildOf(object, name);
  return child.is_number() ? child.get<int64_t>() : fallback;
}

double NumberOf(const nlohmann::json& object, const char* name, double fallback) {
  const nlohmann::json& child = ChildOf(object, name);
  return child.is_number() ? child.get<double>() : fallback;
}

std::string TextOf(const nlohmann::json& object, const char* name, const std::string& fallback) {
  const nlohmann::json& child = ChildOf(object, name);
  return child.is_string() ? child.get<std::string>() : fallback;
}

bool BoolOf(const nlohmann::json& object, const char* name, bool fallback) {
  const nlohmann::json& child = ChildOf(object, name);
  return child.is_boolean() ? child.get<bool>() : fallback;
}

std::chrono::milliseconds MillisecondsOf(const nlohmann::json& object, const char* name,
                                         std::chrono::milliseconds fallback) {
  return std::chrono::milliseconds{IntOf(object, name, fallback.count())};
}

resources ResourcesOf(const nlohmann::json& object) {
  return {static_cast<uint32_t>(IntOf(object, "cpu_milli", 0)),
          static_cast<uint32_t>(IntOf(object, "memory_mb", 0)),
          static_cast<uint32_t>(IntOf(object, "accelerators", 0)),
          static_cast<uint32_t>(IntOf(object, "slots", 0))};
}

nlohmann::json ToJson(const resources& amount) {
  return {{"cpu_milli", amount.cpu_milli},
          {"memory_mb", amount.memory_mb},
          {"accelerators", amount.accelerators},
          {"slots", amount.slots}};
}

http_response JsonReply(int status, const nlohmann::json& body) {
  return {status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

http_response ErrorReply(int status, const char* error) {
  return JsonReply(status, {{"error", error}});
}

}  // namespace catkinford
