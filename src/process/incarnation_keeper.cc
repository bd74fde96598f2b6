#include "process/incarnation_keeper.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Restarts come in waves of a rack or a release; one write tells of all within this time.
constexpr milliseconds kWriteInterval{1000};
constexpr milliseconds kRetry{250};  // after a call that the store did not answer

std::string KeyOf(const std::string& shard_name) {
  return absl::StrCat("incarnations/", shard_name);
}

std::string ToText(const incarnations& known) {
  return json(known).dump(-1, ' ', false, json::error_handler_t::replace);
}

// What is not readable is left out: to the shard it is an endpoint without a record.
incarnations Parse(const std::string& text) {
  incarnations known;
  const json read = json::parse(text, nullptr, false);
  if (!read.is_object()) return known;
  for (const auto& [endpoint, incarnation] : read.items()) {
    if (incarnation.is_number_unsigned()) known[endpoint] = incarnation.get<uint64_t>();
  }
  return known;
}

}  // namespace

incarnation_keeper::incarnation_keeper(std::string writer, sender send)
    : writer_(std::move(writer)), send_(std::move(send)) {}

void incarnation_keeper::OnGained(const shard& of, monotonic_time now) {
  held_value held;
  held.generation = ++generation_;
  held.next_call = now;
  held_[of.Name()] = std::move(held);
}

void incarnation_keeper::Tick(shard& of, monotonic_time now) {
  const auto found = held_.find(of.Name());
  if (found == held_.end()) return;
  held_value& held = found->second;
  if (held.read && !held.given) {
    held.given = true;
    of.SetIncarnations(held.known, now);
  }
  // Not one by one while the endpoints are being listed.
  const bool waits = held.read && !of.AllListed();
  if (held.in_flight || waits || now < held.next_call) return;
  store_request call;
  call.key = KeyOf(of.Name());
  if (!held.read) {
    call.kind = ownership_call_kind::kRange;
    Call(of.Name(), held, std::move(call));
    return;
  }
  held.written = of.Incarnations(now);
  if (held.written == held.known) return;
  held.next_call = now + kWriteInterval;
  call.kind = ownership_call_kind::kSwap;
  call.expect = held.revision;
  call.value = ToText(held.written);
  Call(of.Name(), held, std::move(call));
}

void incarnation_keeper::Call(const std::string& shard_name, held_value& held, store_request call) {
  call.tag = tags_.Next();
  call.write_id = absl::StrCat(writer_, ":", shard_name, ":", held.generation, ":", call.tag);
  held.in_flight = true;
  send_(call, [this, shard_name, generation = held.generation](const store_reply& reply,
                                                               monotonic_time now) {
    const auto found = held_.find(shard_name);
    if (found == held_.end() || found->second.generation != generation) return;
    OnReply(shard_name, found->second, reply, now);
  });
}

// A lost reply needs no rule of its own: the next write then conflicts and learns what is there.
void incarnation_keeper::OnReply(const std::string& shard_name, held_value& held,
                                 const store_reply& reply, monotonic_time now) {
  held.in_flight = false;
  const bool answered =
      reply.status == store_status::kDone || reply.status == store_status::kConflict;
  if (!answered) {
    held.next_call = now + kRetry;
    return;
  }
  const bool is_read = !held.read;
  held.read = true;
  held.given = false;
  if (!is_read) held.revision = reply.revision;
  if (!is_read && reply.status == store_status::kDone) {
    held.known = held.written;
    return;
  }
  held.known.clear();
  for (const store_item& item : reply.items) {
    if (is_read && item.key != KeyOf(shard_name)) continue;  // shard 10, read with shard 1
    if (is_read) held.revision = item.revision;
    held.known = Parse(item.value);
  }
}

}  // namespace catkinford
