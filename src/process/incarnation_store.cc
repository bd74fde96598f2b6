#include "process/incarnation_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Restarts come in waves of a rack or a release; one write covers all within this time.
constexpr milliseconds kWriteInterval{1000};
constexpr milliseconds kRetry{250};  // after a call that the store did not answer

std::string KeyOf(const std::string& shard_name) {
  return absl::StrCat("incarnations/", shard_name);
}

std::string ToText(const incarnations& known) {
  return json(known).dump(-1, ' ', false, json::error_handler_t::replace);
}

// Skips what is not readable: the shard treats it as an endpoint without a record.
incarnations Parse(const std::string& text) {
  incarnations known;
  const json read = ParseJson(text);
  if (!read.is_object()) return known;
  for (const auto& [endpoint, incarnation] : read.items()) {
    if (incarnation.is_number_unsigned()) known[endpoint] = incarnation.get<uint64_t>();
  }
  return known;
}

}  // namespace

incarnation_store::incarnation_store(std::string writer, sender send)
    : writer_(std::move(writer)), send_(std::move(send)) {}

void incarnation_store::OnGained(const shard& owned, monotonic_time now) {
  shard_value value;
  value.generation = ++generation_;
  value.next_call = now;
  values_[owned.Name()] = std::move(value);
}

void incarnation_store::Tick(shard& owned, monotonic_time now) {
  const auto found = values_.find(owned.Name());
  if (found == values_.end()) return;
  shard_value& value = found->second;
  if (value.read && !value.delivered) {
    value.delivered = true;
    owned.SetIncarnations(value.known, now);
  }
  // Waits while endpoints are being listed, to avoid one write for each of them.
  const bool waits = value.read && !owned.AllListed();
  if (value.in_flight || waits || now < value.next_call) return;
  store_request call;
  call.key = KeyOf(owned.Name());
  if (!value.read) {
    call.kind = store_call_kind::kRange;
    Call(owned.Name(), value, std::move(call));
    return;
  }
  value.written = owned.Incarnations(now);
  if (value.written == value.known) return;
  value.next_call = now + kWriteInterval;
  call.kind = store_call_kind::kSwap;
  call.expect = value.revision;
  call.value = ToText(value.written);
  Call(owned.Name(), value, std::move(call));
}

void incarnation_store::Call(const std::string& shard_name, shard_value& value,
                             store_request call) {
  call.tag = tags_.Next();
  call.write_id = absl::StrCat(writer_, ":", shard_name, ":", value.generation, ":", call.tag);
  value.in_flight = true;
  send_(call, [this, shard_name, generation = value.generation](const store_reply& reply,
                                                                monotonic_time now) {
    const auto found = values_.find(shard_name);
    if (found == values_.end() || found->second.generation != generation) return;
    OnReply(shard_name, found->second, reply, now);
  });
}

// A lost reply needs no special handling: the next write conflicts and returns the stored value.
void incarnation_store::OnReply(const std::string& shard_name, shard_value& value,
                                const store_reply& reply, monotonic_time now) {
  value.in_flight = false;
  const bool answered =
      reply.status == store_status::kDone || reply.status == store_status::kConflict;
  if (!answered) {
    value.next_call = now + kRetry;
    return;
  }
  const bool is_read = !value.read;
  value.read = true;
  value.delivered = false;
  if (!is_read) value.revision = reply.revision;
  if (!is_read && reply.status == store_status::kDone) {
    value.known = value.written;
    return;
  }
  value.known.clear();
  for (const store_item& item : reply.items) {
    if (is_read && item.key != KeyOf(shard_name)) continue;  // shard 10, read with shard 1
    if (is_read) value.revision = item.revision;
    value.known = Parse(item.value);
  }
}

}  // namespace catkinford
