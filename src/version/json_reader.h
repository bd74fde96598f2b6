// Strict reading of one JSON object: each field is read by name, and a field that was not read
// is an error. The first error is kept, with its path.
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

// Keeps the first error; later ones do not replace it.
class first_contract_error {
 public:
  void Add(contract_fault fault, std::string path, std::string value);
  const std::optional<contract_error>& First() const { return first_; }

 private:
  std::optional<contract_error> first_;
};

// The value as text, truncated to fit into an answer.
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
  // The array `field`, or null if it is absent and not required.
  const nlohmann::json* Array(std::string_view field, bool required);
  const nlohmann::json* Object(std::string_view field);
  // Call last: a field that was not read is an error.
  void RejectUnknownFields();

 private:
  const nlohmann::json* FindField(std::string_view field, bool required);
  std::string Text(std::string_view field);

  const nlohmann::json& value_;
  std::string path_;
  first_contract_error& faults_;
  std::vector<std::string> known_fields_;
};

// A name that occurs twice in one object, at any depth: the library would silently keep the last.
std::optional<std::string> FindDuplicateName(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_JSON_READER_H_
