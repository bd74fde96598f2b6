#include "process/site/version_refresh.h"

#include <algorithm>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Shares of the propagation limit.
constexpr double kWatchShare = 0.4;      // wait of a watch, short enough to renew as_of_ in time
constexpr double kPeerQueryShare = 0.5;  // age of as_of_ from which other entries are queried
constexpr double kExtraReadShare = 0.6;  // age of as_of_ from which reads run beside a late watch
// How long after its wait the reply to a watch may arrive; a slow store takes a third of a second.
constexpr milliseconds kReplyGrace{400};

constexpr milliseconds kMinWatchWait{50};
// Between two reads beside a late watch: a read whose connection is dead from the start must not
// delay the next one.
constexpr milliseconds kExtraReadInterval{400};
// Minimum time between two watches if the first returned early without changes.
constexpr milliseconds kIdleInterval{200};
constexpr milliseconds kPeerQueryInterval{250};

milliseconds Share(double share, milliseconds total) {
  return std::chrono::duration_cast<milliseconds>(share * total);
}

}  // namespace

version_refresh::version_refresh(milliseconds propagation_limit, monotonic_time now)
    : propagation_limit_(propagation_limit), next_peer_query_at_(now + kPeerQueryInterval) {}

version_trust version_refresh::Trust(monotonic_time now) const {
  if (number_ == 0 || now - as_of_ > propagation_limit_) return version_trust::kUnconfirmed;
  return highest_known_ > number_ ? version_trust::kNewerKnown : version_trust::kNewest;
}

version_query version_refresh::MakeQuery(version_call call, milliseconds wait, monotonic_time now) {
  version_query query;
  query.id = ++last_id_;
  query.call = call;
  query.after = revision_;
  query.wait = wait;
  query.sent = now;
  return query;
}

std::optional<version_query> version_refresh::NextStoreCall(bool store_up, bool arriving,
                                                            monotonic_time now) {
  if (!main_call_) {
    if (now < next_call_at_) return std::nullopt;
    // If as_of_ is already old, the watch waits less, so that as_of_ is renewed in time.
    const auto remaining = as_of_ + Share(kExtraReadShare, propagation_limit_) - now;
    const auto wait = std::clamp(std::chrono::duration_cast<milliseconds>(remaining), kMinWatchWait,
                                 Share(kWatchShare, propagation_limit_));
    version_query query = next_is_read_ ? MakeQuery(version_call::kRead, milliseconds{0}, now)
                                        : MakeQuery(version_call::kWatch, wait, now);
    query.fresh_connection = std::exchange(next_is_fresh_, false);
    main_call_ = query.id;
    main_deadline_ = now + query.wait + kReplyGrace;
    return query;
  }
  const bool old = now - as_of_ > Share(kExtraReadShare, propagation_limit_);
  const bool late = revision_ != 0 && now > main_deadline_;
  if (!old || !late || !store_up || arriving || now < next_extra_read_at_) return std::nullopt;
  next_extra_read_at_ = now + kExtraReadInterval;
  version_query query = MakeQuery(version_call::kRead, milliseconds{0}, now);
  query.fresh_connection = true;
  return query;
}

void version_refresh::Confirm(uint64_t revision, monotonic_time as_of) {
  revision_ = std::max(revision_, revision);
  as_of_ = std::max(as_of_, as_of);
}

void version_refresh::OnStoreReply(const version_query& query, const version_reply& reply,
                                   monotonic_time now, milliseconds pause) {
  const bool is_main = main_call_ == query.id;
  if (is_main) main_call_.reset();
  if (reply.status == store_status::kDone) {
    // A watch that waited in full without changes confirms the end of its wait. Any other reply may
    // be as old as the call.
    const bool waited = reply.idle && now - query.sent >= query.wait;
    Confirm(reply.revision, waited ? query.sent + query.wait : query.sent);
    if (!is_main) return;
    // Several versions behind: more may have been added meanwhile, and only the newest is needed.
    next_is_read_ = reply.versions > 1;
    next_call_at_ = reply.idle ? std::max(now, query.sent + kIdleInterval) : now;
    return;
  }
  if (!is_main) return;
  // After a long outage a watch would return every version stored meanwhile, one after the other.
  const bool behind = now - as_of_ > propagation_limit_;
  next_is_read_ = revision_ == 0 || behind || reply.status == store_status::kHistoryCompacted;
  const bool no_reply = reply.status == store_status::kUnknown;
  next_is_fresh_ = no_reply;
  next_call_at_ = no_reply ? std::max(now, query.sent + pause) : now + pause;
}

bool version_refresh::ShouldQueryPeer(monotonic_time now) {
  const bool wants =
      highest_known_ > number_ || now - as_of_ > Share(kPeerQueryShare, propagation_limit_);
  if (peer_query_pending_ || !wants || now < next_peer_query_at_) return false;
  peer_query_pending_ = true;
  peer_query_sent_ = now;
  return true;
}

void version_refresh::OnPeerReply(const std::optional<peer_version>& reply, monotonic_time now) {
  peer_query_pending_ = false;
  next_peer_query_at_ = now + kPeerQueryInterval;
  if (!reply) return;
  highest_known_ = std::max(highest_known_, reply->number);
  if (number_ != 0 && reply->number == number_)
    Confirm(reply->revision, peer_query_sent_ - reply->age);
}

void version_refresh::OnApplied(uint64_t number) {
  number_ = std::max(number_, number);
  highest_known_ = std::max(highest_known_, number);
}

}  // namespace catkinford
