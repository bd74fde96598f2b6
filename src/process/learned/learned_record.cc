#include "process/learned/learned_record.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;
// Changes of logarithms below this move no decision.
constexpr double kNoticeable = 0.07;
// Room for the fields around the lists.
constexpr size_t kHeaderBytes = 200;
// Bounds of valid values: a factor of 50 either way, and weights that cannot overflow.
constexpr double kMaxMean = 4;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxSum = 1e9;

// Three decimals: further ones would use up the space of other rows.
double Rounded(double value) { return std::round(value * 1000) / 1000; }

double NumberIn(const json& in, double low, double high) {
  const auto value = in.get<double>();
  // Not-a-number is out of range too.
  if (!(value >= low && value <= high)) throw json::other_error::create(599, "out of range", &in);
  return value;
}

void AddRows(json& list, std::vector<json> rows, size_t& left) {
  for (json& row : rows) {
    const size_t bytes = row.dump(-1, ' ', false, json::error_handler_t::replace).size() + 1;
    if (bytes > left) return;
    left -= bytes;
    list.push_back(std::move(row));
  }
}

template <typename Row, typename Weight>
std::vector<Row> MostInformative(std::vector<Row> rows, Weight weight) {
  std::stable_sort(rows.begin(), rows.end(),
                   [&](const Row& a, const Row& b) { return weight(a) > weight(b); });
  return rows;
}

double Information(const learned_instance& instance) {
  return instance.weight * instance.mean * instance.mean;
}

// True if some entry of `now` is missing in `before`, or its value differs noticeably.
template <typename Row, typename Name, typename Value>
bool AnyDiffers(const std::vector<Row>& before, const std::vector<Row>& now, Name name,
                Value value) {
  if (before.size() != now.size()) return true;
  absl::flat_hash_map<std::string, double> known;
  for (const Row& row : before) known[name(row)] = value(row);
  return std::any_of(now.begin(), now.end(), [&](const Row& row) {
    const auto found = known.find(name(row));
    return found == known.end() || std::abs(found->second - value(row)) > kNoticeable;
  });
}

}  // namespace

std::string LearnedToText(const learned_record& record) {
  size_t left = kMaxLearnedBytes - kHeaderBytes;
  json queues = json::array();
  json kinds = json::array();
  json instances = json::array();
  std::vector<json> rows;
  for (const queue_run_times& each :
       MostInformative(record.queues, [](const queue_run_times& queue) { return queue.w; })) {
    rows.push_back({each.queue, Rounded(each.w), Rounded(each.x), Rounded(each.y), Rounded(each.xx),
                    Rounded(each.xy)});
  }
  // Not all of the space: hundreds of queues must not displace what is known of instances.
  size_t half = left / 2;
  left -= half;
  AddRows(queues, std::exchange(rows, {}), half);
  left += half;
  for (const kind_speed& each :
       MostInformative(record.kinds, [](const kind_speed& kind) { return kind.weight; })) {
    rows.push_back({each.kind, Rounded(each.mean), Rounded(each.spread), Rounded(each.weight)});
  }
  AddRows(kinds, std::exchange(rows, {}), left);
  for (const learned_instance& each : MostInformative(record.instances, Information)) {
    rows.push_back({each.id, Rounded(each.mean), Rounded(each.weight)});
  }
  AddRows(instances, std::move(rows), left);
  const auto written =
      std::chrono::duration_cast<std::chrono::milliseconds>(record.written.time_since_epoch());
  return json{{"version", kVersion}, {"epoch", record.epoch}, {"written_ms", written.count()},
              {"queues", queues},    {"kinds", kinds},        {"instances", instances}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<learned_record> LearnedFromText(std::string_view text, wall_time now) {
  if (text.size() > kMaxLearnedBytes) return std::nullopt;
  const json in = ParseJson(text);
  if (!in.is_object()) return std::nullopt;
  try {
    if (WholeFrom<int>(in.at("version")) != kVersion) return std::nullopt;
    learned_record out;
    out.epoch = WholeFrom<uint64_t>(in.at("epoch"));
    out.written = wall_time(DurationFrom(in.at("written_ms")));
    if (now - out.written > kMaxLearnedAge || out.written - now > kMaxLearnedAge) {
      return std::nullopt;
    }
    for (const json& row : in.at("queues")) {
      out.queues.push_back({row.at(0).get<std::string>(), NumberIn(row.at(1), 0, kMaxWeight),
                            NumberIn(row.at(2), -kMaxSum, kMaxSum),
                            NumberIn(row.at(3), -kMaxSum, kMaxSum), NumberIn(row.at(4), 0, kMaxSum),
                            NumberIn(row.at(5), -kMaxSum, kMaxSum)});
    }
    for (const json& row : in.at("kinds")) {
      out.kinds.push_back({row.at(0).get<std::string>(), NumberIn(row.at(1), -kMaxMean, kMaxMean),
                           NumberIn(row.at(2), 0, kMaxMean), NumberIn(row.at(3), 0, kMaxWeight)});
    }
    for (const json& row : in.at("instances")) {
      out.instances.push_back({row.at(0).get<std::string>(),
                               NumberIn(row.at(1), -kMaxMean, kMaxMean),
                               NumberIn(row.at(2), 0, kMaxWeight)});
    }
    return out;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

bool learned_writer::Differs(const learned_record& record, monotonic_time now) {
  next_check_ = now + kInterval;
  if (record.Empty()) return false;
  if (written_.Empty() || now - written_at_ >= kRenewAfter) return true;
  return AnyDiffers(
             written_.queues, record.queues, [](const queue_run_times& row) { return row.queue; },
             [](const queue_run_times& row) { return row.w <= 0 ? 0 : row.y / row.w; }) ||
         AnyDiffers(
             written_.kinds, record.kinds, [](const kind_speed& row) { return row.kind; },
             [](const kind_speed& row) { return row.mean; }) ||
         AnyDiffers(
             written_.instances, record.instances,
             [](const learned_instance& row) { return row.id; },
             [](const learned_instance& row) { return row.mean; });
}

void learned_writer::OnWritten(learned_record record, monotonic_time now) {
  written_ = std::move(record);
  written_at_ = now;
}

}  // namespace catkinford
