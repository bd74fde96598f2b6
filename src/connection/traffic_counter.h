// Counts the bytes that calls transfer over this machine's link, and the calls that fail, by kind
// of call.
//
// On a slow link bulk transfers delay urgent calls; the split by kind shows which calls fill it.
#ifndef CATKINFORD_CONNECTION_TRAFFIC_COUNTER_H_
#define CATKINFORD_CONNECTION_TRAFFIC_COUNTER_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace catkinford {

// Converts a link's bandwidth from Mbit/s.
inline constexpr double kBytesPerMegabit = 125'000;

// Why a call got no complete response.
enum class call_fault : uint8_t {
  kNone,
  kNoFreeConnection,  // timed out while all of this process's connections to the host were in use
  kNotConnected,      // refused, or no connection within the time limit
  kClosed,            // the connection was closed or reset
  kTimedOut,          // no complete response in time
};
inline constexpr std::array kCallFaults{call_fault::kNoFreeConnection, call_fault::kNotConnected,
                                        call_fault::kClosed, call_fault::kTimedOut};
std::string_view ToText(call_fault fault);

// HTTP bytes including headers; TCP and IP overhead is not counted.
struct traffic {
  uint64_t calls = 0;
  uint64_t sent = 0;
  uint64_t received = 0;
  std::array<uint64_t, kCallFaults.size() + 1> faults{};  // by call_fault

  uint64_t Faults(call_fault fault) const { return faults[static_cast<size_t>(fault)]; }
};

// Thread-safe.
class traffic_counter {
 public:
  void Count(std::string_view url, uint64_t sent, uint64_t received,
             call_fault fault = call_fault::kNone);
  // Returns and resets the counts since the last call, by kind of call.
  std::map<std::string, traffic> Take();
  // Counts of all calls since the start.
  traffic Total();

 private:
  std::mutex mutex_;
  std::map<std::string, traffic> by_kind_;
  traffic total_;
};

// The first two path segments: "http://HOST/peer/state?id=7" is of kind "peer/state". Later
// segments may be identifiers, whose number is unbounded.
std::string KindOfCall(std::string_view url);

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_TRAFFIC_COUNTER_H_
