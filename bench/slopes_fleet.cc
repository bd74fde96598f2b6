// Slopes of whole processes: a fleet of real entries at rest, as its endpoints and its entries
// grow.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <thread>
#include <utility>

#include "bench/fleet.h"
#include "bench/slope.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStartLimit{30000};
constexpr int kStartTries = 3;
constexpr milliseconds kSettle{4000};
constexpr milliseconds kWatch{5000};
constexpr double kDomains = 3;
constexpr double kEntriesOfDomain = 2;

struct rest_figures {
  double cpu_us = 0;          // of one entry, a second
  double resident_bytes = 0;  // of one entry
  double peer_bytes = 0;      // on the wire to and from other entries, of one entry, a second
  double wire_bytes = 0;      // the same with store, instance list and endpoints
};

double CpuMicroseconds(fleet& running) {
  double cpu = 0;
  for (size_t slot = 0; slot < running.Entries(); ++slot) {
    cpu += 1000.0 * static_cast<double>(running.Entry(slot).process.Usage().cpu.count());
  }
  return cpu;
}

// A port that was free when the fleet picked it may be taken by another program before the entry
// opens it; then the whole fleet is started again. A fleet that never comes up ends the command:
// a figure of zero would bend the line without anybody seeing it.
std::unique_ptr<fleet> StartFleet(const fleet_options& options) {
  for (int i = 0; i < kStartTries; ++i) {
    auto running = std::make_unique<fleet>(options);
    if (running->Start(kStartLimit)) return running;
  }
  std::fputs("slopes: a fleet did not come up\n", stderr);
  std::exit(1);
}

rest_figures RunAtRest(const fleet_options& options) {
  const auto kept = StartFleet(options);
  fleet& running = *kept;
  std::this_thread::sleep_for(kSettle);
  const double before = CpuMicroseconds(running);
  const double peers_before = running.PeerBytes();
  const double platform_before = running.PlatformBytes();
  std::this_thread::sleep_for(kWatch);
  const double spent = CpuMicroseconds(running) - before;
  rest_figures figures;
  const auto entries = static_cast<double>(running.Entries());
  const double rate = 1 / std::chrono::duration<double>(kWatch).count() / entries;
  figures.peer_bytes = 2 * (running.PeerBytes() - peers_before) * rate;
  figures.wire_bytes = figures.peer_bytes + (running.PlatformBytes() - platform_before) * rate;
  figures.cpu_us = spent / std::chrono::duration<double>(kWatch).count() / entries;
  for (size_t slot = 0; slot < running.Entries(); ++slot) {
    const auto kilobytes = static_cast<double>(running.Entry(slot).process.Usage().resident_kb);
    figures.resident_bytes += kilobytes * 1024 / entries;
  }
  return figures;
}

// Memory and processor time are figures of the same run.
rest_figures AtRest(const fleet_options& options) {
  static std::map<std::pair<size_t, size_t>, rest_figures> runs;
  const std::pair<size_t, size_t> key = {options.endpoints_per_domain, options.entries_per_domain};
  const auto found = runs.find(key);
  if (found != runs.end()) return found->second;
  return runs[key] = RunAtRest(options);
}

// Endpoints of one entry, in three failure domains with two entries each.
fleet_options WithEndpoints(double endpoints) {
  fleet_options options;
  options.endpoints_per_domain = static_cast<size_t>(endpoints * kEntriesOfDomain);
  return options;
}

// Entries in all, over three failure domains.
fleet_options WithEntries(double entries) {
  fleet_options options;
  options.entries_per_domain = static_cast<size_t>(entries / kDomains);
  options.shards_per_domain = static_cast<uint32_t>(entries / kDomains);
  return options;
}

double CpuOfEndpoints(double endpoints) { return AtRest(WithEndpoints(endpoints)).cpu_us; }
double MemoryOfEndpoints(double endpoints) {
  return AtRest(WithEndpoints(endpoints)).resident_bytes;
}
double CpuOfEntries(double entries) { return AtRest(WithEntries(entries)).cpu_us; }
double MemoryOfEntries(double entries) { return AtRest(WithEntries(entries)).resident_bytes; }

double PeerBytesOfEntries(double entries) { return AtRest(WithEntries(entries)).peer_bytes; }
double WireBytesOfEntries(double entries) { return AtRest(WithEntries(entries)).wire_bytes; }

}  // namespace

std::vector<slope_question> FleetSlopes() {
  const std::vector<double> endpoints = {10, 40, 80, 160};
  const std::vector<double> entries = {6, 12, 24, 36};
  return {
      {"entry.memory", "bytes", "endpoint", endpoints, MemoryOfEndpoints,
       "catkinfordd at rest, 6 entries, resident memory", 1},
      {"entry.cpu", "us a second", "endpoint", endpoints, CpuOfEndpoints,
       "catkinfordd at rest, 6 entries, default settings", 1},
      {"entry.memory_by_entries", "bytes", "entry", entries, MemoryOfEntries,
       "catkinfordd at rest, 51 endpoints, resident memory", 1},
      {"entry.cpu_by_entries", "us a second", "entry", entries, CpuOfEntries,
       "catkinfordd at rest, 51 endpoints, default settings", 1},
      {"entry.peer_bytes_by_entries", "bytes a second", "entry", entries, PeerBytesOfEntries,
       "on the wire between catkinfordd at rest, 51 endpoints, default settings", 1},
      {"entry.wire_bytes_by_entries", "bytes a second", "entry", entries, WireBytesOfEntries,
       "the same with store, instance list and endpoints", 1},
  };
}

}  // namespace catkinford
