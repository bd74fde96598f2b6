#include "process/usage_spread.h"

#include <algorithm>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// A change below this part of the cell is not told: nine domains with one each stay below half a
// percentage point of a share.
constexpr double kLeastChange = 1.0 / 2048;
// Bytes on the wire: a call and its reply without the teams, and one team.
constexpr uint32_t kCallBytes = 600;
constexpr uint32_t kTeamBytes = 30;
constexpr int64_t kMillisPerSecond = 1000;

uint32_t Difference(uint32_t a, uint32_t b) { return a > b ? a - b : b - a; }

double PartOf(const resources& change, const resources& cell) {
  const auto part = [](uint32_t amount, uint32_t whole) {
    return whole == 0 ? 0.0 : static_cast<double>(amount) / whole;
  };
  return std::max({part(change.cpu_milli, cell.cpu_milli), part(change.memory_mb, cell.memory_mb),
                   part(change.accelerators, cell.accelerators), part(change.slots, cell.slots)});
}

resources ChangeOf(const resources& a, const resources& b) {
  return {Difference(a.cpu_milli, b.cpu_milli), Difference(a.memory_mb, b.memory_mb),
          Difference(a.accelerators, b.accelerators), Difference(a.slots, b.slots)};
}

resources UseOf(const team_uses& uses, const std::string& team) {
  const auto found = uses.find(team);
  return found == uses.end() ? resources{} : found->second;
}

milliseconds TimeToSend(size_t teams, uint32_t bytes_per_second) {
  const int64_t bytes = kCallBytes + static_cast<int64_t>(teams) * kTeamBytes;
  return milliseconds{bytes * kMillisPerSecond / std::max<uint32_t>(bytes_per_second, 1)};
}

}  // namespace

usage_spread::usage_spread(usage_spread_options options) : options_(std::move(options)) {}

void usage_spread::OnUsage(const std::string& from, const usage_message& message,
                           monotonic_time now) {
  source& known = sources_[from];
  if (message.incarnation < known.incarnation) return;
  if (message.incarnation > known.incarnation) known = {message.incarnation, 0, now, {}};
  if (message.sequence < known.whole) return;
  known.heard = now;
  if (message.whole) {
    known.whole = message.sequence;
    absl::erase_if(known.uses,
                   [&](const auto& use) { return use.second.sequence < message.sequence; });
  }
  for (const team_report& team : message.teams) {
    told_use& use = known.uses[team.team];
    if (message.sequence > use.sequence) use = {team.running, message.sequence};
  }
}

void usage_spread::OnLost(const std::string& to) {
  const auto found = destinations_.find(to);
  if (found == destinations_.end()) return;
  found->second.told.clear();
  found->second.whole = true;
}

bool usage_spread::IsRelay(const usage_view& view) const {
  return view.neighbours.empty() || options_.name < view.neighbours.front();
}

const std::string& usage_spread::RelayOf(const usage_view& view) const {
  return IsRelay(view) ? options_.name : view.neighbours.front();
}

// The one that spoke last, since its own domain may see its members otherwise than we do; the
// lowest until one has spoken.
const std::string& usage_spread::FarRelayOf(const std::vector<std::string>& entries) const {
  const std::string* best = &entries.front();
  monotonic_time heard{};
  for (const std::string& name : entries) {
    const auto found = sources_.find(name);
    if (found == sources_.end() || found->second.heard <= heard) continue;
    best = &name;
    heard = found->second.heard;
  }
  return *best;
}

void usage_spread::AddUses(const std::string& from, team_uses& sum) const {
  const auto found = sources_.find(from);
  if (found == sources_.end()) return;
  for (const auto& [team, use] : found->second.uses) sum[team] += use.running;
}

team_uses usage_spread::DomainUses(const usage_view& view, const std::string& without) const {
  team_uses sum = own_;
  for (const std::string& name : view.neighbours) {
    if (name != without) AddUses(name, sum);
  }
  return sum;
}

team_uses usage_spread::FarUses(const usage_view& view) const {
  team_uses sum;
  for (const auto& [domain, entries] : view.far) AddUses(FarRelayOf(entries), sum);
  return sum;
}

team_uses usage_spread::Elsewhere(const usage_view& view) const {
  team_uses sum;
  if (!IsRelay(view)) {
    const std::string& relay = RelayOf(view);
    AddUses(sources_.contains(relay) ? relay : last_relay_, sum);
    return sum;
  }
  sum = FarUses(view);
  for (const std::string& name : view.neighbours) AddUses(name, sum);
  return sum;
}

std::vector<std::string> usage_spread::Destinations(const usage_view& view) const {
  if (!IsRelay(view)) return {RelayOf(view)};
  std::vector<std::string> all = view.neighbours;
  for (const auto& [domain, entries] : view.far) all.push_back(FarRelayOf(entries));
  return all;
}

team_uses usage_spread::UsesFor(const usage_view& view, const std::string& to) const {
  if (!IsRelay(view)) return own_;
  const auto& near = view.neighbours;
  const bool is_near = std::find(near.begin(), near.end(), to) != near.end();
  if (!is_near) return DomainUses(view, "");
  team_uses sum = DomainUses(view, to);
  for (const auto& [team, running] : FarUses(view)) sum[team] += running;
  return sum;
}

std::vector<team_report> usage_spread::Changes(const destination& to, const team_uses& uses,
                                               const resources& cell) const {
  struct change {
    double part;
    team_report report;
  };
  std::vector<change> changes;
  const auto consider = [&](const std::string& team) {
    const resources now = UseOf(uses, team);
    const resources told = UseOf(to.told, team);
    const double part = PartOf(ChangeOf(now, told), cell);
    // The end of all work is told however little it was: it would never be told otherwise.
    const bool ended = now == resources{} && told != resources{};
    if (part >= kLeastChange || ended) changes.push_back({part, {team, now}});
  };
  for (const auto& [team, running] : uses) consider(team);
  for (const auto& [team, running] : to.told) {
    if (!uses.contains(team)) consider(team);
  }
  std::sort(changes.begin(), changes.end(),
            [](const change& a, const change& b) { return a.part > b.part; });
  if (changes.size() > options_.largest_message) changes.resize(options_.largest_message);
  std::vector<team_report> reports;
  reports.reserve(changes.size());
  for (change& one : changes) reports.push_back(std::move(one.report));
  return reports;
}

// One message at a time, to the one that has waited longest, when the budget allows.
void usage_spread::Due(const usage_view& view, monotonic_time now, std::vector<due_usage>& out) {
  if (const std::string& relay = RelayOf(view); sources_.contains(relay)) last_relay_ = relay;
  if (now < next_send_) return;
  std::vector<std::string> order = Destinations(view);
  for (const std::string& name : order) destinations_.try_emplace(name);
  std::sort(order.begin(), order.end(), [this](const std::string& a, const std::string& b) {
    return destinations_.at(a).next < destinations_.at(b).next;
  });
  for (const std::string& name : order) {
    destination& to = destinations_.at(name);
    if (now < to.next) return;
    const team_uses uses = UsesFor(view, name);
    std::vector<team_report> changes = Changes(to, uses, view.cell);
    if (changes.empty() && !to.whole) continue;
    for (const team_report& team : changes) {
      if (team.running == resources{}) {
        to.told.erase(team.team);
      } else {
        to.told[team.team] = team.running;
      }
    }
    next_send_ = now + TimeToSend(changes.size(), options_.bytes_per_second);
    to.next = now + options_.period;
    out.push_back(
        {name, {options_.incarnation, ++to.sequence, std::exchange(to.whole, false), changes}});
    return;
  }
}

milliseconds usage_spread::NewsPeriod(const usage_view& view) const {
  const size_t destinations = view.neighbours.size() + view.far.size();
  const size_t teams = std::min(own_.size(), options_.largest_message);
  const milliseconds round =
      TimeToSend(teams, options_.bytes_per_second) * static_cast<int64_t>(destinations);
  return std::max(round, options_.period * 2);
}

}  // namespace catkinford
