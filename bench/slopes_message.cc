// Slopes of the messages between entries: the real codec over the real JSON-RPC call.
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/forked_server.h"
#include "bench/slope.h"
#include "connection/peer_rpc.h"
#include "connection/rpc_server.h"
#include "process/message.h"
#include "process/peer_mailbox.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};
constexpr size_t kPayload = 200;
constexpr resources kAmount{1000, 4000, 0, 1};
const char* const kSender = "asahikawa-2";

void ServeRpc(uint16_t port, const std::function<void()>& wait) {
  http_server_options options;
  options.port = port;
  options.body_limit = size_t{64} << 20;
  rpc_server server(options, [](const std::string& /*text*/) { return "ok"; });
  server.Start();
  wait();
  server.Stop();
}

// Both ways, over a connection that is open already.
double CallBytes(const std::string& text) {
  forked_server server(ServeRpc);
  http_client client(1);
  client.Start();
  http_call call{"POST", "http://127.0.0.1:" + std::to_string(server.Port()),
                 EncodeRpcRequest("deliver", text)};
  call.timeout = kTimeout;
  client.SendAndWait(call);
  const double before = SocketBytes(server.Port());
  client.SendAndWait(call);
  const double bytes = SocketBytes(server.Port()) - before;
  client.Stop();
  return bytes;
}

double RpcBytes(double body_bytes) {
  return CallBytes(std::string(static_cast<size_t>(body_bytes), 'x'));
}

// A heartbeat with the words of owners of one shard each.
message_body MakeHeartbeat(double entries) {
  heartbeat_message heartbeat;
  heartbeat.failure_domain = "asahikawa";
  for (int i = 0; i < static_cast<int>(entries); ++i) {
    entry_status status;
    status.name = "asahikawa-" + std::to_string(i);
    status.incarnation = 1764716400123456;
    status.heartbeat = 123456;
    status.age = milliseconds{i == 0 ? 0 : 1234};
    status.config_version = 123456;
    shard_report report;
    report.shard = "asahikawa/0";
    report.epoch = 12;
    report.endpoints = 78;
    report.summary.largest_capacity = {64000, 256000, 0, 40};
    report.summary.open_endpoints = 78;
    report.summary.queued_tasks = 123;
    report.summary.running_tasks = 2222;
    status.shards.push_back(report);
    heartbeat.entries.push_back(status);
  }
  return heartbeat;
}

message_body MakeUsage(double teams) {
  usage_message usage;
  usage.incarnation = 1764716400123456;
  usage.sequence = 12345;
  for (int i = 0; i < static_cast<int>(teams); ++i) {
    usage.teams.push_back({"team-" + std::to_string(100 + i), {123000, 456000, 0, 78}});
  }
  return usage;
}

message_body MakePlace() {
  place_message place;
  place.id = {0x123456789abcdef0, 0x0fedcba987654321};
  place.shard = "asahikawa/0";
  place.team = "team-123";
  place.each = kAmount;
  place.run_time = milliseconds{50};
  place.deadline_left = milliseconds{5000};
  place.payload = std::string(kPayload, 'x');
  return place;
}

message_body MakeOutcome() {
  outcome_message message;
  message.result.id = {0x123456789abcdef0, 0x0fedcba987654321};
  message.result.kind = outcome_kind::kCompleted;
  message.result.answer = std::string(kPayload, 'x');
  return message;
}

std::string Batch(const message_body& message, double count) {
  return EncodeBatch(kSender, std::vector<message_body>(static_cast<size_t>(count), message));
}

double HeartbeatBytes(double entries) { return CallBytes(Batch(MakeHeartbeat(entries), 1)); }
double UsageBytes(double teams) { return CallBytes(Batch(MakeUsage(teams), 1)); }
double PlaceBytes(double messages) { return CallBytes(Batch(MakePlace(), messages)); }
double OutcomeBytes(double messages) { return CallBytes(Batch(MakeOutcome(), messages)); }

// Writing and reading: what both sides together spend.
double CodecCpu(const message_body& message, double count) {
  const std::vector<message_body> batch(static_cast<size_t>(count), message);
  return CpuOf([&] { DecodeBatch(EncodeBatch(kSender, batch)); });
}

double PlaceCpu(double messages) { return CodecCpu(MakePlace(), messages); }
double OutcomeCpu(double messages) { return CodecCpu(MakeOutcome(), messages); }

// One message, as what it tells of grows.
double CpuOfOne(const message_body& message) {
  constexpr int kTimes = 100;
  const std::vector<message_body> batch = {message};
  const double cpu = CpuOf([&] {
    for (int i = 0; i < kTimes; ++i) DecodeBatch(EncodeBatch(kSender, batch));
  });
  return cpu / kTimes;
}

double HeartbeatCpu(double entries) { return CpuOfOne(MakeHeartbeat(entries)); }
double UsageCpu(double teams) { return CpuOfOne(MakeUsage(teams)); }

// Peers that do not answer: their rings and senders.
double PeerMemory(double peers) {
  peer_auth unsigned_calls;
  return HeapOf([&] {
    auto mailbox = std::make_unique<peer_mailbox>(
        kSender, http_server_options{}, milliseconds{100}, unsigned_calls,
        [](const std::vector<peer_message>& /*messages*/) {},
        [](const std::string& /*peer*/, transfer_status /*status*/,
           const std::vector<message_body>& /*lost*/) {},
        [] { return std::optional<heartbeat_message>(); });
    for (int i = 0; i < static_cast<int>(peers); ++i) {
      mailbox->SetPeer("entry-" + std::to_string(i), "http://127.0.0.1:1");
    }
    return mailbox;
  });
}

}  // namespace

std::vector<slope_question> MessageSlopes() {
  const std::vector<double> teams = {0, 40, 80, 170};
  const std::vector<double> entries = {1, 3, 6, 12};
  const std::vector<double> messages = {1, 10, 50, 200};
  return {
      {"rpc.bytes",
       "bytes",
       "byte of the text",
       {150, 1500, 7500, 30000},
       RpcBytes,
       "JSON-RPC call between entries, plain text, both ways"},
      {"heartbeat.bytes", "bytes", "word", entries, HeartbeatBytes,
       "heartbeat with words of owners of one shard each over JSON-RPC, both ways"},
      {"heartbeat.codec_cpu", "us", "word", entries, HeartbeatCpu,
       "the same, EncodeBatch and DecodeBatch"},
      {"usage.bytes", "bytes", "team", teams, UsageBytes, "usage_message over JSON-RPC, both ways"},
      {"usage.codec_cpu", "us", "team", teams, UsageCpu, "the same, EncodeBatch and DecodeBatch"},
      {"place.bytes", "bytes", "message", messages, PlaceBytes,
       "place_message with 200 bytes of payload over JSON-RPC, both ways"},
      {"place.codec_cpu", "us", "message", messages, PlaceCpu,
       "the same, EncodeBatch and DecodeBatch"},
      {"outcome.bytes", "bytes", "message", messages, OutcomeBytes,
       "outcome_message with 200 bytes of answer over JSON-RPC, both ways"},
      {"outcome.codec_cpu", "us", "message", messages, OutcomeCpu,
       "the same, EncodeBatch and DecodeBatch"},
      {"peer.memory",
       "bytes",
       "peer",
       {5, 15, 30, 53},
       PeerMemory,
       "peer_mailbox: ring and sender of each peer, without stacks"},
  };
}

}  // namespace catkinford
