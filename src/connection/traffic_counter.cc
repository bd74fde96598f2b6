#include "connection/traffic_counter.h"

#include <algorithm>
#include <utility>

namespace catkinford {

std::string_view ToText(call_fault fault) {
  switch (fault) {
    case call_fault::kNone:
      return "none";
    case call_fault::kNoFreeConnection:
      return "no_free_connection";
    case call_fault::kNotConnected:
      return "not_connected";
    case call_fault::kClosed:
      return "closed";
    case call_fault::kTimedOut:
      return "timed_out";
  }
  return "none";
}

void traffic_counter::Count(std::string_view url, uint64_t sent, uint64_t received,
                            call_fault fault) {
  const std::string kind = KindOfCall(url);
  const std::lock_guard lock(mutex_);
  for (traffic* sum : {&by_kind_[kind], &total_}) {
    ++sum->calls;
    sum->sent += sent;
    sum->received += received;
    ++sum->faults[static_cast<size_t>(fault)];
  }
}

traffic traffic_counter::Total() {
  const std::lock_guard lock(mutex_);
  return total_;
}

std::map<std::string, traffic> traffic_counter::Take() {
  const std::lock_guard lock(mutex_);
  return std::exchange(by_kind_, {});
}

std::string KindOfCall(std::string_view url) {
  const size_t scheme = url.find("://");
  if (scheme != std::string_view::npos) url.remove_prefix(scheme + 3);
  const size_t path = url.find('/');
  if (path == std::string_view::npos) return {};
  url.remove_prefix(path + 1);
  const size_t second = url.find('/');
  const size_t end = url.find_first_of("/?", second == std::string_view::npos ? 0 : second + 1);
  return std::string(url.substr(0, std::min(end, url.size())));
}

}  // namespace catkinford
