// Which entry sends a start to its instance: the owner itself, or another one that holds the
// payload of the job.
//
// The load it answers: jobs of many tasks, and an owner that sends each start by itself. A call
// costs the owner's processor more than the decision behind it, and each start carries the payload
// of its job over the owner's link: on a narrow one these copies fill it before anything else does,
// and listings, records and the questions whether the owner lives wait behind them. The entry that
// accepted the job has its payload, a processor and a link of its own; the owner tells it, for all
// tasks that start together, which starts where.
#ifndef CATKINFORD_PROCESS_SITE_START_ROUTER_H_
#define CATKINFORD_PROCESS_SITE_START_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

class start_router {
 public:
  // The other entries that live.
  void SetEntries(std::vector<std::string> names) { entries_ = std::move(names); }

  // The entry that is to send starts of `job`, which `accepted_by` took; nothing: this one does.
  // `group`: of tasks, counted from 0; each goes another way, since a wide job would fill the link
  // of one entry too. `busy`: this entry is.
  std::optional<std::string> ForwarderFor(const std::string& job, const std::string& accepted_by,
                                          uint32_t group, bool busy, monotonic_time now) const;
  // A message went to a carrier; its number is given back with the answer.
  uint64_t Sent(const std::string& forwarder, monotonic_time now);
  // `taken`: the carrier took what it was sent.
  void OnAnswer(uint64_t message, bool accepted, monotonic_time now);
  // It took a start and never told what became of it.
  void OnResultMissing(const std::string& forwarder, monotonic_time now);

 private:
  struct sent_message {
    std::string forwarder;
    monotonic_time sent{};
  };
  bool Usable(const std::string& forwarder, monotonic_time now) const;

  std::vector<std::string> entries_;
  std::map<uint64_t, sent_message> unanswered_;
  std::map<std::string, monotonic_time> avoided_until_;
  uint64_t last_message_ = 0;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_START_ROUTER_H_
