// The order in which the entries of a site claim it when it has no owner, and who watches the
// owner. All entries compute it from the same view. Each function takes time in the number of
// entries.
#ifndef CATKINFORD_PROCESS_SITE_CLAIM_ORDER_H_
#define CATKINFORD_PROCESS_SITE_CLAIM_ORDER_H_

#include <chrono>
#include <string>

#include "process/site/site_view.h"

namespace catkinford {

// An entry is much stronger, or weak, by this factor.
inline constexpr double kMuchStronger = 2;

// Relative strength of a machine with this share of a processor and this link. An owner calls every
// instance: with a narrow link or a small share the answers arrive too late, and the calls they
// belong to time out.
double Strength(double cpu_share, double link_mbps);

// Whether the view holds an entry that is much stronger than this one.
bool MuchStrongerExists(const site_view& view, const site_entry& self);

// How long to wait before claiming a site without an owner. Entries claim one after the other, the
// strong ones first, so that usually one claim is sent instead of one per entry.
std::chrono::milliseconds ClaimDelay(const site_view& view, const std::string& self);

// Whether this entry is one of those that check the owner's process.
bool WatchesOwner(const site_view& view, const std::string& self);

// Whether this entry is one of the few that own the site or claim it first. The others can wait for
// what these need at once. True if the view does not name this entry.
bool ClaimsAmongFirst(const site_view& view, const std::string& self);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_CLAIM_ORDER_H_
