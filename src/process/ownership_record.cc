#include "process/ownership_record.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "connection/json_fields.h"

namespace catkinford {
namespace {

using nlohmann::json;

constexpr uint64_t kHashOffset = 14695981039346656037ULL;
constexpr uint64_t kHashPrime = 1099511628211ULL;

}  // namespace

// FNV-1a with a final mixing step.
uint64_t StableHash(const std::string& text) {
  uint64_t hash = kHashOffset;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kHashPrime;
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  return hash ^ (hash >> 33);
}

std::string ToText(const member_record& record) {
  return absl::StrCat("{\"name\":", Quoted(record.name), ",\"incarnation\":", record.incarnation,
                      ",\"address\":", Quoted(record.address),
                      ",\"caller_address\":", Quoted(record.caller_address),
                      ",\"lease\":", Quoted(record.lease),
                      ",\"leaving\":", record.leaving ? "true" : "false", "}");
}

std::optional<member_record> ParseMemberRecord(const std::string& text) {
  const json object = ParseObject(text);
  if (object.is_discarded()) return std::nullopt;
  member_record record;
  record.name = TextAt(object, "name");
  record.incarnation = NumberAt(object, "incarnation");
  record.address = TextAt(object, "address");
  record.caller_address = TextAt(object, "caller_address");
  record.lease = TextAt(object, "lease");
  record.leaving = FlagAt(object, "leaving");
  if (record.name.empty()) return std::nullopt;
  return record;
}

std::string ToText(const shard_record& record) {
  return absl::StrCat("{\"owner\":", Quoted(record.owner), ",\"incarnation\":", record.incarnation,
                      ",\"epoch\":", record.epoch, "}");
}

std::optional<shard_record> ParseShardRecord(const std::string& text) {
  const json object = ParseObject(text);
  if (object.is_discarded()) return std::nullopt;
  shard_record record;
  record.owner = TextAt(object, "owner");
  record.incarnation = NumberAt(object, "incarnation");
  record.epoch = NumberAt(object, "epoch");
  if (record.owner.empty() || record.epoch == 0) return std::nullopt;
  return record;
}

std::string MemberPrefix(const std::string& failure_domain) {
  return absl::StrCat("member/", failure_domain, "/");
}

std::string ShardPrefix(const std::string& failure_domain) {
  return absl::StrCat("shard/", failure_domain, "/");
}

std::string MemberKey(const std::string& failure_domain, const std::string& name) {
  return MemberPrefix(failure_domain) + name;
}

std::string ShardKey(const std::string& failure_domain, uint32_t shard) {
  return absl::StrCat(ShardPrefix(failure_domain), shard);
}

std::optional<uint32_t> ShardOfKey(const std::string& key) {
  const size_t slash = key.rfind('/');
  if (slash == std::string::npos) return std::nullopt;
  uint32_t shard = 0;
  const char* end = key.data() + key.size();
  const auto parsed = std::from_chars(key.data() + slash + 1, end, shard);
  if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return shard;
}

member_load* ChooseOwner(std::vector<member_load>& members, const std::string& shard_key) {
  member_load* best = nullptr;
  uint64_t best_hash = 0;
  for (member_load& member : members) {
    const uint64_t hash = StableHash(absl::StrCat(member.name, "|", shard_key));
    const bool fewer = best == nullptr || member.shards < best->shards;
    const bool wins_tie = best != nullptr && member.shards == best->shards && hash > best_hash;
    if (!fewer && !wins_tie) continue;
    best = &member;
    best_hash = hash;
  }
  return best;
}

}  // namespace catkinford
