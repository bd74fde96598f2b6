// What a site keeps in the store: keys, and the records under them.
//
//   site/owner          the owner of the site; bound to the lease of its process
//   site/epoch          the highest epoch of an owner; never decreases
//   site/entry/NAME     a running entry; bound to its lease
//   inbox/job/ID        an accepted job, written once by the entry that accepted it
//   inbox/cancel/ID     a job whose cancellation was accepted
//   progress/ID         the progress of a job, written by the owner
//   owner/commit        changes with each write of the owner, so that a write that is carried out
//                       late finds it changed and does nothing
//   owner/fleet         the instances that may run work of the owner
//   owner/behind        present while starts are sent before their records are stored
//   owner/learned       run times and speeds that the owner has learned, for the next one
#ifndef CATKINFORD_PROCESS_SITE_SITE_RECORDS_H_
#define CATKINFORD_PROCESS_SITE_SITE_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/scheduling/fleet_state.h"

namespace catkinford {

inline constexpr char kSitePrefix[] = "site/";
inline constexpr char kOwnerKey[] = "site/owner";
// A range that holds kOwnerKey alone. Not every store includes the key that equals a prefix.
inline constexpr char kOwnerRange[] = "site/o";
inline constexpr char kEpochKey[] = "site/epoch";
inline constexpr char kEntryPrefix[] = "site/entry/";
inline constexpr char kInboxPrefix[] = "inbox/";
inline constexpr char kJobPrefix[] = "inbox/job/";
inline constexpr char kCancelPrefix[] = "inbox/cancel/";
inline constexpr char kProgressPrefix[] = "progress/";
inline constexpr char kCommitKey[] = "owner/commit";
inline constexpr char kFleetKey[] = "owner/fleet";
inline constexpr char kAsyncRecordsKey[] = "owner/behind";
inline constexpr char kLearnedKey[] = "owner/learned";

struct site_entry {
  std::string name;
  std::string address;  // "ip:port" for calls between entries
  std::string failure_domain;
  uint64_t nonce = 0;  // of the process: a restarted process has another
  // Capacity of its machine relative to others; see Strength().
  double strength = 1;

  bool operator==(const site_entry&) const = default;
};

struct owner_record {
  site_entry entry;
  uint64_t epoch = 0;
  bool early = false;  // claimed before the lease of the previous owner ended
};

// The ...FromText functions return nothing for malformed text; FleetFromText skips malformed rows.
std::string EntryToText(const site_entry& entry);
std::optional<site_entry> EntryFromText(std::string_view text);
std::string OwnerToText(const owner_record& owner);
std::optional<owner_record> OwnerFromText(std::string_view text);
std::string FleetToText(const std::vector<instance_report>& instances);
std::vector<instance_report> FleetFromText(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_RECORDS_H_
