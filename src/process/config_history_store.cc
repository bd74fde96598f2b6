#include "process/config_history_store.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "version/config_signature.h"

namespace catkinford {
namespace {

constexpr char kHistoryKey[] = "history";
constexpr int kSaveAttempts = 8;  // covers lost replies and concurrent changes of the list

std::string TextKey(uint64_t version) { return absl::StrCat(kHistoryKey, "/", version); }

// An unreadable list, for example after a manual edit in the store, is replaced by a new one: it
// must not block every further configuration change.
config_history ParseHistory(const store_reply& reply) {
  if (reply.items.empty()) return {};
  return config_history::Parse(reply.items.front().value).value_or(config_history{});
}

uint64_t RevisionOf(const store_reply& reply) {
  return reply.items.empty() ? 0 : reply.items.front().revision;
}

}  // namespace

config_history_store::config_history_store(store_adapter& store, history_limits bounds, poster post)
    : store_(store), bounds_(bounds), post_(std::move(post)) {}

void config_history_store::Save(uint64_t version, const std::string& text, on_saved done) {
  if (in_flight_ && in_flight_->past.version == version) {
    in_flight_->done.push_back(std::move(done));
    return;
  }
  const config_signature signature = SignatureOf(text);
  auto pending = std::make_shared<pending_save>();
  in_flight_ = pending;
  pending->past = {version, 0, text.size(), signature.changed_at, signature.by, signature.summary};
  pending->text = text;
  pending->done.push_back(std::move(done));
  pending->tries = kSaveAttempts;
  ReadHistory(pending);
}

void config_history_store::End(const save_handle& pending, save_outcome end, monotonic_time now) {
  if (end == save_outcome::kSaved) saved_ = std::max(saved_, pending->past.version);
  if (in_flight_ == pending) in_flight_.reset();
  for (const on_saved& done : pending->done) done(end, now);
}

void config_history_store::Swap(const std::string& key, uint64_t expect,
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

void config_history_store::ReadHistory(const save_handle& pending) {
  store_.Get(kHistoryKey, [this, pending](store_reply reply) {
    post_([this, pending, reply = std::move(reply)](monotonic_time now) {
      if (reply.status != store_status::kDone && reply.status != store_status::kAbsent) {
        End(pending, save_outcome::kUnavailable, now);
        return;
      }
      pending->history = ParseHistory(reply);
      pending->expect = RevisionOf(reply);
      OnHistory(pending, now);
    });
  });
}

void config_history_store::OnHistory(const save_handle& pending, monotonic_time now) {
  if (pending->history.Has(pending->past.version)) {
    End(pending, save_outcome::kSaved, now);
  } else if (pending->history.IsSuperseded(pending->past.version)) {
    OnSuperseded(pending, now);
  } else if (pending->past.text_revision == 0) {
    PutText(pending);
  } else {
    DeleteDropped(pending);
  }
}

// The text is written before the list refers to it, so that each listed version has its text. A
// conflict counts as done: only the text of this version is ever written under this key. So a lost
// reply is handled by repeating the write.
void config_history_store::PutText(const save_handle& pending) {
  Swap(TextKey(pending->past.version), 0, pending->text,
       [this, pending](const store_reply& reply, monotonic_time now) {
         if (reply.status == store_status::kDone || reply.status == store_status::kConflict) {
           pending->is_new = reply.status == store_status::kDone;
           pending->past.text_revision = pending->is_new ? reply.revision : RevisionOf(reply);
           DeleteDropped(pending);
         } else if (reply.status == store_status::kUnknown && --pending->tries > 0) {
           PutText(pending);
         } else {
           End(pending, save_outcome::kUnavailable, now);
         }
       });
}

// Texts dropped from the list are deleted by the next change, before they are removed from the
// list: an entry that is lost at any point leaves them listed as dropped, and no unlisted texts
// accumulate in the store.
void config_history_store::DeleteDropped(const save_handle& pending) {
  if (pending->history.Dropped().empty()) {
    PutHistory(pending);
    return;
  }
  const past_version& oldest = pending->history.Dropped().front();
  Swap(TextKey(oldest.version), oldest.text_revision, std::nullopt,
       [this, pending, version = oldest.version](const store_reply& reply, monotonic_time) {
         // On a conflict it is already deleted.
         if (reply.status == store_status::kDone || reply.status == store_status::kConflict) {
           pending->history.RemoveDropped(version);
           DeleteDropped(pending);
         } else {
           PutHistory(pending);  // stays listed as dropped until the next change
         }
       });
}

// A writer that was paused for very long can write the text of a version that has been dropped and
// deleted in the meantime. No list refers to it, so nothing else would ever delete it.
void config_history_store::OnSuperseded(const save_handle& pending, monotonic_time now) {
  if (pending->is_new) {
    Swap(TextKey(pending->past.version), pending->past.text_revision, std::nullopt,
         [](const store_reply&, monotonic_time) {});
  }
  End(pending, save_outcome::kSuperseded, now);
}

void config_history_store::PutHistory(const save_handle& pending) {
  pending->history.Add(pending->past, bounds_);
  Swap(kHistoryKey, pending->expect, pending->history.ToText(),
       [this, pending](const store_reply& reply, monotonic_time now) {
         OnHistoryReply(pending, reply, now);
       });
}

void config_history_store::OnHistoryReply(const save_handle& pending, const store_reply& reply,
                                          monotonic_time now) {
  if (reply.status == store_status::kDone) {
    End(pending, save_outcome::kSaved, now);
    return;
  }
  const bool may_retry =
      reply.status == store_status::kConflict || reply.status == store_status::kUnknown;
  if (!may_retry || --pending->tries <= 0) {
    End(pending, save_outcome::kUnavailable, now);
    return;
  }
  // Another entry wrote first, or the reply was lost: read what is stored.
  ReadHistory(pending);
}

void config_history_store::List(on_list done) {
  store_.Get(kHistoryKey, [this, done = std::move(done)](store_reply reply) mutable {
    post_([done = std::move(done), reply = std::move(reply)](monotonic_time now) {
      const bool answered =
          reply.status == store_status::kDone || reply.status == store_status::kAbsent;
      done(answered ? std::optional(ParseHistory(reply)) : std::nullopt, now);
    });
  });
}

void config_history_store::Text(uint64_t version, on_text done) {
  store_.Get(TextKey(version), [this, done = std::move(done)](store_reply reply) mutable {
    post_([done = std::move(done), reply = std::move(reply)](monotonic_time now) {
      done(reply.status, reply.items.empty() ? std::string() : reply.items.front().value, now);
    });
  });
}

}  // namespace catkinford
