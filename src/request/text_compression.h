// Records as they are kept in the store: deflated where that makes them shorter.
//
// A record of progress names the instance of each run, and is written whole at each change;
// unpacked these writes took half of what an owner's narrow link carries.
#ifndef CATKINFORD_REQUEST_TEXT_COMPRESSION_H_
#define CATKINFORD_REQUEST_TEXT_COMPRESSION_H_

#include <optional>
#include <string>
#include <string_view>

namespace catkinford {

std::string CompressText(std::string_view text);
// Text that was never packed is given back as it is: no record begins like packed bytes. Nothing:
// packed bytes that are broken, or that hold more than any record.
std::optional<std::string> DecompressText(std::string_view bytes);

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_TEXT_COMPRESSION_H_
