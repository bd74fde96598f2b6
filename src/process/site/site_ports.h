// What a site needs from its platform, as concepts: an adapter for the users' platform and the
// fakes of the tests both satisfy them.
#ifndef CATKINFORD_PROCESS_SITE_SITE_PORTS_H_
#define CATKINFORD_PROCESS_SITE_SITE_PORTS_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "connection/store_types.h"
#include "process/scheduling/fleet_state.h"
#include "process/scheduling/scheduler_messages.h"
#include "request/step_graph.h"
#include "request/typed_error.h"
#include "version/site_version.h"

namespace catkinford {

// The store did what it was asked, or said why not.
inline bool IsAnswer(const store_reply& reply) {
  return reply.status != store_status::kUnavailable && reply.status != store_status::kUnknown;
}

using store_callback = std::function<void(store_reply)>;
using order_callback = std::function<void(order_answer)>;
using listing_callback = std::function<void(std::optional<instance_listing>, order_result)>;
using advice_callback = std::function<void(advice_answer)>;

// Callbacks may come on any thread, each exactly once.
template <typename Store>
concept key_value_store =
    requires(Store store, std::string text, uint64_t revision, std::chrono::milliseconds time,
             store_write write, store_callback done, read_options way) {
      store.Get(text, done, way);
      store.Range(text, text, done, way);
      store.Watch(text, revision, time, done, way);
      store.Commit(write, done);
      store.GrantLease(time, done);
      store.KeepLease(text, done);
      store.EndLease(text, done);
    };

template <typename Endpoints>
concept instance_endpoints =
    requires(Endpoints to, start_order start, stop_order stop, pace_order pace, list_order list,
             uint64_t epoch, order_callback done, listing_callback listed) {
      to.Start(start, epoch, done);
      to.Stop(stop, epoch, done);
      to.Pace(pace, epoch, done);
      to.List(list, epoch, listed);
      { to.Delay() } -> std::same_as<std::chrono::milliseconds>;
    };

template <typename Advisor>
concept queue_advisor =
    requires(Advisor advisor, advice_order order, std::chrono::milliseconds timeout,
             advice_callback done) { advisor.Ask(order, timeout, done); };

// The whole platform: its calls, the keys that its operator and its instances write, and the
// decoding of what they and the callers say.
template <typename Platform>
concept site_platform = requires(Platform platform, std::string text, std::string_view view,
                                 graph_phase phase, size_t count) {
  requires key_value_store<std::remove_reference_t<decltype(platform.Store())>>;
  requires instance_endpoints<std::remove_reference_t<decltype(platform.Instances())>>;
  requires queue_advisor<std::remove_reference_t<decltype(platform.Advisor())>>;
  { Platform::kVersionKeyName } -> std::convertible_to<std::string>;
  { Platform::kVersionKeyPrefix } -> std::convertible_to<std::string>;
  { Platform::kInstanceKeyPrefix } -> std::convertible_to<std::string>;
  { Platform::kMostInOneChange } -> std::convertible_to<size_t>;
  {
    Platform::DecodeVersion(view)
  } -> std::same_as<leaf::result<std::shared_ptr<const site_version>>>;
  { Platform::DecodeRegistration(view, view) } -> std::same_as<std::optional<instance_report>>;
  { Platform::DecodeSubmission(text, view) } -> std::same_as<leaf::result<graph_job>>;
  { Platform::EncodePhase(phase) } -> std::same_as<std::string>;
  { Platform::EncodePending(count) } -> std::same_as<std::string>;
  { Platform::EncodeError(view) } -> std::same_as<std::string>;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_PORTS_H_
