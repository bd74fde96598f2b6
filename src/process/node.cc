#include "process/node.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr size_t kRingSize = 65536;
constexpr milliseconds kMaxSleep{50};
constexpr milliseconds kOwnershipTick{25};
constexpr milliseconds kGaugeInterval{1000};
constexpr milliseconds kPeerCallTimeout{500};

uint64_t WallMicros() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

// Of a body: itself, the value that it describes, and copies on its way through the process.
constexpr size_t kBytesPerBodyByte = 64;

std::shared_ptr<connection_budget> BudgetOf(const settings& config) {
  const size_t least = kBytesPerBodyByte * config.bounds.body_bytes;
  return std::make_shared<connection_budget>(
      budget_options{std::max<size_t>(config.bounds.request_bytes, least)}, ShutSocket);
}

listener_shares Shares() {
  constexpr size_t kNoLimit = std::numeric_limits<size_t>::max();
  return SharesOf(DescriptorLimit().value_or(kNoLimit), kNoLimit);
}

unsigned ConnectionLimit(size_t share) {
  constexpr size_t kMostConnections = 1000000;
  return static_cast<unsigned>(std::min(share, kMostConnections));
}

http_server_options FrontOptions(const settings& config,
                                 const std::shared_ptr<connection_budget>& budget) {
  http_server_options options;
  options.port = config.listen.caller_port;
  options.address = config.listen.address;
  options.tls = !config.listen.tls_certificate_file.empty();
  options.body_limit = config.bounds.body_bytes;
  options.connection_limit =
      std::min(config.bounds.waiting_requests + 256, ConnectionLimit(Shares().callers));
  options.budget = budget;
  return options;
}

http_server_options PeerOptions(const settings& config,
                                const std::shared_ptr<connection_budget>& budget) {
  http_server_options options;
  options.port = config.listen.peer_port;
  options.address = config.listen.address;
  // JSON within JSON: each byte of a text may become four.
  options.body_limit = 4 * (config.bounds.body_bytes + peer_mailbox::kMaxBatchBytes);
  options.connection_limit = ConnectionLimit(Shares().peers);
  options.budget = budget;
  return options;
}

router_options RouterOptions(const settings& config) {
  router_options options;
  options.failure_domain = config.failure_domain;
  options.failure_domains = config.failure_domains;
  options.shards_per_domain = config.shards.per_domain;
  return options;
}

ownership_options OwnershipOptions(const settings& config, uint64_t incarnation) {
  ownership_options options;
  options.name = config.name;
  options.incarnation = incarnation;
  options.failure_domain = config.failure_domain;
  options.address = absl::StrCat("http://", config.listen.address, ":", config.listen.peer_port);
  options.caller_address =
      absl::StrCat("http://", config.listen.address, ":", config.listen.caller_port);
  options.shards = config.shards.per_domain;
  options.member_lease = config.timing.member_lease;
  options.endpoints_fence = config.platform.endpoints_fence;
  return options;
}

table_options TableOptions(uint64_t incarnation) {
  table_options options;
  options.first_ask = incarnation;
  return options;
}

event_log_options LogOptions(const settings& config) {
  event_log_options options;
  options.file = config.logs.file;
  if (config.logs.level == "debug") options.level = event_level::kDebug;
  if (config.logs.level == "warning") options.level = event_level::kWarning;
  if (config.logs.level == "error") options.level = event_level::kError;
  return options;
}

membership_options MembershipOptions(const settings& config, uint64_t incarnation) {
  membership_options options;
  options.name = config.name;
  options.failure_domain = config.failure_domain;
  options.address = absl::StrCat("http://", config.listen.address, ":", config.listen.peer_port);
  options.incarnation = incarnation;
  options.heartbeat = config.timing.heartbeat;
  options.far_heartbeat = config.timing.far_heartbeat;
  options.bytes_per_second = config.bounds.peer_bytes;
  return options;
}

usage_propagation_options UsageOptions(const settings& config, uint64_t incarnation) {
  usage_propagation_options options;
  options.name = config.name;
  options.incarnation = incarnation;
  options.bytes_per_second = config.bounds.peer_bytes / 2;
  return options;
}

}  // namespace

node::node(settings config)
    : config_(std::move(config)),
      incarnation_(WallMicros()),
      timeline_(config_.logs.timeline_events),
      log_(LogOptions(config_), timeline_),
      ring_(kRingSize),
      endpoint_http_(0),
      platform_http_(0),
      store_(platform_http_, config_.platform.store_url, config_.timing.call_timeout),
      endpoints_(endpoint_http_, config_.timing.call_timeout),
      instances_(platform_http_, config_.platform.instances_url, config_.timing.call_timeout),
      budget_(BudgetOf(config_)),
      mailbox_(
          config_.name, PeerOptions(config_, budget_), kPeerCallTimeout, peer_auth_,
          [this](std::vector<peer_message> messages) { OnMessages(std::move(messages)); },
          [this](const std::string& peer, transfer_status status, std::vector<message_body> lost) {
            OnSendFailed(peer, status, std::move(lost));
          },
          [this] { return HeartbeatReply(); }),
      front_(FrontOptions(config_, budget_),
             [this](http_server::token token, http_request request) {
               OnHttp(token, std::move(request));
             }),
      routes_(RouterOptions(config_)),
      table_(TableOptions(incarnation_), routes_),
      ownership_(OwnershipOptions(config_, incarnation_)),
      versions_(
          store_, config_.isolation.key_grace,
          history_limits{config_.bounds.history_versions, config_.bounds.history_bytes},
          [this](core_task task) { Post(std::move(task)); },
          [this](version_origin origin, monotonic_time now) { OnVersion(origin, now); }),
      grants_(store_, [this](core_task task) { Post(std::move(task)); }),
      members_(MembershipOptions(config_, incarnation_)),
      usage_(UsageOptions(config_, incarnation_)),
      instance_polling_(config_.name, config_.timing.instance_poll),
      jobs_(
          config_.name,
          [this](const store_request& call, std::function<void(store_reply, monotonic_time)> done) {
            SendStoreRequest(call, std::move(done));
          }),
      incarnations_(config_.name, [this](const store_request& call,
                                         std::function<void(store_reply, monotonic_time)> done) {
        SendStoreRequest(call, std::move(done));
      }) {}

node::~node() {
  if (core_.joinable()) {
    ring_.Close();
    core_.join();
  }
  front_.Stop();
  mailbox_.Stop();
  endpoint_http_.Stop();
  platform_http_.Stop();
}

tls_fault node::ReloadCertificate() {
  if (config_.listen.tls_certificate_file.empty()) return tls_fault::kNone;
  const tls_fault fault =
      front_.SetCertificateFiles(config_.listen.tls_certificate_file, config_.listen.tls_key_file);
  const bool good = fault == tls_fault::kNone;
  log_.Emit(good ? event_code::kCertificateTaken : event_code::kCertificateRefused,
            steady_clock::now(), {}, 0, config_.listen.tls_certificate_file,
            good ? "" : std::string(ToText(fault)));
  return fault;
}

secret_fault node::ReloadPeerSecrets() {
  const std::string& file = config_.listen.peer_secret_file;
  if (file.empty()) return secret_fault::kNone;
  const secret_fault fault = peer_auth_.SetFromFile(file);
  const bool good = fault == secret_fault::kNone;
  log_.Emit(good ? event_code::kPeerSecretsTaken : event_code::kPeerSecretsRefused,
            steady_clock::now(), {}, 0, file, good ? "" : std::string(ToText(fault)));
  return fault;
}

start_fault node::Start() {
  if (ReloadCertificate() != tls_fault::kNone) return start_fault::kCertificate;
  if (ReloadPeerSecrets() != secret_fault::kNone) return start_fault::kPeerSecrets;
  endpoint_http_.Start();
  platform_http_.Start();
  if (!mailbox_.Start()) return start_fault::kPeerPort;
  core_ = std::thread([this] { Run(); });
  if (!front_.Start()) return start_fault::kCallerPort;
  log_.Emit(event_code::kProcessStarted, steady_clock::now(), {}, 0, config_.name);
  return start_fault::kNone;
}

void node::BeginShutdown() {
  Post([this](monotonic_time now) {
    if (shutting_down_) return;
    shutting_down_ = true;
    shutdown_deadline_ = now + config_.timing.shutdown_limit;
    log_.Emit(event_code::kShutdownBegun, now, {}, 0, config_.name);
    for (auto& [domain, open] : evacuations_) {
      open.work.Stop("this entry is shutting down");
      RemoveEvacuatedShards(open, now);
    }
    Announce(now);
    ownership_actions actions;
    ownership_.Release(now, actions);
    ApplyOwnershipActions(actions, now);
  });
}

void node::Wait() {
  if (core_.joinable()) core_.join();
}

// Blocks while the ring is full: the producers are I/O threads whose messages must not be lost. The
// core thread never waits for them, so this cannot deadlock.
void node::Post(core_task task) { ring_.Push(std::move(task)); }

void node::Run() {
  std::vector<core_task> tasks;
  started_ = steady_clock::now();
  while (!done_) {
    const monotonic_time before = steady_clock::now();
    const auto wait = std::chrono::ceil<milliseconds>(NextWake(before) - before);
    tasks.clear();
    if (!ring_.PopAll(tasks, std::clamp(wait, milliseconds{0}, kMaxSleep))) break;
    const monotonic_time now = steady_clock::now();
    for (core_task& task : tasks) task(now);
    Tick(now);
    metrics_.ObserveDecision(
        std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - now));
  }
}

monotonic_time node::NextWake(monotonic_time now) const {
  monotonic_time wake = std::min(now + kMaxSleep, table_.NextWake());
  for (const auto& [number, held] : shards_) wake = std::min(wake, held->NextWake());
  return wake;
}

void node::Tick(monotonic_time now) {
  if (now >= next_ownership_tick_) {
    next_ownership_tick_ = now + kOwnershipTick;
    ownership_actions actions;
    ownership_.Tick(now, actions);
    ApplyOwnershipActions(actions, now);
    versions_.Tick(IsWatcher(config_.name, members_.LiveNeighbours()), now);
    PollInstances(now);
    TickMembers(now);
    TickStatus(now);
    TickEvacuations(now);
    NotifyNewOwners(now);
  }
  OpenShards(now);
  for (auto& [number, held] : shards_) {
    jobs_.TakeNotices(number, *held, now);
    incarnations_.Tick(*held, now);
  }
  std::vector<shard*> owned;
  owned.reserve(shards_.size());
  for (auto& [number, held] : shards_) owned.push_back(held.get());
  grants_.Tick(owned, versions_.Order().Config(), now);
  table_actions due;
  table_.Tick(now, due);
  ApplyTableActions(std::move(due), now);
  RetryDeferredServices(now);
  // Deliver messages to this entry and run the resulting shard actions until no new messages
  // appear.
  do {
    DeliverLocal(now);
    RunShardActions(now);
  } while (!local_messages_.empty());
  // Write records requested by the shards in this round. Deferred to the next round, each would
  // wait up to kMaxSleep.
  OpenShards(now);
  mailbox_.Flush();
  if (now >= next_gauges_) UpdateGauges(now);
  if (shutting_down_) CheckShutdown(now);
}

// ---- Messages ------------------------------------------------------------------------------

void node::OnMessages(std::vector<peer_message> messages) {
  Post([this, messages = std::move(messages)](monotonic_time now) mutable {
    for (peer_message& message : messages) OnMessage(message.from, std::move(message.body), now);
  });
}

void node::Send(const std::string& entry, message_body body, monotonic_time now) {
  if (entry == config_.name) {
    local_messages_.push_back(std::move(body));
    return;
  }
  const place_message* place = std::get_if<place_message>(&body);
  const request_id id = place != nullptr ? place->id : request_id{};
  // A part has the request id of its job, whose caller may wait here; its home shard sends it
  // again.
  const bool is_place = place != nullptr && place->home.empty();
  if (!mailbox_.Send(entry, std::move(body)) && is_place) table_.OnSendFailed(id, true, now);
}

void node::DeliverLocal(monotonic_time now) {
  std::vector<message_body> messages = std::exchange(local_messages_, {});
  for (message_body& body : messages) OnMessage(config_.name, std::move(body), now);
}

void node::OnSendFailed(const std::string& peer, transfer_status status,
                        std::vector<message_body> lost) {
  Post([this, peer, status, lost = std::move(lost)](monotonic_time now) {
    for (const message_body& body : lost) {
      const auto* place = std::get_if<place_message>(&body);
      if (place != nullptr && place->home.empty()) {
        table_.OnSendFailed(place->id, status == transfer_status::kNotSent, now);
      }
    }
    const bool is_beat = std::any_of(lost.begin(), lost.end(), [](const message_body& body) {
      return std::holds_alternative<heartbeat_message>(body);
    });
    usage_.OnLost(peer);
    // Connection refused: the process is lost, and the members of its domain should know before its
    // heartbeats are missed. A heartbeat without an answer on a fresh connection is nearly as
    // strong evidence.
    if (is_beat || status == transfer_status::kNotSent) OnSilent(peer, now);
  });
}

void node::OnMessage(const std::string& from, message_body body, monotonic_time now) {
  if (auto* place = std::get_if<place_message>(&body)) {
    if (shard* to = FindShard(place->shard)) {
      OnPlace(from, *to, std::move(*place), now);
    } else {
      // Not owned here, or no longer: this owner has not started the request and will not, but an
      // earlier send may have reached another owner, so the state of the request is not reported.
      Send(from, not_owner_message{place->id, place->shard}, now);
    }
  } else if (auto* result = std::get_if<outcome_message>(&body)) {
    OnOutcome(result->result, now);
  } else if (const auto* cancel = std::get_if<cancel_message>(&body)) {
    if (shard* to = FindShard(cancel->shard)) to->Cancel(from, *cancel, now);
  } else if (const auto* part = std::get_if<part_answer_message>(&body)) {
    if (shard* to = FindShard(part->home)) to->OnPartAnswer(*part, now);
  } else if (const auto* query = std::get_if<status_query>(&body)) {
    shard* to = FindShard(query->shard);
    if (to != nullptr) to->Status(from, *query, now);
  } else if (const auto* answer = std::get_if<status_answer>(&body)) {
    OnStatusAnswer(*answer, now);
  } else if (const auto* heartbeat = std::get_if<heartbeat_message>(&body)) {
    OnHeartbeat(from, *heartbeat, now);
  } else if (const auto* config = std::get_if<config_message>(&body)) {
    versions_.Offer(config->version, config->text, version_origin::kPeer, now);
    ConfirmVersion(from, now);
  } else if (const auto* message = std::get_if<config_step_message>(&body)) {
    OnVersionStep(message->step, now);
    ConfirmVersion(from, now);
  } else if (const auto* ask = std::get_if<owner_query_message>(&body)) {
    const owner_answer holds = ownership_.OnOwnerQuery(ask->shard, now);
    Send(from, owner_answer_message{ask->shard, holds.holds}, now);
  } else if (const auto* alive = std::get_if<owner_answer_message>(&body)) {
    ownership_.OnOwnerAnswer(from, alive->shard, alive->holds, now);
  } else if (std::holds_alternative<release_message>(body)) {
    ownership_.OnHandedOver(now);
    next_ownership_tick_ = now;
  } else if (const auto* usage = std::get_if<usage_message>(&body)) {
    usage_.OnUsage(from, *usage, now);
  } else if (const auto* instances = std::get_if<instances_message>(&body)) {
    if (instance_polling_.OnMessage(from, *instances, now)) ApplyInstanceList(now);
  } else if (const auto* silent = std::get_if<silent_message>(&body)) {
    OnSilent(*silent, now);
  } else if (const auto* wrong = std::get_if<not_owner_message>(&body)) {
    routes_.OnNotOwner(from, wrong->shard, now);
    // The message may have placed a part of a job whose caller waits here.
    const std::string* sent_to = table_.ShardOf(wrong->id);
    if (sent_to != nullptr && *sent_to == wrong->shard) table_.OnSendFailed(wrong->id, true, now);
  }
}

// ---- State ---------------------------------------------------------------------------------

void node::UpdateGauges(monotonic_time now) {
  next_gauges_ = now + kGaugeInterval;
  uint32_t queued = 0;
  uint32_t running = 0;
  uint64_t epoch = 0;
  for (const auto& [number, held] : shards_) {
    const shard_summary summary = held->Report().summary;
    queued += summary.queued_tasks;
    running += summary.running_tasks;
    epoch = std::max(epoch, held->Epoch());
  }
  size_t up = 0;
  for (const auto& [name, one] : members_.Members()) up += members_.IsUp(name) ? 1 : 0;
  metrics_.waiting_requests.Set(static_cast<double>(table_.Pending()));
  metrics_.queued_tasks.Set(queued);
  metrics_.running_tasks.Set(running);
  metrics_.owned_shards.Set(static_cast<double>(shards_.size()));
  metrics_.highest_epoch.Set(static_cast<double>(epoch));
  metrics_.config_version.Set(static_cast<double>(versions_.Order().Version()));
  metrics_.peers_up.Set(static_cast<double>(up));
  metrics_.peers_down.Set(static_cast<double>(members_.Members().size() - up));
  const bool store_up = versions_.IsStoreUp();
  metrics_.store_up.Set(store_up ? 1 : 0);
  metrics_.keys_trusted.Set(versions_.Order().KeysTrusted(now) ? 1 : 0);
  metrics_.ready.Set(IsReady() ? 1 : 0);
  if (store_up != store_was_up_) {
    store_was_up_ = store_up;
    log_.Emit(store_up ? event_code::kStoreUp : event_code::kStoreDown, now);
  }
  UpdateCounters(now);
}

bool node::IsReady() const {
  return !shutting_down_ && instance_polling_.HasList() && versions_.Order().Version() > 0;
}

// A request is in flight while its caller waits, here or at another entry; it keeps the process
// alive until its answer has been sent or the limit is reached. Shards that cannot be handed over
// do not: a store that stays down would delay every shutdown to the limit. Work on their endpoints
// continues under its leases until those expire or a later owner lists it.
void node::CheckShutdown(monotonic_time now) {
  const bool cannot_hand_over = ownership_.CannotHandOver(now);
  bool have_callers = table_.Pending() > 0 || front_.Waiting() > 0;
  for (const auto& [number, held] : shards_) {
    if (cannot_hand_over) held->Close();
    have_callers = have_callers || (cannot_hand_over && held->HasCallers());
  }
  const bool handed_over = ownership_.Released() && shards_.empty();
  const bool can_end = !have_callers && (handed_over || cannot_hand_over);
  if (!can_end && now < shutdown_deadline_) return;
  const char* how = "shutdown limit reached";
  if (can_end) how = handed_over ? "all requests finished" : "all requests finished; no successor";
  log_.Emit(event_code::kShutdownDone, now, {}, 0, config_.name, how);
  done_ = true;
}

}  // namespace catkinford
