#include "request/packed_text.h"

#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

std::string ProgressLikeText() {
  std::string out = R"({"phase":"running","open":[{"k":0,"steps":[{"done":[],"runs":[)";
  for (int i = 0; i < 40; ++i) absl::StrAppend(&out, "[", i, ",2001,\"i-8e6d0d", i * 37, "\"],");
  return out + "]}]}]}";
}

// Guards against records that fill an owner's narrow link.
TEST_CASE("packed text, progress of a wide job, is half as long and comes back whole") {
  const std::string text = ProgressLikeText();
  const std::string packed = PackText(text);
  CHECK(packed.size() * 2 < text.size());
  CHECK(UnpackText(packed) == text);
}

// Guards against records of an earlier program that a new one can't read.
TEST_CASE("packed text, text that was never packed, is given back") {
  for (const std::string text : {"", "{}", R"({"id":"x"})"}) {
    CHECK(PackText(text) == text);
    CHECK(UnpackText(text) == text);
  }
  CHECK(UnpackText(ProgressLikeText()) == ProgressLikeText());
}

// Guards against a record that was cut or changed and is taken for another one.
TEST_CASE("packed text, broken bytes, are none") {
  const std::string packed = PackText(ProgressLikeText());
  CHECK_FALSE(UnpackText(packed.substr(0, packed.size() / 2)));
  std::string changed = packed;
  changed[changed.size() / 2] = static_cast<char>(changed[changed.size() / 2] ^ 0x55);
  CHECK_FALSE(UnpackText(changed));
  CHECK_FALSE(UnpackText("xyz"));
}

// Guards against a few bytes that unpack to all of the memory.
TEST_CASE("packed text, more than any record, is not unpacked") {
  CHECK_FALSE(UnpackText(PackText(std::string(64 << 20, ' '))));
}

}  // namespace
}  // namespace catkinford
