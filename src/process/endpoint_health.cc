#include "process/endpoint_health.h"

#include <algorithm>

namespace catkinford {
namespace {

constexpr double kDecay = 0.9;          // about the last ten runs have weight
constexpr double kMinBad = 3;           // minimum weight of bad runs before ejection
constexpr double kMinRatio = 0.5;       // and their minimum ratio
constexpr double kPeerRatioFactor = 3;  // and the minimum multiple of the peers' ratio
constexpr uint32_t kProbationRuns = 3;
constexpr std::chrono::seconds kFirstEjection{10};
constexpr uint32_t kMaxDoublings = 5;
constexpr uint32_t kEjectableDivisor = 10;  // at most one in this many endpoints is ejected

}  // namespace

bool endpoint_health::Note(bool fault, const failure_ratio& peers) {
  recent_.Add(fault, kDecay);
  if (state_ == health_state::kProbation) {
    if (fault) return true;
    if (++passed_ >= kProbationRuns) {
      state_ = health_state::kGood;
      ejections_ = 0;
    }
    return false;
  }
  return state_ == health_state::kGood && recent_.bad >= kMinBad &&
         recent_.Ratio() >= std::max(kMinRatio, kPeerRatioFactor * peers.Ratio());
}

void endpoint_health::Eject(monotonic_time now) {
  state_ = health_state::kEjected;
  until_ = now + kFirstEjection * (1U << std::min(ejections_, kMaxDoublings));
  ++ejections_;
}

void endpoint_health::BeginProbation() {
  state_ = health_state::kProbation;
  recent_ = {};
  passed_ = 0;
}

uint32_t EjectionLimit(uint32_t endpoints) {
  return endpoints < 2 ? 0 : std::max(1U, endpoints / kEjectableDivisor);
}

}  // namespace catkinford
