// What a site needs from its platform, as concepts. The adapter for the users' platform and the
// tests' fakes satisfy them.
#ifndef CATKINFORD_PROCESS_SITE_SITE_PLATFORM_H_
#define CATKINFORD_PROCESS_SITE_SITE_PLATFORM_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "connection/http_client.h"
#include "connection/store_types.h"
#include "process/scheduling/fleet_state.h"
#include "process/scheduling/scheduler_messages.h"
#include "request/step_graph.h"
#include "request/typed_error.h"
#include "version/site_configuration.h"

namespace catkinford {

// True when the outcome is known: the store did what was requested or gave a reason why not.
inline bool IsAnswer(const store_reply& reply) {
  return reply.status != store_status::kUnavailable && reply.status != store_status::kUnknown;
}

using store_callback = std::function<void(store_reply)>;
using command_callback = std::function<void(command_answer)>;
using listing_callback = std::function<void(std::optional<instance_listing>, command_result)>;
using advice_callback = std::function<void(advice_answer)>;

// Callbacks may run on any thread; each is called exactly once.
template <typename Store>
concept key_value_store =
    requires(Store store, std::string text, uint64_t revision, std::chrono::milliseconds time,
             store_write write, store_callback done, read_options way) {
      store.Get(text, done, way);
      store.Range(text, text, done, way);
      store.Watch(text, revision, time, done, way);
      store.Commit(write, done);
      store.GrantLease(time, done);
      store.RenewLease(text, done);
      store.RevokeLease(text, done);
      { store.CpuTime() } -> std::same_as<std::chrono::microseconds>;
    };

template <typename Endpoints>
concept instance_endpoints = requires(
    Endpoints to, start_command start, stop_command stop, speed_command pace, list_command list,
    uint64_t epoch, command_callback done, listing_callback listed, call_route route) {
  to.SetRoute(route);
  to.Start(start, epoch, done);
  to.ForwardStart(start, epoch, done);
  to.Stop(stop, epoch, done);
  to.SetSpeed(pace, epoch, done);
  to.List(list, epoch, listed);
  { to.Delay() } -> std::same_as<std::chrono::milliseconds>;
  { to.CpuTime() } -> std::same_as<std::chrono::microseconds>;
  { to.Connections() } -> std::same_as<connection_counts>;
  to.CloseIdleConnections();
};

template <typename Advisor>
concept queue_advisor =
    requires(Advisor advisor, advice_query order, std::chrono::milliseconds timeout,
             advice_callback done) { advisor.QueryAdvice(order, timeout, done); };

// The full platform: its calls, the keys that its operator and its instances write, and the codecs
// for their values and for callers' messages.
template <typename Platform>
concept site_platform = requires(Platform platform, std::string text, std::string_view view,
                                 graph_phase phase, size_t count) {
  requires key_value_store<std::remove_reference_t<decltype(platform.Store())>>;
  requires instance_endpoints<std::remove_reference_t<decltype(platform.Instances())>>;
  requires queue_advisor<std::remove_reference_t<decltype(platform.Advisor())>>;
  { Platform::kVersionKeyName } -> std::convertible_to<std::string>;
  // Of all that operators write: the configuration and the evacuations.
  { Platform::kOperatorKeyPrefix } -> std::convertible_to<std::string>;
  { Platform::kInstanceKeyPrefix } -> std::convertible_to<std::string>;
  // Header of callers' calls: how long, in milliseconds, they wait for a response.
  { Platform::kCallerTimeoutHeader } -> std::convertible_to<std::string>;
  { Platform::kMaxEntriesPerChange } -> std::convertible_to<size_t>;
  {
    Platform::DecodeVersion(view)
  } -> std::same_as<leaf::result<std::shared_ptr<const site_configuration>>>;
  // Its error is a registration_fault.
  { Platform::DecodeRegistration(view, view) } -> std::same_as<leaf::result<instance_report>>;
  { Platform::DecodeEvacuation(view) } -> std::same_as<std::optional<std::string>>;
  { Platform::DecodeSubmission(text, view) } -> std::same_as<leaf::result<graph_job>>;
  { Platform::EncodePhase(phase) } -> std::same_as<std::string>;
  { Platform::EncodePending(count) } -> std::same_as<std::string>;
  { Platform::EncodeError(view) } -> std::same_as<std::string>;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_SITE_PLATFORM_H_
