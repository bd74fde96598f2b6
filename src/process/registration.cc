#include "process/registration.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

constexpr int kKeepalivesPerLease = 3;  // two may be lost before the lease expires

}  // namespace

registration::registration(member_record self, std::string key, std::chrono::milliseconds ttl)
    : self_(std::move(self)), key_(std::move(key)), ttl_(ttl) {}

void registration::Tick(monotonic_time now, call_tags& tags, std::vector<store_request>& out) {
  if (state_ == state::kLeft || call_tag_ != 0 || now < next_call_) return;
  store_request call = NextCall(tags);
  call_tag_ = call.tag;
  sent_ = now;
  next_call_ = now + ttl_ / kKeepalivesPerLease;
  out.push_back(std::move(call));
}

store_request registration::NextCall(call_tags& tags) {
  store_request call;
  call.tag = tags.Next();
  call.key = key_;
  call.lease = self_.lease;
  call.expect = revision_;
  call.write_id = absl::StrCat(self_.name, ":", self_.incarnation, ":", call.tag);
  call.ttl = ttl_;
  if (state_ == state::kNoLease) call.kind = store_call_kind::kGrantLease;
  if (state_ == state::kRegistered) call.kind = store_call_kind::kKeepLease;
  if (state_ == state::kUnwritten || state_ == state::kLeaving) {
    call.kind = store_call_kind::kSwap;
  }
  if (state_ == state::kUnwritten) call.value = ToText(self_);
  if (state_ == state::kLeaving) call.lease.clear();
  return call;
}

bool registration::OnReply(uint64_t tag, const store_reply& reply, monotonic_time now) {
  if (tag == 0 || tag != call_tag_) return false;
  call_tag_ = 0;
  const bool definite =
      reply.status != store_status::kUnavailable && reply.status != store_status::kUnknown;
  // An outage or a lost reply changes nothing: the same step is retried at the next period.
  if (!definite) return true;
  last_answer_ = now;
  if (state_ == state::kNoLease) {
    OnLeaseGranted(reply, now);
  } else if (state_ == state::kUnwritten) {
    OnKeyWritten(reply, now);
  } else if (state_ == state::kRegistered) {
    OnKeepAliveReply(reply, now);
  } else if (state_ == state::kLeaving) {
    OnDeleted(reply, now);
  }
  return true;
}

void registration::OnLeaseGranted(const store_reply& reply, monotonic_time now) {
  if (reply.status != store_status::kDone || reply.lease.empty()) return;
  self_.lease = reply.lease;
  valid_until_ = sent_ + ttl_;
  state_ = state::kUnwritten;
  next_call_ = now;
}

void registration::OnKeepAliveReply(const store_reply& reply, monotonic_time now) {
  if (reply.status == store_status::kDone) {
    valid_until_ = sent_ + ttl_;
    return;
  }
  if (reply.status != store_status::kAbsent) return;
  LoseLease();
  next_call_ = now;
}

void registration::OnKeyWritten(const store_reply& reply, monotonic_time now) {
  if (reply.status == store_status::kDone) {
    revision_ = reply.revision;
    registered_ = true;
    replaced_ = false;
    state_ = state::kRegistered;
    return;
  }
  if (reply.status == store_status::kAbsent) {  // the lease expired before the key was written
    LoseLease();
    next_call_ = now;
    return;
  }
  revision_ = reply.revision;
  next_call_ = now;
  if (reply.items.empty()) return;
  const std::optional<member_record> present = ParseMemberRecord(reply.items.front().value);
  if (!present) return;
  if (*present == self_) {  // an earlier write of ours, whose reply was lost
    registered_ = true;
    state_ = state::kRegistered;
    return;
  }
  // An instance was replaced by one of the same name while this process was paused. If both wrote
  // the key they would replace each other in turns, and the shard's epoch would keep rising; the
  // older process waits until the key is free.
  replaced_ = present->incarnation > self_.incarnation;
  if (replaced_) next_call_ = now + ttl_;
}

void registration::OnDeleted(const store_reply& reply, monotonic_time now) {
  const bool gone = reply.status == store_status::kDone || reply.status == store_status::kAbsent ||
                    reply.revision == 0;
  if (gone) {
    state_ = state::kLeft;
    return;
  }
  revision_ = reply.revision;
  next_call_ = now;
}

void registration::LoseLease() {
  registered_ = false;
  self_.lease.clear();
  revision_ = 0;
  state_ = state::kNoLease;
}

void registration::OnKeyMissing() {
  if (state_ != state::kRegistered) return;
  state_ = state::kUnwritten;
  registered_ = false;
  revision_ = 0;
  call_tag_ = 0;
  next_call_ = {};
}

void registration::MarkLeaving() {
  if (self_.leaving) return;
  self_.leaving = true;
  if (state_ != state::kRegistered) return;
  state_ = state::kUnwritten;
  call_tag_ = 0;  // of a keepalive: its reply would be taken for the write's
  next_call_ = {};
}

void registration::Leave() {
  const bool nothing_written = state_ == state::kNoLease && call_tag_ == 0;
  state_ = nothing_written ? state::kLeft : state::kLeaving;
  registered_ = false;
  call_tag_ = 0;  // a late reply must not restore the key
  next_call_ = {};
}

}  // namespace catkinford
