#include "request/text_compression.h"

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
  const std::string packed = CompressText(text);
  CHECK(packed.size() * 2 < text.size());
  CHECK(DecompressText(packed) == text);
}

// Guards against records of an earlier program that a new one can't read.
TEST_CASE("packed text, text that was never packed, is given back") {
  for (const std::string text : {"", "{}", R"({"id":"x"})"}) {
    CHECK(CompressText(text) == text);
    CHECK(DecompressText(text) == text);
  }
  CHECK(DecompressText(ProgressLikeText()) == ProgressLikeText());
}

// Guards against a record that was cut or changed and is taken for another one.
TEST_CASE("packed text, broken bytes, are none") {
  const std::string packed = CompressText(ProgressLikeText());
  CHECK_FALSE(DecompressText(packed.substr(0, packed.size() / 2)));
  std::string changed = packed;
  changed[changed.size() / 2] = static_cast<char>(changed[changed.size() / 2] ^ 0x55);
  CHECK_FALSE(DecompressText(changed));
  CHECK_FALSE(DecompressText("xyz"));
}

// Guards against a few bytes that unpack to all of the memory.
TEST_CASE("packed text, more than any record, is not unpacked") {
  CHECK_FALSE(DecompressText(CompressText(std::string(64 << 20, ' '))));
}

}  // namespace
}  // namespace catkinford
