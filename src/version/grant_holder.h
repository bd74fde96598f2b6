// Access of one shard to the grant ledger: which compare-and-swap to send next, and what may be
// used meanwhile, whatever happens to the replies. Pure: replies come in, writes go out.
//
// The ledger is spread over a fixed number of values in the store, by team, so that a change to one
// team's grants neither conflicts with nor transfers those of all others.
#ifndef CATKINFORD_VERSION_GRANT_HOLDER_H_
#define CATKINFORD_VERSION_GRANT_HOLDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "connection/store_adapter.h"
#include "version/contract.h"
#include "version/grant_ledger.h"

namespace catkinford {

// Number of values that the ledger is spread over. At 170 teams in 18 shards one value is about 7
// KB.
constexpr uint32_t kGrantBuckets = 16;

// The key "grants/NN" of the value that holds the parts of this team's limit.
std::string GrantKeyOf(std::string_view team);

struct grant_write {
  std::string key;
  uint64_t expect = 0;
  std::string value;
  std::string write_id;
};

// One owner of one shard, for as long as it owns it. A new owner contacts no endpoint until each
// part carries its epoch; an owner that learns that it was superseded stops planning. Before the
// stamp only the old owner renews leases, so its accounts are an upper bound of what runs; after it
// the old owner's writes conflict. So no part is ever returned while it is in use.
class grant_holder {
 public:
  grant_holder(std::string shard, uint64_t epoch, grant_policy policy = {});

  // Appends the writes that stamp our epoch on each part of this shard that was read.
  void PlanStamps(std::vector<grant_write>& out);
  // Whether no part that was read carries an earlier owner's epoch. Until then the new owner must
  // not renew leases: the earlier owner, assuming that they expire, would return parts that are in
  // use.
  bool Stamped() const;

  // Appends the writes that bring the ledger to what the shard needs, one at a time for each value.
  // `all_listed`: every endpoint of the shard was listed, so `used` is complete.
  void Plan(const configuration& config, const std::vector<grant_demand>& demands, bool all_listed,
            std::vector<grant_write>& out);
  // Handles the reply to a write. No read is needed: a conflict returns the present value.
  void OnReply(const std::string& key, const store_reply& reply);
  // Handles a value received from a range read or a watch.
  void OnRead(const std::string& key, uint64_t revision, const std::string& value);

  // What may be used now, for each team of which this shard ever held a part.
  std::vector<grant_entry> Usable(const configuration& config) const;
  // Whether another owner of this shard with a higher epoch has written: this one holds nothing any
  // more.
  bool Superseded() const { return superseded_; }

 private:
  struct bucket {
    ledger_value ledger;  // at `revision`
    uint64_t revision = 0;
    bool unreadable = false;  // not a ledger: never overwritten
    // The write in flight, or one whose reply was lost: it may have taken effect or may still do
    // so.
    grant_write write;
    ledger_value sent;
    bool in_flight = false;
    bool uncertain = false;
  };

  void ApplyValue(bucket& into, uint64_t revision, const std::string& value);
  void Send(bucket& from, std::vector<grant_write>& out);
  bool Stamp(ledger_value& ledger) const;
  const grant_entry* OwnEntry(const ledger_value& ledger, const std::string& team) const;

  std::string shard_;
  uint64_t epoch_;
  grant_policy policy_;
  bool superseded_ = false;
  uint64_t writes_ = 0;
  std::map<std::string, bucket> buckets_;
  std::map<std::string, std::string> teams_;  // team → key
};

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_GRANT_HOLDER_H_
