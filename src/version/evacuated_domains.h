// The failure domains that operators have closed to new work. Runs that are at work there continue.
//
// A copy of a list in the store, kept by the complete list as of a revision and by single changes.
// Both may arrive late and out of order: nothing that is older than the copy changes it.
#ifndef CATKINFORD_VERSION_EVACUATED_DOMAINS_H_
#define CATKINFORD_VERSION_EVACUATED_DOMAINS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace catkinford {

class evacuated_domains {
 public:
  // The complete list as of `revision` of the store. Returns true if the list here has changed.
  bool Replace(std::set<std::string> names, uint64_t revision);
  // The domain was closed, or opened again, at `revision`; several may have been at once. Returns
  // true if the list has changed.
  bool Apply(const std::string& name, bool evacuated, uint64_t revision);
  // All changes up to `revision` have been applied.
  void Advance(uint64_t revision);

  const std::set<std::string>& Names() const { return names_; }
  uint64_t Revision() const { return revision_; }  // of the store, as of which the list is complete

 private:
  struct change {
    uint64_t revision = 0;
    bool evacuated = false;
  };

  bool SetEvacuated(const std::string& name, bool evacuated);

  std::set<std::string> names_;
  uint64_t revision_ = 0;
  std::map<std::string, change> changes_;  // the latest of each domain, not older than `revision_`
};

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_EVACUATED_DOMAINS_H_
