#include "process/site/call_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "process/site/packed_message.h"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr size_t kCallFields = 5;  // before the headers: a name and a value each
constexpr size_t kResultFields = 4;

json RowOf(const relayed_call& each) {
  const http_call& call = each.call;
  json row = json::array({each.number, call.method, call.url, call.body, call.timeout.count()});
  for (const auto& [name, value] : call.headers) {
    row.push_back(name);
    row.push_back(value);
  }
  return row;
}

relayed_call CallFrom(json& row) {
  relayed_call out;
  out.number = WholeFrom<uint64_t>(row.at(0));
  out.call.method = std::move(row.at(1).get_ref<std::string&>());
  out.call.url = std::move(row.at(2).get_ref<std::string&>());
  out.call.body = std::move(row.at(3).get_ref<std::string&>());
  out.call.timeout = DurationFrom(row.at(4));
  for (size_t i = kCallFields; i + 1 < row.size(); i += 2) {
    out.call.headers.emplace_back(std::move(row.at(i).get_ref<std::string&>()),
                                  std::move(row.at(i + 1).get_ref<std::string&>()));
  }
  return out;
}

relayed_result ResultFrom(json& row) {
  relayed_result out;
  out.number = WholeFrom<uint64_t>(row.at(0));
  const int status = WholeFrom<int>(row.at(1));
  // A status added by a later version says nothing of the call.
  const bool known = status >= 0 && status <= static_cast<int>(transfer_status::kMaybeSent);
  out.result.status = known ? static_cast<transfer_status>(status) : transfer_status::kMaybeSent;
  out.result.code = WholeFrom<int>(row.at(2));
  out.result.body = std::move(row.at(kResultFields - 1).get_ref<std::string&>());
  return out;
}

}  // namespace

std::string RelayedCallsToBytes(const relayed_calls& message) {
  json rows = json::array();
  for (const relayed_call& each : message.calls) rows.push_back(RowOf(each));
  return PackMessage(json::array({message.epoch, message.not_after_ms, std::move(rows)}));
}

std::optional<relayed_calls> RelayedCallsFromBytes(std::string_view bytes) {
  const auto read = [](json& in, relayed_calls& out) {
    out.epoch = WholeFrom<uint64_t>(in.at(0));
    out.not_after_ms = WholeFrom<int64_t>(in.at(1));
    for (json& row : in.at(2)) out.calls.push_back(CallFrom(row));
  };
  return UnpackMessage<relayed_calls>(bytes, read, kMaxRequestJsonBytes);
}

std::string RelayedResultsToBytes(relayed_results message) {
  json rows = json::array();
  for (relayed_result& each : message.results) {
    rows.push_back(json::array({each.number, static_cast<int>(each.result.status), each.result.code,
                                std::move(each.result.body)}));
  }
  return PackMessage(json::array({message.nonce, message.clock_ms, std::move(rows)}));
}

std::optional<relayed_results> RelayedResultsFromBytes(std::string_view bytes) {
  return UnpackMessage<relayed_results>(bytes, [](json& in, relayed_results& out) {
    out.nonce = WholeFrom<uint64_t>(in.at(0));
    out.clock_ms = WholeFrom<int64_t>(in.at(1));
    for (json& row : in.at(2)) out.results.push_back(ResultFrom(row));
  });
}

}  // namespace catkinford
