#include "process/usage_propagation.h"

#include <algorithm>
#include <utility>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// Changes below this fraction of the cell are not sent: with nine domains the total error stays
// below half a percentage point of a share.
constexpr double kMinChange = 1.0 / 2048;
// Bytes on the wire for a call and its reply without the teams, and for each team.
constexpr uint32_t kCallBytes = 600;
constexpr uint32_t kTeamBytes = 30;
constexpr int64_t kMillisPerSecond = 1000;

uint32_t Difference(uint32_t a, uint32_t b) { return a > b ? a - b : b - a; }

double FractionOf(const resources& change, const resources& cell) {
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

resources UsageOf(const team_usage_map& uses, const std::string& team) {
  const auto found = uses.find(team);
  return found == uses.end() ? resources{} : found->second;
}

milliseconds TimeToSend(size_t teams, uint32_t bytes_per_second) {
  const int64_t bytes = kCallBytes + static_cast<int64_t>(teams) * kTeamBytes;
  return milliseconds{bytes * kMillisPerSecond / std::max<uint32_t>(bytes_per_second, 1)};
}

}  // namespace

usage_propagation::usage_propagation(usage_propagation_options options)
    : options_(std::move(options)) {}

void usage_propagation::OnUsage(const std::string& from, const usage_message& message,
                                monotonic_time now) {
  source& known = sources_[from];
  if (message.incarnation < known.incarnation) return;
  if (message.incarnation > known.incarnation) known = {message.incarnation, 0, now, {}};
  if (message.sequence < known.whole) return;
  known.last_report = now;
  if (message.whole) {
    known.whole = message.sequence;
    absl::erase_if(known.uses,
                   [&](const auto& use) { return use.second.sequence < message.sequence; });
  }
  for (const team_report& team : message.teams) {
    reported_usage& use = known.uses[team.team];
    if (message.sequence > use.sequence) use = {team.running, message.sequence};
  }
}

void usage_propagation::OnLost(const std::string& to) {
  const auto found = destinations_.find(to);
  if (found == destinations_.end()) return;
  found->second.reported.clear();
  found->second.whole = true;
}

bool usage_propagation::IsRelay(const usage_view& view) const {
  return view.neighbours.empty() || options_.name < view.neighbours.front();
}

const std::string& usage_propagation::RelayOf(const usage_view& view) const {
  return IsRelay(view) ? options_.name : view.neighbours.front();
}

// The entry that reported last, since its own domain may see its members differently; the lowest
// name until one has reported.
const std::string& usage_propagation::FarRelayOf(const std::vector<std::string>& entries) const {
  const std::string* best = &entries.front();
  monotonic_time last_report{};
  for (const std::string& name : entries) {
    const auto found = sources_.find(name);
    if (found == sources_.end() || found->second.last_report <= last_report) continue;
    best = &name;
    last_report = found->second.last_report;
  }
  return *best;
}

void usage_propagation::AddUsage(const std::string& from, team_usage_map& sum) const {
  const auto found = sources_.find(from);
  if (found == sources_.end()) return;
  for (const auto& [team, use] : found->second.uses) sum[team] += use.running;
}

team_usage_map usage_propagation::DomainUsage(const usage_view& view,
                                              const std::string& without) const {
  team_usage_map sum = own_;
  for (const std::string& name : view.neighbours) {
    if (name != without) AddUsage(name, sum);
  }
  return sum;
}

team_usage_map usage_propagation::FarUsage(const usage_view& view) const {
  team_usage_map sum;
  for (const auto& [domain, entries] : view.far) AddUsage(FarRelayOf(entries), sum);
  return sum;
}

team_usage_map usage_propagation::Elsewhere(const usage_view& view) const {
  team_usage_map sum;
  if (!IsRelay(view)) {
    const std::string& relay = RelayOf(view);
    AddUsage(sources_.contains(relay) ? relay : last_relay_, sum);
    return sum;
  }
  sum = FarUsage(view);
  for (const std::string& name : view.neighbours) AddUsage(name, sum);
  return sum;
}

std::vector<std::string> usage_propagation::Destinations(const usage_view& view) const {
  if (!IsRelay(view)) return {RelayOf(view)};
  std::vector<std::string> all = view.neighbours;
  for (const auto& [domain, entries] : view.far) all.push_back(FarRelayOf(entries));
  return all;
}

team_usage_map usage_propagation::UsageFor(const usage_view& view, const std::string& to) const {
  if (!IsRelay(view)) return own_;
  const auto& near = view.neighbours;
  const bool is_near = std::find(near.begin(), near.end(), to) != near.end();
  if (!is_near) return DomainUsage(view, "");
  team_usage_map sum = DomainUsage(view, to);
  for (const auto& [team, running] : FarUsage(view)) sum[team] += running;
  return sum;
}

std::vector<team_report> usage_propagation::Changes(const destination& to,
                                                    const team_usage_map& uses,
                                                    const resources& cell) const {
  struct change {
    double part;
    team_report report;
  };
  std::vector<change> changes;
  const auto consider = [&](const std::string& team) {
    const resources now = UsageOf(uses, team);
    const resources reported = UsageOf(to.reported, team);
    const double part = FractionOf(ChangeOf(now, reported), cell);
    // The end of all usage is sent however small it was, as it would not be sent otherwise.
    const bool ended = now == resources{} && reported != resources{};
    if (part >= kMinChange || ended) changes.push_back({part, {team, now}});
  };
  for (const auto& [team, running] : uses) consider(team);
  for (const auto& [team, running] : to.reported) {
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

// Sends one message at a time, to the destination that has waited longest, as the budget allows.
void usage_propagation::Due(const usage_view& view, monotonic_time now,
                            std::vector<due_usage>& out) {
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
    const team_usage_map uses = UsageFor(view, name);
    std::vector<team_report> changes = Changes(to, uses, view.cell);
    if (changes.empty() && !to.whole) continue;
    for (const team_report& team : changes) {
      if (team.running == resources{}) {
        to.reported.erase(team.team);
      } else {
        to.reported[team.team] = team.running;
      }
    }
    next_send_ = now + TimeToSend(changes.size(), options_.bytes_per_second);
    to.next = now + options_.period;
    out.push_back(
        {name, {options_.incarnation, ++to.sequence, std::exchange(to.whole, false), changes}});
    return;
  }
}

milliseconds usage_propagation::PropagationPeriod(const usage_view& view) const {
  const size_t destinations = view.neighbours.size() + view.far.size();
  const size_t teams = std::min(own_.size(), options_.largest_message);
  const milliseconds round =
      TimeToSend(teams, options_.bytes_per_second) * static_cast<int64_t>(destinations);
  return std::max(round, options_.period * 2);
}

}  // namespace catkinford
