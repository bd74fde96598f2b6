// What an entry knows of the site from the store: its owner, the epoch and the entries.
#ifndef CATKINFORD_PROCESS_SITE_SITE_VIEW_H_
#define CATKINFORD_PROCESS_SITE_SITE_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "connection/store_types.h"
#include "process/site/site_records.h"

namespace catkinford {

// The current content of the keys under kSitePrefix.
struct site_view {
  std::optional<owner_record> owner;
  uint64_t owner_revision = 0;  // 0: no such key
  uint64_t owner_changed = 0;   // store revision of its last write or removal
  uint64_t epoch = 0;           // the highest so far
  uint64_t epoch_revision = 0;
  std::map<std::string, site_entry> entries;

  // Ignores an item older than what is already known: answers may arrive out of order.
  void Apply(const store_item& item);
  // Takes a read of kOwnerKey alone, which had this content at `revision`; null: no such key.
  void ApplyOwner(const store_item* item, uint64_t revision);
};

// One of the other entries, or of the strong ones among them, chosen by `random`; empty if there is
// none. A deterministic choice would make all entries query the same one at the same time.
std::optional<site_entry> PickPeer(const site_view& view, const std::string& self, bool strong,
                                   uint64_t random);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_VIEW_H_
