// Time-out of advice queries: the time that the policy states, and as long beyond it as recent
// answers took. On a narrow link a fixed limit would give up queries whose answers are on their
// way, and the queries that replace them would fill the link further.
#ifndef CATKINFORD_PROCESS_SITE_ADVICE_TIMEOUT_H_
#define CATKINFORD_PROCESS_SITE_ADVICE_TIMEOUT_H_

#include <algorithm>
#include <chrono>

#include "process/scheduling/answer_timeout.h"
#include "process/scheduling/scheduler_messages.h"

namespace catkinford {

class advice_timeout {
 public:
  // An urgent query is asked again through another entry before the longest time has passed.
  std::chrono::milliseconds Of(const advice_query& query) const {
    if (!query.urgent) return query.expected + kLongest;
    return query.expected + std::clamp(beyond_.Timeout(), kShortest, kLongest);
  }

  // In addition, of the call to the entry that makes the query.
  static std::chrono::milliseconds OfCall(const advice_query& query) {
    return query.urgent ? kUrgentCall : kCall;
  }

  // `took`: until the answer, or until the query was given up.
  void OnEnd(const advice_query& query, std::chrono::milliseconds took) {
    beyond_.OnAnswer(std::clamp(took - query.expected, std::chrono::milliseconds{0}, kLongest));
  }

 private:
  static constexpr std::chrono::milliseconds kShortest{150};
  static constexpr std::chrono::milliseconds kLongest{900};
  static constexpr std::chrono::milliseconds kCall{400};
  static constexpr std::chrono::milliseconds kUrgentCall{100};

  answer_timeout beyond_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_ADVICE_TIMEOUT_H_
