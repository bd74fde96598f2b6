// Strict reading of one JSON object: each field is asked for by name, and what nobody asked for is
// an error. The first fault is kept, with its path.
#ifndef CATKINFORD_VERSION_JSON_READER_H_
#define CATKINFORD_VERSION_JSON_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nlohmann/json.hpp"
#include "version/contract.h"

namespace catkinford {

// The fault that came first; later ones do not replace it.
class first_contract_error {
 public:
  void Add(contract_fault fault, std::string path, std::string value);
  const std::optional<contract_error>& First() const { return first_; }

 private:
  std::optional<contract_error> first_;
};

// What stood there, cut to a length that fits into an answer.
std::string Excerpt(const nlohmann::json& value);

class json_object_reader {
 public:
  json_object_reader(const nlohmann::json& value, std::string path, first_contract_error& faults);
  json_object_reader(const json_object_reader&) = delete;
  json_object_reader& operator=(const json_object_reader&) = delete;

  std::string PathOf(std::string_view field) const;

  // A name: lower-case letters, digits, "-", "_" and ".", at most 64.
  std::string Name(std::string_view field);
  // Exactly `digits` lower-case hexadecimal digits.
  std::string Hex(std::string_view field, size_t digits);
  double Number(std::string_view field, double low, double high);
  uint32_t Count(std::string_view field, uint32_t high, std::optional<uint32_t> fallback);
  bool Flag(std::string_view field, bool fallback);
  // The array `field`, or null where it is absent and need not be there.
  const nlohmann::json* Array(std::string_view field, bool required);
  const nlohmann::json* Object(std::string_view field);
  // Call last: whatever was not asked for is an error.
  void RejectUnknownFields();

 private:
  const nlohmann::json* FindField(std::string_view field, bool required);
  std::string Text(std::string_view field);

  const nlohmann::json& value_;
  std::string path_;
  first_contract_error& faults_;
  std::vector<std::string> known_fields_;
};

// Whether a name stands twice in one object, anywhere: the library would quietly keep the last.
std::optional<std::string> FindDuplicateName(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_JSON_READER_H_
