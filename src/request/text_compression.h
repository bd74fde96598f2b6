// Compression of stored records: zlib, where that makes them shorter.
//
// A progress record names the instance of each run and is rewritten in full at each change;
// uncompressed these writes took half of the capacity of an owner's narrow link.
#ifndef CATKINFORD_REQUEST_TEXT_COMPRESSION_H_
#define CATKINFORD_REQUEST_TEXT_COMPRESSION_H_

#include <optional>
#include <string>
#include <string_view>

namespace catkinford {

std::string CompressText(std::string_view text);
// The most that DecompressText() returns for these bytes.
size_t MaxDecompressedBytes(std::string_view bytes);
// Text that was never compressed is returned unchanged: no record begins like a zlib stream.
// Nullopt for compressed bytes that are damaged or that expand to more than any record.
std::optional<std::string> DecompressText(std::string_view bytes);

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_TEXT_COMPRESSION_H_
