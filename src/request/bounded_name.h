// Names that others choose and that are only compared with each other: labels, racks, images.
#ifndef CATKINFORD_REQUEST_BOUNDED_NAME_H_
#define CATKINFORD_REQUEST_BOUNDED_NAME_H_

#include <cstddef>
#include <string>

namespace catkinford {

inline constexpr size_t kMaxNameBytes = 64;

// The name itself or, of one longer than kMaxNameBytes, its SHA-256 in hexadecimal digits. Equal
// names stay equal, and different ones different.
std::string BoundedName(std::string name);

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_BOUNDED_NAME_H_
