#include "process/history_keeper.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "version/config_signature.h"

namespace catkinford {
namespace {

constexpr char kHistoryKey[] = "history";
constexpr int kKeepTries = 8;  // lost replies and other operators' changes of the list

std::string TextKey(uint64_t version) { return absl::StrCat(kHistoryKey, "/", version); }

// A list that cannot be read, damaged by a hand in the store, gives way to a new one: it must not
// stand in the way of every further change of the configuration.
config_history Read(const store_reply& reply) {
  if (reply.items.empty()) return {};
  return config_history::Parse(reply.items.front().value).value_or(config_history{});
}

uint64_t RevisionOf(const store_reply& reply) {
  return reply.items.empty() ? 0 : reply.items.front().revision;
}

}  // namespace

history_keeper::history_keeper(store_adapter& store, history_limits bounds, poster post)
    : store_(store), bounds_(bounds), post_(std::move(post)) {}

void history_keeper::Keep(uint64_t version, const std::string& text, on_kept done) {
  if (under_way_ && under_way_->past.version == version) {
    under_way_->done.push_back(std::move(done));
    return;
  }
  const config_signature signature = SignatureOf(text);
  auto keep = std::make_shared<open_keep>();
  under_way_ = keep;
  keep->past = {version, 0, text.size(), signature.changed_at, signature.by, signature.summary};
  keep->text = text;
  keep->done.push_back(std::move(done));
  keep->tries = kKeepTries;
  ReadHistory(keep);
}

void history_keeper::End(const keep_state& keep, keep_end end, monotonic_time now) {
  if (end == keep_end::kKept) kept_ = std::max(kept_, keep->past.version);
  if (under_way_ == keep) under_way_.reset();
  for (const on_kept& done : keep->done) done(end, now);
}

void history_keeper::Swap(const std::string& key, uint64_t expect,
                          const std::optional<std::string>& value,
                          std::function<void(const store_reply&, monotonic_time)> done) {
  const std::string write_id = absl::StrCat(key, "-", ++writes_);
  store_.CompareAndSwap(
      key, expect, value, write_id, "", [this, done = std::move(done)](store_reply reply) mutable {
        post_([done = std::move(done), reply = std::move(reply)](monotonic_time now) {
          done(reply, now);
        });
      });
}

void history_keeper::ReadHistory(const keep_state& keep) {
  store_.Get(kHistoryKey, [this, keep](store_reply reply) {
    post_([this, keep, reply = std::move(reply)](monotonic_time now) {
      if (reply.status != store_status::kDone && reply.status != store_status::kAbsent) {
        End(keep, keep_end::kUnavailable, now);
        return;
      }
      keep->history = Read(reply);
      keep->expect = RevisionOf(reply);
      OnHistory(keep, now);
    });
  });
}

void history_keeper::OnHistory(const keep_state& keep, monotonic_time now) {
  if (keep->history.Has(keep->past.version)) {
    End(keep, keep_end::kKept, now);
  } else if (keep->history.IsSuperseded(keep->past.version)) {
    OnSuperseded(keep, now);
  } else if (keep->past.text_revision == 0) {
    PutText(keep);
  } else {
    DeleteDropped(keep);
  }
}

// Before the list names it, so that each version in the list has its text. A conflict is as good as
// done: only the text of this version is ever written under this key. So a lost reply is followed
// by the same write again.
void history_keeper::PutText(const keep_state& keep) {
  Swap(TextKey(keep->past.version), 0, keep->text,
       [this, keep](const store_reply& reply, monotonic_time now) {
         if (reply.status == store_status::kDone || reply.status == store_status::kConflict) {
           keep->is_new = reply.status == store_status::kDone;
           keep->past.text_revision = keep->is_new ? reply.revision : RevisionOf(reply);
           DeleteDropped(keep);
         } else if (reply.status == store_status::kUnknown && --keep->tries > 0) {
           PutText(keep);
         } else {
           End(keep, keep_end::kUnavailable, now);
         }
       });
}

// Texts that left the list are deleted by the next change, before they are forgotten: an entry that
// dies at any point leaves them listed as dropped, and the store does not fill with texts that no
// list names.
void history_keeper::DeleteDropped(const keep_state& keep) {
  if (keep->history.Dropped().empty()) {
    PutHistory(keep);
    return;
  }
  const past_version& oldest = keep->history.Dropped().front();
  Swap(TextKey(oldest.version), oldest.text_revision, std::nullopt,
       [this, keep, version = oldest.version](const store_reply& reply, monotonic_time) {
         // A conflict: it is gone already.
         if (reply.status == store_status::kDone || reply.status == store_status::kConflict) {
           keep->history.RemoveDropped(version);
           DeleteDropped(keep);
         } else {
           PutHistory(keep);  // it stays listed as dropped, for the next change
         }
       });
}

// A writer that was paused for very long can put back the text of a version that was dropped and
// deleted in the meantime; no list names it, so nothing else would ever delete it.
void history_keeper::OnSuperseded(const keep_state& keep, monotonic_time now) {
  if (keep->is_new) {
    Swap(TextKey(keep->past.version), keep->past.text_revision, std::nullopt,
         [](const store_reply&, monotonic_time) {});
  }
  End(keep, keep_end::kSuperseded, now);
}

void history_keeper::PutHistory(const keep_state& keep) {
  keep->history.Add(keep->past, bounds_);
  Swap(kHistoryKey, keep->expect, keep->history.ToText(),
       [this, keep](const store_reply& reply, monotonic_time now) {
         OnHistoryReply(keep, reply, now);
       });
}

void history_keeper::OnHistoryReply(const keep_state& keep, const store_reply& reply,
                                    monotonic_time now) {
  if (reply.status == store_status::kDone) {
    End(keep, keep_end::kKept, now);
    return;
  }
  const bool again =
      reply.status == store_status::kConflict || reply.status == store_status::kUnknown;
  if (!again || --keep->tries <= 0) {
    End(keep, keep_end::kUnavailable, now);
    return;
  }
  // Another operator's entry was first, or our reply was lost: what stands there tells.
  ReadHistory(keep);
}

void history_keeper::List(on_list done) {
  store_.Get(kHistoryKey, [this, done = std::move(done)](store_reply reply) mutable {
    post_([done = std::move(done), reply = std::move(reply)](monotonic_time now) {
      const bool answered =
          reply.status == store_status::kDone || reply.status == store_status::kAbsent;
      done(answered ? std::optional(Read(reply)) : std::nullopt, now);
    });
  });
}

void history_keeper::Text(uint64_t version, on_text done) {
  store_.Get(TextKey(version), [this, done = std::move(done)](store_reply reply) mutable {
    post_([done = std::move(done), reply = std::move(reply)](monotonic_time now) {
      done(reply.status, reply.items.empty() ? std::string() : reply.items.front().value, now);
    });
  });
}

}  // namespace catkinford
