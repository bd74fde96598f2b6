#include "request/bounded_json.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace catkinford {
namespace {

using nlohmann::json;

// Memory of the parts of a value, with the allocator's own bytes and, in arrays, the space for
// further elements.
constexpr size_t kElementBytes = 3 * sizeof(json);
constexpr size_t kMemberBytes = 128;
constexpr size_t kArrayBytes = 32;
constexpr size_t kObjectBytes = 64;
constexpr size_t kStringBytes = 64;
// The most that one byte of text describes: "{}," is an object that is an element.
constexpr size_t kBytesPerTextByte = (kElementBytes + kObjectBytes) / 3 + 1;

// Builds a value from the parser's events, and ends the parse at the level that is too deep, since
// the MessagePack parser calls itself for each level, and where the value takes too much memory.
class bounded_builder final : public nlohmann::json_sax<json> {
 public:
  // `reuses_buffer`: the parser reads each text into the same buffer, which it would have to grow
  // again if the text were moved from it.
  bounded_builder(bool reuses_buffer, size_t max_bytes)
      : reuses_buffer_(reuses_buffer), bytes_left_(max_bytes) {}

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(json::number_integer_t value) override { return Add(value); }
  bool number_unsigned(json::number_unsigned_t value) override { return Add(value); }
  bool number_float(json::number_float_t value, const json::string_t&) override {
    return Add(value);
  }
  bool string(json::string_t& value) override {
    if (!Take(kStringBytes + value.size())) return false;
    return reuses_buffer_ ? Add(value) : Add(std::move(value));
  }
  bool binary(json::binary_t& value) override {
    return Take(kStringBytes + value.size()) && Add(json::binary(std::move(value)));
  }
  bool start_object(size_t) override { return Take(kObjectBytes) && Open(json::value_t::object); }
  bool key(json::string_t& name) override {
    if (!Take(kMemberBytes + name.size())) return false;
    auto& members = open_.back()->get_ref<json::object_t&>();
    member_ = reuses_buffer_ ? &members[name] : &members[std::move(name)];
    return true;
  }
  bool end_object() override { return Close(); }
  bool start_array(size_t) override { return Take(kArrayBytes) && Open(json::value_t::array); }
  bool end_array() override { return Close(); }
  bool parse_error(size_t, const std::string&, const json::exception&) override { return false; }

  json Result() { return std::move(root_); }

 private:
  template <typename Value>
  json* Place(Value&& value) {
    if (open_.empty()) {
      root_ = std::forward<Value>(value);
      return &root_;
    }
    if (open_.back()->is_array()) {
      auto& elements = open_.back()->get_ref<json::array_t&>();
      elements.emplace_back(std::forward<Value>(value));
      return &elements.back();
    }
    *member_ = std::forward<Value>(value);
    return member_;
  }
  bool Take(size_t bytes) {
    if (bytes > bytes_left_) return false;
    bytes_left_ -= bytes;
    return true;
  }
  bool TakeElement() { return open_.empty() || !open_.back()->is_array() || Take(kElementBytes); }
  template <typename Value>
  bool Add(Value&& value) {
    if (!TakeElement()) return false;
    Place(std::forward<Value>(value));
    return true;
  }
  bool Open(json::value_t type) {
    if (open_.size() == kMaxJsonDepth || !TakeElement()) return false;
    open_.push_back(Place(json(type)));
    return true;
  }
  bool Close() {
    open_.pop_back();
    return true;
  }

  bool reuses_buffer_;
  size_t bytes_left_;
  json root_;
  std::vector<json*> open_;  // the arrays and objects that have begun and not ended
  json* member_ = nullptr;   // of the innermost object, named by the last key
};

// Counts values without building any.
class value_counter final : public nlohmann::json_sax<json> {
 public:
  explicit value_counter(size_t most) : left_(most) {}

  bool null() override { return Count(); }
  bool boolean(bool) override { return Count(); }
  bool number_integer(json::number_integer_t) override { return Count(); }
  bool number_unsigned(json::number_unsigned_t) override { return Count(); }
  bool number_float(json::number_float_t, const json::string_t&) override { return Count(); }
  bool string(json::string_t&) override { return Count(); }
  bool binary(json::binary_t&) override { return Count(); }
  bool start_object(size_t) override { return Count(); }
  bool key(json::string_t&) override { return Count(); }
  bool end_object() override { return true; }
  bool start_array(size_t) override { return Count(); }
  bool end_array() override { return true; }
  bool parse_error(size_t, const std::string&, const json::exception&) override { return false; }

 private:
  bool Count() { return left_-- > 0; }

  size_t left_;
};

json Parse(std::string_view bytes, json::input_format_t format, bool comments, size_t max_bytes) {
  bounded_builder builder(format == json::input_format_t::json, max_bytes);
  if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, format, true, comments)) {
    return json(json::value_t::discarded);
  }
  return builder.Result();
}

// Whole numbers up to here have an exact double each.
constexpr double kMaxExact = 9007199254740992.0;
constexpr int kNumberOutOfRange = 406;  // the library's own number for it

}  // namespace

json ParseJson(std::string_view text, bool comments, size_t max_bytes) {
  return Parse(text, json::input_format_t::json, comments, max_bytes);
}

json ParseMessagePack(std::string_view bytes, size_t max_bytes) {
  return Parse(bytes, json::input_format_t::msgpack, false, max_bytes);
}

json ParseRequestJson(std::string_view text) {
  return ParseJson(text, false, RequestJsonBytes(text.size()));
}

size_t RequestJsonBytes(size_t text_bytes) {
  constexpr size_t kSmallest = 4096;
  // Texts of that length are read only where the settings allow them: with the usual fields, they
  // describe less.
  const size_t largest = std::max(kMaxRequestJsonBytes, 16 * text_bytes);
  return std::clamp(kBytesPerTextByte * text_bytes, kSmallest, largest);
}

bool HasFewValues(std::string_view text, size_t most) {
  value_counter counter(most);
  return json::sax_parse(text.begin(), text.end(), &counter);
}

void ThrowOutOfRange(const json& value) {
  throw json::out_of_range::create(kNumberOutOfRange, "number out of range", &value);
}

bool IsOutOfRange(const json::exception& error) { return error.id == kNumberOutOfRange; }

const json* FindField(const json& object, const char* field) {
  const auto& fields = object.get_ref<const json::object_t&>();
  const auto found = fields.find(field);
  return found == fields.end() ? nullptr : &found->second;
}

int64_t SignedFrom(const json& value, int64_t low, int64_t high) {
  int64_t out = 0;
  if (value.is_number_unsigned()) {
    const auto positive = value.get<uint64_t>();
    if (positive > static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
      ThrowOutOfRange(value);
    }
    out = static_cast<int64_t>(positive);
  } else if (value.is_number_float()) {
    const auto number = value.get<double>();
    if (!(std::abs(number) <= kMaxExact) || std::trunc(number) != number) ThrowOutOfRange(value);
    out = static_cast<int64_t>(number);
  } else {
    out = value.get_ref<const json::number_integer_t&>();
  }
  if (out < low || out > high) ThrowOutOfRange(value);
  return out;
}

uint64_t UnsignedFrom(const json& value, uint64_t low, uint64_t high) {
  const bool large = value.is_number_unsigned();
  const uint64_t out =
      large ? value.get<uint64_t>()
            : static_cast<uint64_t>(SignedFrom(value, 0, std::numeric_limits<int64_t>::max()));
  if (out < low || out > high) ThrowOutOfRange(value);
  return out;
}

int64_t TruncatedFrom(const json& value, int64_t low, int64_t high) {
  if (!value.is_number_float()) return SignedFrom(value, low, high);
  const double number = std::trunc(value.get<double>());
  if (!(std::abs(number) <= kMaxExact)) ThrowOutOfRange(value);
  const auto out = static_cast<int64_t>(number);
  if (out < low || out > high) ThrowOutOfRange(value);
  return out;
}

std::chrono::milliseconds DurationFrom(const json& value) {
  return std::chrono::milliseconds(TruncatedFrom(value, 0, kMaxDuration.count()));
}

std::chrono::milliseconds DurationFrom(const json& object, const char* field) {
  const json* const found = FindField(object, field);
  return found == nullptr ? std::chrono::milliseconds{0} : DurationFrom(*found);
}

std::chrono::milliseconds DifferenceFrom(const json& value) {
  return std::chrono::milliseconds(
      TruncatedFrom(value, -kMaxDuration.count(), kMaxDuration.count()));
}

}  // namespace catkinford
