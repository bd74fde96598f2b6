// Messages between entries as MessagePack arrays: their fields have no names on the wire.
#ifndef CATKINFORD_PROCESS_SITE_PACKED_MESSAGE_H_
#define CATKINFORD_PROCESS_SITE_PACKED_MESSAGE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "request/bounded_json.h"

namespace catkinford {

inline std::string PackMessage(const nlohmann::json& message) {
  std::string out;
  nlohmann::json::to_msgpack(message, out);
  return out;
}

// Applies `read` to the message, which it may move from; returns nothing if the bytes are no array
// or describe more than `max_bytes`, or if a field is missing or has a wrong type.
template <typename T, typename Read>
std::optional<T> UnpackMessage(std::string_view bytes, Read read,
                               size_t max_bytes = kMaxJsonBytes) {
  nlohmann::json in = ParseMessagePack(bytes, max_bytes);
  if (!in.is_array()) return std::nullopt;
  T out;
  try {
    read(in, out);
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
  return out;
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_PACKED_MESSAGE_H_
