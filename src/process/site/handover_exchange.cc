#include "process/site/handover_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "process/site/packed_message.h"
#include "request/bounded_json.h"
#include "request/text_compression.h"

namespace catkinford {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

}  // namespace

std::string PeerHandoverToText(const peer_handover& handover) {
  json waits = json::object();
  for (const auto& [id, wait] : handover.knowledge.waits) {
    waits[id] = json::array({wait.incarnation, wait.left.count()});
  }
  return CompressText(PackMessage(
      json::array({handover.nonce, handover.epoch, handover.ended_age.count(),
                   handover.knowledge.complete, json(handover.knowledge.progress), waits})));
}

std::optional<peer_handover> PeerHandoverFromText(std::string_view bytes) {
  const auto plain = DecompressText(bytes);
  if (!plain) return std::nullopt;
  auto out = UnpackMessage<peer_handover>(*plain, [](json& in, peer_handover& read) {
    read.nonce = WholeFrom<uint64_t>(in.at(0));
    read.epoch = WholeFrom<uint64_t>(in.at(1));
    read.ended_age = DurationFrom(in.at(2));
    read.knowledge.complete = in.at(3).get<bool>();
    read.knowledge.progress = in.at(4).get<std::map<std::string, std::string>>();
    if (in.size() <= 5) return;  // of an earlier program
    for (const auto& [id, wait] : in.at(5).items()) {
      read.knowledge.waits[id] = {WholeFrom<int64_t>(wait.at(0)), DurationFrom(wait.at(1))};
    }
  });
  if (out && out->ended_age < milliseconds{0}) return std::nullopt;
  return out;
}

std::string_view ToText(handover_outcome outcome) {
  switch (outcome) {
    case handover_outcome::kTaken:
      return "taken";
    case handover_outcome::kNoAnswer:
      return "no_answer";
    case handover_outcome::kUnreadable:
      return "unreadable";
    case handover_outcome::kOtherEpoch:
      return "other_epoch";
    case handover_outcome::kIncomplete:
      return "incomplete";
    case handover_outcome::kOverlap:
      return "overlap";
    case handover_outcome::kLate:
      return "late";
  }
  return "";
}

void kept_handover::Keep(uint64_t epoch, scheduler_handover knowledge, monotonic_time now) {
  epoch_ = epoch;
  knowledge_ = std::move(knowledge);
  ended_ = now;
}

scheduler_handover kept_handover::Begin(uint64_t epoch) {
  const uint64_t former = std::exchange(epoch_, 0);
  scheduler_handover out = std::exchange(knowledge_, {});
  if (former == 0 || former + 1 != epoch) return {};
  return out;
}

peer_handover kept_handover::AnswerTo(uint64_t epoch, uint64_t nonce, monotonic_time now) const {
  if (epoch_ == 0 || epoch != epoch_) return {nonce, 0, milliseconds{0}, {}};
  peer_handover out{nonce, epoch_, std::chrono::floor<milliseconds>(now - ended_), knowledge_};
  for (auto& [id, wait] : out.knowledge.waits) {
    wait.left = std::max(wait.left - out.ended_age, milliseconds{0});
  }
  return out;
}

handover_outcome handover_request::Judge(const std::optional<std::string>& bytes,
                                         monotonic_time now, scheduler_handover& out) const {
  if (!bytes) return handover_outcome::kNoAnswer;
  auto answer = PeerHandoverFromText(*bytes);
  if (!answer) return handover_outcome::kUnreadable;
  if (answer->nonce != nonce_) return handover_outcome::kNoAnswer;
  if (answer->epoch != former_epoch_) return handover_outcome::kOtherEpoch;
  // The time that the answer took counts as time for which the former owner acted.
  if (now - answer->ended_age > began_ + kMaxOverlap) return handover_outcome::kOverlap;
  if (!answer->knowledge.complete) {
    out.waits = std::move(answer->knowledge.waits);
    return handover_outcome::kIncomplete;
  }
  out = std::move(answer->knowledge);
  return handover_outcome::kTaken;
}

}  // namespace catkinford
