#include "process/site/start_messages.h"

#include <concepts>
#include <nlohmann/json.hpp>
#include <utility>

#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;

// Reads the fields of a row in sequence.
class row_reader {
 public:
  explicit row_reader(const json& row) : row_(row) {}
  template <typename T>
  row_reader& operator>>(T& field) {
    const json& value = row_.at(at_++);
    if constexpr (std::integral<T> && !std::same_as<T, bool>) {
      field = WholeFrom<T>(value);
    } else {
      value.get_to(field);
    }
    return *this;
  }

 private:
  const json& row_;
  size_t at_ = 0;
};

json RowOf(const forwarded_start& start) {
  const start_command& command = start.command;
  return {start.number,    command.to.instance,    command.to.address, command.to.incarnation,
          command.key.job, command.key.occurrence, command.key.step,   command.key.index,
          command.run,     command.lease_until_ms, command.checkpoint, command.ticket};
}

forwarded_start StartFrom(const json& row) {
  forwarded_start out;
  start_command& command = out.command;
  row_reader(row) >> out.number >> command.to.instance >> command.to.address >>
      command.to.incarnation >> command.key.job >> command.key.occurrence >> command.key.step >>
      command.key.index >> command.run >> command.lease_until_ms >> command.checkpoint >>
      command.ticket;
  return out;
}

// A result code added by a later version counts as unknown.
command_result ResultFrom(int number) {
  const bool known = number >= 0 && number <= static_cast<int>(command_result::kUnknown);
  return known ? static_cast<command_result>(number) : command_result::kUnknown;
}

}  // namespace

start_command WithoutPayload(const start_command& start) {
  return {start.to,         start.key,    start.run,          {}, start.lease_until_ms,
          start.checkpoint, start.ticket, start.lease_command};
}

std::string ForwardedStartsToText(const forwarded_starts& starts) {
  json rows = json::array();
  for (const forwarded_start& start : starts.starts) rows.push_back(RowOf(start));
  const json out{{"epoch", starts.epoch}, {"owner", starts.owner}, {"starts", std::move(rows)}};
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<forwarded_starts> ForwardedStartsFromText(std::string_view text) {
  const json in = ParseRequestJson(text);
  if (!in.is_object()) return std::nullopt;
  forwarded_starts out;
  try {
    out.epoch = WholeFrom<uint64_t>(in.at("epoch"));
    in.at("owner").get_to(out.owner);
    for (const json& row : in.at("starts")) out.starts.push_back(StartFrom(row));
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return out;
}

std::string StartResultsToText(const std::vector<start_result>& results) {
  json rows = json::array();
  for (const start_result& each : results) {
    json row{each.number, each.sent, static_cast<int>(each.answer.result)};
    if (each.answer.clock_ms) row.push_back(*each.answer.clock_ms);
    rows.push_back(std::move(row));
  }
  return rows.dump();
}

std::optional<std::vector<start_result>> StartResultsFromText(std::string_view text) {
  const json in = ParseRequestJson(text);
  if (!in.is_array()) return std::nullopt;
  constexpr size_t kWithClock = 4;
  std::vector<start_result> out;
  try {
    for (const json& row : in) {
      start_result& each = out.emplace_back();
      int result = 0;
      row_reader fields(row);
      fields >> each.number >> each.sent >> result;
      each.answer.result = ResultFrom(result);
      if (row.size() >= kWithClock) fields >> each.answer.clock_ms.emplace();
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return out;
}

}  // namespace catkinford
