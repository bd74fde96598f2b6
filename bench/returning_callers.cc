#include "bench/returning_callers.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::vector<double> RatesOf(const std::vector<team_stream>& streams) {
  std::vector<double> rates;
  rates.reserve(streams.size());
  for (const team_stream& stream : streams) rates.push_back(stream.rate);
  return rates;
}

}  // namespace

returning_callers::returning_callers(returning_options options, std::vector<load_target> targets,
                                     size_t clients)
    : options_(std::move(options)),
      targets_(std::move(targets)),
      random_(options_.seed),
      callers_(clients) {
  const std::vector<double> rates = RatesOf(options_.streams);
  pick_stream_ = std::discrete_distribution<size_t>(rates.begin(), rates.end());
}

returning_callers::request returning_callers::Draw() {
  request drawn;
  drawn.stream = pick_stream_(random_);
  drawn.spec = options_.like;
  const int64_t mean = options_.like.run_time.count();
  drawn.spec.run_time =
      milliseconds{std::uniform_int_distribution<int64_t>(mean / 2, mean * 3 / 2)(random_)};
  return drawn;
}

void returning_callers::Answered(size_t number, const call_record& record) {
  const std::lock_guard lock(mutex_);
  --open_;
  const bool refused = record.has_answer && record.outcome == outcome_kind::kRefused;
  if (refused && record.retry_after.count() > 0 &&
      requests_[number].tries <= options_.most_returns) {
    returns_.push({record.answered + record.retry_after, number});
  }
  changed_.notify_all();
}

void returning_callers::Send(size_t number, monotonic_time due) {
  call_spec spec;
  const team_access* access = nullptr;
  size_t target = 0;
  {
    const std::lock_guard lock(mutex_);
    ++requests_[number].tries;
    ++open_;
    spec = requests_[number].spec;
    access = &options_.streams[requests_[number].stream].access;
    target = sent_++ * 0x9e3779b97f4a7c15ULL % targets_.size();
  }
  callers_.Submit(targets_[target].entry, targets_[target].url, *access, spec, due,
                  [this, number](const call_record& record) { Answered(number, record); });
}

bool returning_callers::ServeReturns(monotonic_time until) {
  std::unique_lock lock(mutex_);
  while (true) {
    const monotonic_time now = steady_clock::now();
    if (!returns_.empty() && returns_.top().due <= std::min(now, until)) {
      const arrival next = returns_.top();
      returns_.pop();
      lock.unlock();
      Send(next.request, next.due);
      lock.lock();
      continue;
    }
    if (now >= until) return true;
    if (returns_.empty() && open_ == 0) return false;
    changed_.wait_until(lock, returns_.empty() ? until : std::min(until, returns_.top().due));
  }
}

bool returning_callers::Run(milliseconds patience) {
  double rate = 0;
  for (const team_stream& stream : options_.streams) rate += stream.rate;
  std::exponential_distribution<double> gap(rate);
  monotonic_time due = steady_clock::now();
  const monotonic_time end = due + options_.length;
  while (true) {
    due += std::chrono::duration_cast<steady_clock::duration>(
        std::chrono::duration<double>(gap(random_)));
    if (due >= end) break;
    if (!ServeReturns(due)) std::this_thread::sleep_until(due);
    request fresh = Draw();
    size_t number = 0;
    {
      const std::lock_guard lock(mutex_);
      number = requests_.size();
      fresh.spec.work = absl::StrCat(options_.prefix, "-", options_.seed, "-", number);
      requests_.push_back(std::move(fresh));
    }
    Send(number, due);
  }
  ServeReturns(end + patience);
  return callers_.WaitIdle(patience);
}

}  // namespace catkinford
