// Bytes of another process: their depth and their numbers.
#include "request/bounded_json.h"

#include <malloc.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

namespace catkinford {
namespace {

using nlohmann::json;

std::string NestedJson(size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

// Arrays of one array each, and a number in the innermost.
std::string NestedMessagePack(size_t levels) { return std::string(levels, '\x91') + '\x01'; }

// Guards against a stack that grows with the input: 50,000 levels of MessagePack ended a process.
TEST_CASE("bounded json, nested more deeply than any message, is discarded") {
  for (const size_t levels : {kMaxJsonDepth + 1, size_t{300'000}, size_t{1} << 20}) {
    CHECK(ParseJson(NestedJson(levels)).is_discarded());
    CHECK(ParseMessagePack(NestedMessagePack(levels)).is_discarded());
  }
  // Members of objects: {"": {"": ...
  std::string objects;
  std::string packed;
  for (int i = 0; i < 300'000; ++i) objects += R"({"":)";
  for (int i = 0; i < 300'000; ++i) packed += "\x81\xa0";
  CHECK(ParseJson(objects).is_discarded());
  CHECK(ParseMessagePack(packed).is_discarded());
}

// Of the heap, for the value that a text of `size` bytes describes.
size_t HeapOfValue(const std::string& element, size_t size) {
  std::string text = "[" + element;
  while (text.size() + element.size() + 2 <= size) text += "," + element;
  text += "]";
  const size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  const json value = ParseRequestJson(text);
  CHECK(value.is_array());
  return mallinfo2().uordblks + mallinfo2().hblkhd - before;
}

// Guards against a request that takes more memory than was set aside for it.
TEST_CASE("bounded json, request of small values, takes what is stated for its length") {
  constexpr size_t kText = 100'000;
  for (const char* element : {"{}", "[]", "0", "\"\"", "{\"\":0}", "[[]]", "\"sixteen letters!\"",
                              R"({"a":{"b":1,"c":[]}})"}) {
    INFO(element);
    CHECK(HeapOfValue(element, kText) <= RequestJsonBytes(kText));
  }
}

// Guards against a short message that describes more than the machine's memory holds.
TEST_CASE("bounded json, value above its limit, is discarded") {
  const std::string packed = std::string("\xdd\x00\x01\x00\x00", 5) + std::string(0x10000, '\x80');
  CHECK_FALSE(ParseMessagePack(packed).is_discarded());
  CHECK(ParseMessagePack(packed, size_t{4} << 20).is_discarded());
  std::string text = "[{}";
  for (int i = 0; i < 10000; ++i) text += ",{}";
  text += "]";
  CHECK_FALSE(ParseJson(text).is_discarded());
  CHECK(ParseJson(text, false, 100'000).is_discarded());
}

TEST_CASE("bounded json, values counted, are few or too many") {
  CHECK(HasFewValues(R"({"a":{"b":"c"},"d":1})", 8));
  CHECK_FALSE(HasFewValues(R"({"a":{"b":"c"},"d":1})", 6));
  CHECK_FALSE(HasFewValues(R"({"a")", 8));
  CHECK_FALSE(HasFewValues(std::string(300'000, '['), 8));
}

TEST_CASE("bounded json, nested to the limit, is read") {
  CHECK(ParseJson(NestedJson(kMaxJsonDepth)) == json::parse(NestedJson(kMaxJsonDepth)));
  CHECK_FALSE(ParseMessagePack(NestedMessagePack(kMaxJsonDepth)).is_discarded());
}

TEST_CASE("bounded json, values of all types, are read as the library reads them") {
  const std::string text =
      R"({"a":[1,-2,3.5,1e3,true,null,"x\u00e4",{"b":{},"c":[]}],"a2":18446744073709551615,"d":"",
          "twice":1,"twice":[2]})";
  const json expected = json::parse(text);
  CHECK(ParseJson(text) == expected);
  std::string packed;
  json::to_msgpack(expected, packed);
  CHECK(ParseMessagePack(packed) == expected);
  CHECK(ParseJson("7") == json(7));
  CHECK(ParseJson("/* note */ {\"a\": 1} // end", true) == json{{"a", 1}});
}

TEST_CASE("bounded json, unreadable, is discarded") {
  for (const char* text : {"", "{", "[1,]", "nul", "{\"a\":1}x", "[1e999]", "\"\xff\"", "// x"}) {
    INFO(text);
    CHECK(ParseJson(text).is_discarded());
  }
  for (const std::string& bytes : {std::string(), std::string("\xc1"), std::string("\x92\x01"),
                                   std::string("\x01\x01"), std::string("\xdd\xff\xff\xff\xff")}) {
    CHECK(ParseMessagePack(bytes).is_discarded());
  }
}

template <typename T>
bool Whole(const char* text) {
  try {
    WholeFrom<T>(json::parse(text));
  } catch (const json::exception&) {
    return false;
  }
  return true;
}

// Guards against numbers that wrap: run 4,294,967,297 became run 1.
TEST_CASE("whole number, beyond its type, is a fault") {
  CHECK(Whole<uint32_t>("4294967295"));
  CHECK_FALSE(Whole<uint32_t>("4294967296"));
  CHECK_FALSE(Whole<uint32_t>("4294967297"));
  CHECK_FALSE(Whole<uint32_t>("-1"));
  CHECK(Whole<uint64_t>("18446744073709551615"));
  CHECK_FALSE(Whole<uint64_t>("18446744073709551616"));
  CHECK(Whole<int64_t>("-9223372036854775808"));
  CHECK_FALSE(Whole<int64_t>("9223372036854775808"));
  CHECK(Whole<int>("-2147483648"));
  CHECK_FALSE(Whole<int>("2147483648"));
  CHECK_FALSE(Whole<int64_t>("1e300"));
}

// Guards against a fraction that is cut, and against a value of another type that is converted.
TEST_CASE("whole number, with a fraction or of another type, is a fault") {
  CHECK(Whole<uint32_t>("17.0"));
  CHECK_FALSE(Whole<uint32_t>("17.5"));
  CHECK_FALSE(Whole<uint32_t>("true"));
  CHECK_FALSE(Whole<uint32_t>("\"17\""));
  CHECK_FALSE(Whole<uint32_t>("null"));
  CHECK(WholeFrom<uint32_t>(json{{"a", 3}}, "b", 7) == 7);
  CHECK_THROWS_AS(WholeFrom<uint32_t>(json::array(), "b", 7), json::exception);
  CHECK_THROWS_AS(WholesFrom<uint32_t>(json::parse("[1,4294967296]")), json::exception);
}

// Guards against a cast of a double that its type can't hold, whose result differs by processor.
TEST_CASE("duration, beyond any duration, is a fault") {
  CHECK(DurationFrom(json(1500.9)) == std::chrono::milliseconds(1500));
  CHECK(DurationFrom(json(0)) == std::chrono::milliseconds(0));
  for (const char* text : {"-1", "1e300", "-1e300", "1e19", "9223372036854775807", "\"1\""}) {
    INFO(text);
    CHECK_THROWS_AS(DurationFrom(json::parse(text)), json::exception);
  }
  CHECK(DifferenceFrom(json(-5)) == std::chrono::milliseconds(-5));
  CHECK_THROWS_AS(DifferenceFrom(json(-1e300)), json::exception);
}

TEST_CASE("fault of a number, is told from a field of another type") {
  try {
    DurationFrom(json(1e300));
  } catch (const json::exception& error) {
    CHECK(IsOutOfRange(error));
  }
  try {
    DurationFrom(json("x"));
  } catch (const json::exception& error) {
    CHECK_FALSE(IsOutOfRange(error));
  }
}

}  // namespace
}  // namespace catkinford
