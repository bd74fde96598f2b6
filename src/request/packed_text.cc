#include "request/packed_text.h"

#include <zlib.h>

#include <array>

namespace catkinford {
namespace {

constexpr char kZlibHead = 0x78;      // a zlib stream with the usual window begins so
constexpr size_t kShort = 200;        // not worth the time
constexpr size_t kLargest = 8 << 20;  // a record is below a store's value of 1 MB, packed
constexpr size_t kStep = 16384;

}  // namespace

std::string PackText(std::string_view text) {
  if (text.size() < kShort) return std::string(text);
  std::string out(compressBound(text.size()), '\0');
  uLongf size = out.size();
  const int done =
      compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
  if (done != Z_OK || size >= text.size()) return std::string(text);
  out.resize(size);
  return out;
}

std::optional<std::string> UnpackText(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kZlibHead) return std::string(bytes);
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) return std::nullopt;
  // zlib's interface takes a mutable pointer and only reads through it.
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  std::array<char, kStep> step{};
  int state = Z_OK;
  while (state == Z_OK && out.size() <= kLargest) {
    stream.next_out = reinterpret_cast<Bytef*>(step.data());
    stream.avail_out = static_cast<uInt>(step.size());
    state = inflate(&stream, Z_NO_FLUSH);
    out.append(step.data(), step.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (state != Z_STREAM_END) return std::nullopt;
  return out;
}

}  // namespace catkinford
