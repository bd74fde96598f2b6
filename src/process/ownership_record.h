// The records that entries write to the platform's store about themselves and the shards of their
// failure domain, and the rule that distributes the shards. Pure.
#ifndef CATKINFORD_PROCESS_OWNERSHIP_RECORD_H_
#define CATKINFORD_PROCESS_OWNERSHIP_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinford {

// Value of "member/<domain>/<entry>"; the key is attached to the entry's lease.
struct member_record {
  std::string name;
  uint64_t incarnation = 0;  // of the process; a later process of the same name has a higher one
  std::string address;       // for peers
  std::string caller_address;
  std::string lease;     // the lease that the key is attached to
  bool leaving = false;  // takes no more shards

  bool operator==(const member_record&) const = default;
};

// Value of "shard/<domain>/<n>". It remains when its owner leaves: the epoch only grows.
struct shard_record {
  std::string owner;
  uint64_t incarnation = 0;  // of the owner's process
  uint64_t epoch = 0;

  bool operator==(const shard_record&) const = default;
};

std::string ToText(const member_record& record);
std::optional<member_record> ParseMemberRecord(const std::string& text);
std::string ToText(const shard_record& record);
std::optional<shard_record> ParseShardRecord(const std::string& text);

std::string MemberKey(const std::string& failure_domain, const std::string& name);
std::string ShardKey(const std::string& failure_domain, uint32_t shard);
std::string MemberPrefix(const std::string& failure_domain);
std::string ShardPrefix(const std::string& failure_domain);
// The number at the end of a shard's key.
std::optional<uint32_t> ShardOfKey(const std::string& key);

// The same on every machine, which absl::Hash does not guarantee.
uint64_t StableHash(const std::string& text);

// The number of shards that a member owns, for ChooseOwner().
struct member_load {
  std::string name;
  uint32_t shards = 0;
};

// Chooses the owner of a free shard: the member with the fewest shards, and among equals the one
// with the highest rendezvous hash. Entries that see the same members choose the same owner, so
// they do not race for each shard. Null when there are no members.
member_load* ChooseOwner(std::vector<member_load>& members, const std::string& shard_key);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_OWNERSHIP_RECORD_H_
