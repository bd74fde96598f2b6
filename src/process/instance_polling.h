// The platform's list of instances, read round robin by the entries of one failure domain.
//
// The full list is nearly a megabyte at the target fleet size, and reading it at each entry would
// cost many times the budget of a node. So one entry reads it and sends the changes to its
// neighbours; the next one on the ring reads next. An entry that is dead or cut off from the
// platform is skipped after half a poll interval. Pure: lists, messages and time in, messages out.
#ifndef CATKINFORD_PROCESS_INSTANCE_POLLING_H_
#define CATKINFORD_PROCESS_INSTANCE_POLLING_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "connection/instance_adapter.h"
#include "process/message.h"
#include "request/job_request.h"

namespace catkinford {

class instance_polling {
 public:
  instance_polling(std::string name, std::chrono::milliseconds poll);

  // Whether this entry should read the list now. A new entry reads at once.
  bool ReadDue(const std::vector<std::string>& live_neighbours, monotonic_time now) const;
  void OnReadBegun(monotonic_time now);
  void OnReadFailed();
  // Returns the message for the neighbours. It is sent even when nothing has changed, to announce
  // the read.
  instances_message OnRead(const std::vector<instance>& read, monotonic_time now);
  // Applies a message from a neighbour that has read the list. True when it changed our copy.
  bool OnMessage(const std::string& from, const instances_message& message, monotonic_time now);

  bool HasList() const { return has_list_; }
  std::vector<instance> List() const;
  // Digest of what all entries should see alike; excludes addresses, which may depend on the
  // reader.
  uint64_t Digest() const { return digest_; }

 private:
  // How many live entries precede this one in the reading order.
  int64_t Rank(const std::vector<std::string>& live_neighbours) const;
  bool Put(const instance& one);
  bool Erase(const std::string& name);

  std::string name_;
  std::chrono::milliseconds poll_;
  absl::btree_map<std::string, instance> list_;
  uint64_t digest_ = 0;
  bool has_list_ = false;
  bool reading_ = false;
  bool differs_ = false;  // a neighbour's list differs from ours
  std::string last_reader_;
  monotonic_time last_update_{};
  monotonic_time last_try_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_INSTANCE_POLLING_H_
