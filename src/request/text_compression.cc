#include "request/text_compression.h"

#include <zlib.h>

#include <array>

namespace catkinford {
namespace {

constexpr char kZlibHeaderByte = 0x78;      // first byte of a zlib stream with the default window
constexpr size_t kMinCompressedText = 200;  // shorter text is not worth the time
constexpr size_t kMaxText =
    8 << 20;  // a compressed record is below the 1 MB limit of a stored value
constexpr size_t kChunkBytes = 16384;

}  // namespace

std::string CompressText(std::string_view text) {
  if (text.size() < kMinCompressedText) return std::string(text);
  std::string out(compressBound(text.size()), '\0');
  uLongf size = out.size();
  const int result =
      compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
  if (result != Z_OK || size >= text.size()) return std::string(text);
  out.resize(size);
  return out;
}

std::optional<std::string> DecompressText(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kZlibHeaderByte) return std::string(bytes);
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) return std::nullopt;
  // zlib's interface takes a mutable pointer and only reads through it.
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  std::array<char, kChunkBytes> chunk{};
  int status = Z_OK;
  while (status == Z_OK && out.size() <= kMaxText) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    status = inflate(&stream, Z_NO_FLUSH);
    out.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END) return std::nullopt;
  return out;
}

}  // namespace catkinford
