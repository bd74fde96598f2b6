// Bytes that calls put on the link of this machine, by what was called.
//
// On a narrow link what is said in bulk delays what is urgent; the split by call shows which calls
// fill it.
#ifndef CATKINFORD_CONNECTION_TRAFFIC_COUNTER_H_
#define CATKINFORD_CONNECTION_TRAFFIC_COUNTER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace catkinford {

// Of a link whose width is told in Mbit/s.
inline constexpr double kBytesPerMegabit = 125'000;

// Bytes of HTTP, headers included; what TCP and IP add is not counted.
struct traffic {
  uint64_t calls = 0;
  uint64_t sent = 0;
  uint64_t received = 0;
};

// From any thread.
class traffic_counter {
 public:
  void Count(std::string_view url, uint64_t sent, uint64_t received);
  // What was counted since the last time, by kind of call.
  std::map<std::string, traffic> Take();
  // Of all calls since the start.
  traffic Total();

 private:
  std::mutex mutex_;
  std::map<std::string, traffic> by_kind_;
  traffic total_;
};

// The first two segments of the path: "http://HOST/peer/state?id=7" is of kind "peer/state". Later
// segments may be identities, of which there is no bound.
std::string KindOfCall(std::string_view url);

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_TRAFFIC_COUNTER_H_
