// Reads a range of the store to its end. One answer holds a part of a long range only.
#ifndef CATKINFORD_PROCESS_SITE_RANGE_READER_H_
#define CATKINFORD_PROCESS_SITE_RANGE_READER_H_

#include <string>
#include <string_view>
#include <utility>

#include "connection/store_types.h"

namespace catkinford {

// True if `reply` is a page that continues a range after this key. One that has more items to come
// but brings none cannot be continued.
inline bool IsPage(const store_reply& reply, std::string_view after) {
  if (reply.status != store_status::kDone) return false;
  return !reply.more || (!reply.items.empty() && reply.items.back().key > after);
}

// `send(after, reply_callback)` requests the page after a key. `take(page)` gets each page in
// order. `done(last)` gets the last reply without its items: with another status than kDone the
// range has not been read to its end. Pages are no snapshot: their revision is that of the first
// one, from which a watch misses nothing.
template <typename Send, typename Take, typename Done>
void ReadRange(const std::string& after, Send send, Take take, Done done, uint64_t revision = 0) {
  send(after, [after, send, take, done, revision](store_reply page) mutable {
    if (!IsPage(page, after)) {
      if (page.status == store_status::kDone) page.status = store_status::kUnavailable;
      return done(page);
    }
    if (revision == 0) revision = page.revision;
    page.revision = revision;
    const std::string last = page.items.empty() ? std::string() : page.items.back().key;
    take(page);
    page.items.clear();
    if (!page.more) return done(page);
    ReadRange(last, send, take, done, revision);
  });
}

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_RANGE_READER_H_
