#include "request/text_compression.h"

#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

std::string ProgressRecord() {
  std::string out = R"({"phase":"running","open":[{"k":0,"steps":[{"done":[],"runs":[)";
  for (int i = 0; i < 40; ++i) absl::StrAppend(&out, "[", i, ",2001,\"i-8e6d0d", i * 37, "\"],");
  return out + "]}]}]}";
}

// Guards against records that saturate an owner's narrow link.
TEST_CASE("text compression, progress of a wide job, halves its length and restores it") {
  const std::string text = ProgressRecord();
  const std::string packed = CompressText(text);
  CHECK(packed.size() * 2 < text.size());
  CHECK(DecompressText(packed) == text);
}

// Guards against records of an earlier program that a new one can't read.
TEST_CASE("text compression, uncompressed text, is returned unchanged") {
  for (const std::string text : {"", "{}", R"({"id":"x"})"}) {
    CHECK(CompressText(text) == text);
    CHECK(DecompressText(text) == text);
  }
  CHECK(DecompressText(ProgressRecord()) == ProgressRecord());
}

// Guards against a truncated or changed record that is mistaken for another one.
TEST_CASE("text compression, damaged bytes, are rejected") {
  const std::string packed = CompressText(ProgressRecord());
  CHECK_FALSE(DecompressText(packed.substr(0, packed.size() / 2)));
  std::string changed = packed;
  changed[changed.size() / 2] = static_cast<char>(changed[changed.size() / 2] ^ 0x55);
  CHECK_FALSE(DecompressText(changed));
  CHECK_FALSE(DecompressText("xyz"));
}

// Guards against a few bytes that expand until memory is exhausted.
TEST_CASE("text compression, more than any record, is rejected") {
  CHECK_FALSE(DecompressText(CompressText(std::string(64 << 20, ' '))));
}

}  // namespace
}  // namespace catkinford
