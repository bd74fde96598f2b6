#include "request/text_compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace catkinford {
namespace {

constexpr char kZlibHeaderByte = 0x78;      // first byte of a zlib stream with the default window
constexpr size_t kMinCompressedText = 200;  // shorter text is not worth the time
constexpr size_t kMaxText =
    8 << 20;  // a compressed record is below the 1 MB limit of a stored value
constexpr size_t kChunkBytes = 16384;
constexpr size_t kMaxRatio = 1032;  // of the compression
// Texts have some thousand bytes: larger tables would take longer to clear than to fill.
constexpr int kMemoryLevel = 5;

// Streams are kept for reuse: to make one takes longer than to compress a usual text.
class deflate_stream {
 public:
  deflate_stream() {
    usable_ = deflateInit2(&stream_, Z_BEST_SPEED, Z_DEFLATED, MAX_WBITS, kMemoryLevel,
                           Z_DEFAULT_STRATEGY) == Z_OK;
  }
  ~deflate_stream() {
    if (usable_) deflateEnd(&stream_);
  }
  deflate_stream(const deflate_stream&) = delete;
  deflate_stream& operator=(const deflate_stream&) = delete;

  // Null if there is no memory for it.
  z_stream* Begin() { return usable_ && deflateReset(&stream_) == Z_OK ? &stream_ : nullptr; }

 private:
  z_stream stream_{};
  bool usable_ = false;
};

class inflate_stream {
 public:
  inflate_stream() { usable_ = inflateInit(&stream_) == Z_OK; }
  ~inflate_stream() {
    if (usable_) inflateEnd(&stream_);
  }
  inflate_stream(const inflate_stream&) = delete;
  inflate_stream& operator=(const inflate_stream&) = delete;

  z_stream* Begin() { return usable_ && inflateReset(&stream_) == Z_OK ? &stream_ : nullptr; }

 private:
  z_stream stream_{};
  bool usable_ = false;
};

// zlib's interface takes a mutable pointer and only reads through it.
Bytef* InputOf(std::string_view text) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

}  // namespace

std::string CompressText(std::string_view text) {
  if (text.size() < kMinCompressedText) return std::string(text);
  thread_local deflate_stream reused;
  z_stream* const stream = reused.Begin();
  if (stream == nullptr) return std::string(text);
  // A longer result would not be used.
  std::string out(text.size(), '\0');
  stream->next_in = InputOf(text);
  stream->avail_in = static_cast<uInt>(text.size());
  stream->next_out = reinterpret_cast<Bytef*>(out.data());
  stream->avail_out = static_cast<uInt>(out.size());
  if (deflate(stream, Z_FINISH) != Z_STREAM_END) return std::string(text);
  out.resize(stream->total_out);
  return out;
}

size_t MaxDecompressedBytes(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kZlibHeaderByte) return bytes.size();
  return std::min(bytes.size() * kMaxRatio, kMaxText + kChunkBytes);
}

std::optional<std::string> DecompressText(std::string_view bytes) {
  if (bytes.empty() || bytes.front() != kZlibHeaderByte) return std::string(bytes);
  thread_local inflate_stream reused;
  z_stream* const stream = reused.Begin();
  if (stream == nullptr) return std::nullopt;
  stream->next_in = InputOf(bytes);
  stream->avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  std::array<char, kChunkBytes> chunk;  // NOLINT(*-member-init): filled before it is read
  int status = Z_OK;
  while (status == Z_OK && out.size() <= kMaxText) {
    stream->next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream->avail_out = static_cast<uInt>(chunk.size());
    status = inflate(stream, Z_NO_FLUSH);
    out.append(chunk.data(), chunk.size() - stream->avail_out);
  }
  if (status != Z_STREAM_END) return std::nullopt;
  return out;
}

}  // namespace catkinford
