// Reads JSON and MessagePack that another process wrote. No stack grows with the input, the memory
// that a value takes is bounded, and numbers are read within a range.
//
// The parsed value may be copied, compared, written and destroyed, all of which descend into it:
// its depth is bounded while it is read. A number out of range throws json::out_of_range, which
// callers catch with the faults of missing fields and of fields of another type.
#ifndef CATKINFORD_REQUEST_BOUNDED_JSON_H_
#define CATKINFORD_REQUEST_BOUNDED_JSON_H_

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace catkinford {

// Levels of arrays and objects, the outermost included. Every message here has fewer than ten.
inline constexpr size_t kMaxJsonDepth = 32;

// Longest duration, and latest time since 1970, that is read: 100 years. Sums stay in range.
inline constexpr std::chrono::milliseconds kMaxDuration = std::chrono::hours(24 * 36500);

// Memory of a value, and of one that a request describes. One byte of MessagePack can describe an
// object, which takes a hundred.
inline constexpr size_t kMaxJsonBytes = size_t{64} << 20;
inline constexpr size_t kMaxRequestJsonBytes = size_t{8} << 20;

// Return a discarded value (is_discarded()) if the bytes can't be read, are nested more deeply or
// describe a value that takes more than `max_bytes`. `comments`: as in C++, are ignored.
nlohmann::json ParseJson(std::string_view text, bool comments = false,
                         size_t max_bytes = kMaxJsonBytes);
nlohmann::json ParseMessagePack(std::string_view bytes, size_t max_bytes = kMaxJsonBytes);
// Of a value that a request's text describes.
nlohmann::json ParseRequestJson(std::string_view text);
// The most that ParseRequestJson() takes for a text of this length.
size_t RequestJsonBytes(size_t text_bytes);
// Whether the text is JSON of at most `most` values, keys included.
bool HasFewValues(std::string_view text, size_t most);

[[noreturn]] void ThrowOutOfRange(const nlohmann::json& value);
// Whether `error` is of ThrowOutOfRange().
bool IsOutOfRange(const nlohmann::json::exception& error);

// Null if the object has no such field; throws if it is no object.
const nlohmann::json* FindField(const nlohmann::json& object, const char* field);

// A whole number from `low` to `high`. A fraction of zero is allowed: some writers send no other
// numbers.
int64_t SignedFrom(const nlohmann::json& value, int64_t low, int64_t high);
uint64_t UnsignedFrom(const nlohmann::json& value, uint64_t low, uint64_t high);

template <std::integral T>
T WholeFrom(const nlohmann::json& value, T low = std::numeric_limits<T>::min(),
            T high = std::numeric_limits<T>::max()) {
  if constexpr (std::signed_integral<T>) {
    return static_cast<T>(SignedFrom(value, low, high));
  } else {
    return static_cast<T>(UnsignedFrom(value, low, high));
  }
}
// The same of an object's field; `fallback` if there is none.
template <std::integral T>
T WholeFrom(const nlohmann::json& object, const char* field, T fallback) {
  const nlohmann::json* const found = FindField(object, field);
  return found == nullptr ? fallback : WholeFrom<T>(*found);
}
// The elements of an array.
template <std::integral T>
std::vector<T> WholesFrom(const nlohmann::json& array) {
  std::vector<T> out;
  out.reserve(array.size());
  for (const nlohmann::json& each : array) out.push_back(WholeFrom<T>(each));
  return out;
}
template <std::integral T>
std::vector<T> WholesFrom(const nlohmann::json& object, const char* field) {
  const nlohmann::json* const found = FindField(object, field);
  return found == nullptr ? std::vector<T>() : WholesFrom<T>(*found);
}

// A number from `low` to `high`, without its fraction.
int64_t TruncatedFrom(const nlohmann::json& value, int64_t low, int64_t high);
// Milliseconds, from 0 or, for differences, from -kMaxDuration to kMaxDuration.
std::chrono::milliseconds DurationFrom(const nlohmann::json& value);
// Of an object's field; 0 if there is none.
std::chrono::milliseconds DurationFrom(const nlohmann::json& object, const char* field);
std::chrono::milliseconds DifferenceFrom(const nlohmann::json& value);

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_BOUNDED_JSON_H_
