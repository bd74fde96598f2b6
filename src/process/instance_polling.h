// The platform's list of instances, read by the entries of one failure domain in turns.
//
// The whole list is nearly a megabyte at the size we aim for, and each entry reading it would cost
// many times what a node may spend. So one entry reads it and tells its neighbours what has
// changed; the next one on the ring reads next. One that is dead, or cut off from the platform, is
// passed over after half a poll. Pure: lists, messages and time in, messages out.
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

  // Whether this entry should read the list now. A new entry does at once, and waits for nobody.
  bool ReadDue(const std::vector<std::string>& live_neighbours, monotonic_time now) const;
  void OnReadBegun(monotonic_time now);
  void OnReadFailed();
  // What the neighbours are to be told, also when nothing has changed: that it was read.
  instances_message OnRead(const std::vector<instance>& read, monotonic_time now);
  // From a neighbour that has read the list. True when it has changed ours.
  bool OnMessage(const std::string& from, const instances_message& message, monotonic_time now);

  bool HasList() const { return has_list_; }
  std::vector<instance> List() const;
  // Of what all entries should see alike: not of addresses, which may depend on who reads.
  uint64_t Digest() const { return digest_; }

 private:
  // How many live entries come before this one in the order of turns.
  int64_t Rank(const std::vector<std::string>& live_neighbours) const;
  bool Put(const instance& one);
  bool Erase(const std::string& name);

  std::string name_;
  std::chrono::milliseconds poll_;
  absl::btree_map<std::string, instance> list_;
  uint64_t digest_ = 0;
  bool has_list_ = false;
  bool reading_ = false;
  bool differs_ = false;  // a neighbour has read something else than what we hold
  std::string last_reader_;
  monotonic_time last_update_{};
  monotonic_time last_try_{};
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_INSTANCE_POLLING_H_
