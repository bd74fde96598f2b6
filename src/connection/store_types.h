// What is said to the platform's store and what it answers, whichever way the calls travel.
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
  kUnavailable,       // surely not done: refused, rate limited, or never sent
  kUnknown,           // may have been done: the reply is lost. Read back and compare.
  kHistoryCompacted,  // the store has forgotten what a watch asks for: read all again
};

// How a read travels.
struct read_options {
  bool fresh_connection = false;  // not on a kept one, which may have gone silent
  bool limit_total_time = false;  // ends in time, however much of the answer has arrived
  std::shared_ptr<std::atomic<uint64_t>>
      received_bytes;  // counts the answer's bytes; null: nobody asks
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
      items;          // for Get one, for Range and Watch all; for a conflict the present
  std::string lease;  // for a new lease
  bool more = false;  // a range goes on after the last item
  size_t bytes = 0;   // received, of an answer that broke off too
};

// One change of several keys: all of it is done or nothing.
struct store_write {
  struct put {
    std::string key;
    std::string value;
    std::string lease;  // empty: the key stays
  };
  std::vector<std::pair<std::string, uint64_t>> expected;  // key and revision; 0: must not exist
  std::vector<put> puts;
  std::vector<std::string> deletes;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_STORE_TYPES_H_
