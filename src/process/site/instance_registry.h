// The instances' registrations as the owner last read them. One that names no usable instance, such
// as one of another writer, is kept out of all decisions, logged once per change and counted.
#ifndef CATKINFORD_PROCESS_SITE_INSTANCE_REGISTRY_H_
#define CATKINFORD_PROCESS_SITE_INSTANCE_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "connection/store_types.h"
#include "process/scheduling/fleet_state.h"
#include "process/site/site_log.h"
#include "process/site/site_metrics.h"
#include "request/typed_error.h"

namespace catkinford {

// `Platform` decodes a registration by its key and value.
template <typename Platform>
class instance_registry {
 public:
  instance_registry(site_log& log, site_metrics& metrics) : log_(log), metrics_(metrics) {}

  // A read of the registry: Begin(), Add() for each item of each page, End().
  void Begin() {
    ++reads_;
    reading_.clear();
    bytes_ = 0;
    unusable_ = 0;
    logged_ = 0;
  }

  void Add(const store_item& item, monotonic_time now) {
    bytes_ += item.key.size() + item.value.size() + kItemOverheadBytes;
    // Most registrations are as they were when the registry was last read.
    decoded_registration& known = decoded_[item.key];
    known.read = reads_;
    if (known.revision != item.revision || item.revision == 0) {
      known.revision = item.revision;
      Decode(item, known, now);
    }
    if (known.report) {
      reading_.push_back(*known.report);
    } else {
      ++unusable_;
    }
  }

  void End(monotonic_time now) {
    usable_ = std::exchange(reading_, {});
    absl::erase_if(decoded_, [this](const auto& known) { return known.second.read != reads_; });
    metrics_.unusable_registrations.Set(static_cast<double>(unusable_));
    if (logged_ <= kMaxLinesPerRead) return;
    log_.Write(site_event::kRegistrationUnusable, now,
               absl::StrCat("more=", logged_ - kMaxLinesPerRead));
  }

  // As of the last read that has ended.
  const std::vector<instance_report>& Usable() const { return usable_; }
  // Size of the registrations that were last read, in bytes.
  size_t Bytes() const { return bytes_; }

 private:
  static constexpr size_t kItemOverheadBytes = 150;  // on the wire, besides key and value
  static constexpr size_t kMaxLinesPerRead = 10;

  struct decoded_registration {
    uint64_t revision = 0;
    uint64_t read = 0;  // the last one that contained it
    std::optional<instance_report> report;
    registration_fault fault = registration_fault::kNone;
  };

  void Decode(const store_item& item, decoded_registration& known, monotonic_time now) {
    const registration_fault before = known.fault;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(report, Platform::DecodeRegistration(item.key, item.value));
          known.report = std::move(report);
          known.fault = registration_fault::kNone;
          return {};
        },
        [&](registration_fault fault) {
          known.report.reset();
          known.fault = fault;
        },
        [&] {
          known.report.reset();
          known.fault = registration_fault::kUnreadable;
        });
    if (known.fault == before || ++logged_ > kMaxLinesPerRead) return;
    log_.Write(site_event::kRegistrationUnusable, now,
               absl::StrCat("key=", LogField(item.key), " revision=", item.revision,
                            " fault=", std::string(ToText(known.fault))));
  }

  site_log& log_;
  site_metrics& metrics_;
  absl::flat_hash_map<std::string, decoded_registration> decoded_;  // by key
  std::vector<instance_report> reading_;
  std::vector<instance_report> usable_;
  uint64_t reads_ = 0;
  size_t bytes_ = 0;
  size_t unusable_ = 0;
  size_t logged_ = 0;  // changes of faults in this read
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_INSTANCE_REGISTRY_H_
