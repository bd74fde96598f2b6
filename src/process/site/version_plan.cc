#include "process/site/version_plan.h"

#include <algorithm>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Shares of the time within which a change has to be in force.
constexpr double kWatchShare = 0.4;   // a watch waits this long: it renews what is known in time
constexpr double kAskShare = 0.5;     // knowledge older than this is asked for at other entries
constexpr double kBesideShare = 0.6;  // and than this is read beside a watch that is late
// How long after its wait a watch's answer may come; a store that is slow takes a third of a
// second.
constexpr milliseconds kLateAfter{400};

constexpr milliseconds kShortestWatch{50};
// Between two such reads: one on a connection that is silent from the start holds up no other.
constexpr milliseconds kBesidePause{400};
constexpr milliseconds kRetry{250};
// A watch that answers sooner with nothing new is asked again only after this.
constexpr milliseconds kIdlePause{200};
constexpr milliseconds kAskPause{250};

milliseconds Share(double share, milliseconds whole) {
  return std::chrono::duration_cast<milliseconds>(share * whole);
}

}  // namespace

version_plan::version_plan(milliseconds in_force, monotonic_time now)
    : in_force_(in_force), ask_due_(now + kAskPause) {}

version_trust version_plan::Trust(monotonic_time now) const {
  if (number_ == 0 || now - as_of_ > in_force_) return version_trust::kUnconfirmed;
  return heard_ > number_ ? version_trust::kNewerKnown : version_trust::kNewest;
}

version_query version_plan::Make(version_call call, milliseconds wait, monotonic_time now) {
  version_query query;
  query.id = ++last_id_;
  query.call = call;
  query.after = revision_;
  query.wait = wait;
  query.sent = now;
  return query;
}

std::optional<version_query> version_plan::NextStoreCall(bool store_up, bool arriving,
                                                         monotonic_time now) {
  if (!main_) {
    if (now < due_) return std::nullopt;
    // What is known is already old: the watch answers early, so that it is renewed in time.
    const auto left = as_of_ + Share(kBesideShare, in_force_) - now;
    const auto wait = std::clamp(std::chrono::duration_cast<milliseconds>(left), kShortestWatch,
                                 Share(kWatchShare, in_force_));
    version_query query = read_next_ ? Make(version_call::kRead, milliseconds{0}, now)
                                     : Make(version_call::kWatch, wait, now);
    query.fresh_connection = std::exchange(fresh_next_, false);
    main_ = query.id;
    main_late_ = now + query.wait + kLateAfter;
    return query;
  }
  const bool old = now - as_of_ > Share(kBesideShare, in_force_);
  const bool late = revision_ != 0 && now > main_late_;
  if (!old || !late || !store_up || arriving || now < beside_due_) return std::nullopt;
  beside_due_ = now + kBesidePause;
  version_query query = Make(version_call::kRead, milliseconds{0}, now);
  query.fresh_connection = true;
  return query;
}

void version_plan::Confirm(uint64_t revision, monotonic_time as_of) {
  revision_ = std::max(revision_, revision);
  as_of_ = std::max(as_of_, as_of);
}

void version_plan::OnNews(const version_query& query, const version_news& news,
                          monotonic_time now) {
  const bool is_main = main_ == query.id;
  if (is_main) main_.reset();
  if (news.status == store_status::kDone) {
    // The store answers a watch early only with something new; that may be as old as the call.
    const bool waited = news.idle && now - query.sent >= query.wait;
    Confirm(news.revision, waited ? query.sent + query.wait : query.sent);
    if (!is_main) return;
    // Behind by several: more may have come meanwhile, and only the newest is of use.
    read_next_ = news.versions > 1;
    due_ = news.idle ? std::max(now, query.sent + kIdlePause) : now;
    return;
  }
  if (!is_main) return;
  // After long silence a watch would bring every version of that time, one after the other.
  const bool behind = now - as_of_ > in_force_;
  read_next_ = revision_ == 0 || behind || news.status == store_status::kHistoryCompacted;
  const bool silent = news.status == store_status::kUnknown;
  fresh_next_ = silent;
  due_ = silent ? std::max(now, query.sent + kRetry) : now + kRetry;
}

bool version_plan::AsksPeer(monotonic_time now) {
  const bool wants = heard_ > number_ || now - as_of_ > Share(kAskShare, in_force_);
  if (asking_ || !wants || now < ask_due_) return false;
  asking_ = true;
  asked_ = now;
  return true;
}

void version_plan::OnPeer(const std::optional<peer_version>& word, monotonic_time now) {
  asking_ = false;
  ask_due_ = now + kAskPause;
  if (!word) return;
  heard_ = std::max(heard_, word->number);
  if (number_ != 0 && word->number == number_) Confirm(word->revision, asked_ - word->age);
}

void version_plan::OnTaken(uint64_t number) {
  number_ = std::max(number_, number);
  heard_ = std::max(heard_, number);
}

}  // namespace catkinford
