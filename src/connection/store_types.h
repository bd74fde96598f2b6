// Request and reply types of the platform's store, independent of the transport.
#ifndef CATKINFORD_CONNECTION_STORE_TYPES_H_
#define CATKINFORD_CONNECTION_STORE_TYPES_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkinford {

enum class store_status : uint8_t {
  kDone,
  kConflict,          // the key is at another revision
  kAbsent,            // no such key or lease
  kUnavailable,       // not executed: rejected, rate limited, or never sent
  kUnknown,           // may have been executed: the reply is lost. Read back and compare.
  kHistoryCompacted,  // the store lacks revisions that a watch needs: read all keys again
};

// Transport options of a read.
struct read_options {
  bool fresh_connection = false;  // bypasses pooled connections, which may be dead
  bool limit_total_time = false;  // the timeout applies to the entire call, despite progress
  std::shared_ptr<std::atomic<uint64_t>> received_bytes;  // counts the response bytes; may be null
};

struct store_item {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  bool deleted = false;  // in answers to a watch
};

struct store_reply {
  store_status status = store_status::kUnavailable;
  uint64_t revision = 0;  // of the store for reads; of the key for writes
  std::vector<store_item>
      items;          // one for Get, all for Range and Watch; for a conflict the current one
  std::string lease;  // for a new lease
  bool more = false;  // the range continues after the last item
  size_t bytes = 0;   // received, including those of a truncated response
};

// Atomic change of several keys.
struct store_write {
  struct put {
    std::string key;
    std::string value;
    std::string lease;  // empty: the key does not expire
  };
  std::vector<std::pair<std::string, uint64_t>> expected;  // key and revision; 0: must not exist
  std::vector<put> puts;
  std::vector<std::string> deletes;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_STORE_TYPES_H_
