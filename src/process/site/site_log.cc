#include "process/site/site_log.h"

#include <absl/strings/str_cat.h>
#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>
#include <vector>

namespace catkinford {
namespace {

constexpr std::chrono::milliseconds kWriterPollInterval{200};
constexpr size_t kQueuedLines = 4096;  // several seconds of a busy entry
constexpr size_t kMaxFieldBytes = 80;
// Share of the lines of a second that details may use; warnings are not limited.
constexpr double kDetailShare = 0.8;

using enum site_event;
using enum site_log_level;

constexpr std::array kEvents = {
    site_event_info{kStarted, kInfo, "started", "The process has read its settings and starts."},
    site_event_info{kStopping, kInfo, "stopping",
                    "The process was told to stop: not ready any more; requests in flight finish."},
    site_event_info{kStopped, kInfo, "stopped", "No request is in flight; the process exits."},
    site_event_info{kReloaded, kInfo, "reloaded", "The settings file was read again."},
    site_event_info{kReadiness, kInfo, "readiness",
                    "The readiness reported to the load balancer changed."},
    site_event_info{kLinesLeftOut, kWarning, "lines_left_out",
                    "Log lines were dropped; the count is since the start of the process."},
    site_event_info{kJobAccepted, kDetail, "job_accepted", "The job was stored and acknowledged."},
    site_event_info{kJobRefused, kInfo, "job_refused", "The job was rejected and never runs."},
    site_event_info{kJobUnsettled, kWarning, "job_unsettled",
                    "The store did not confirm the job; the caller is told to query its state."},
    site_event_info{kCancelTaken, kDetail, "cancel_taken", "The cancellation was stored."},
    site_event_info{kCancelRefused, kInfo, "cancel_refused", "The cancellation was rejected."},
    site_event_info{kStateTold, kDetail, "state_told", "The state of a job was returned."},
    site_event_info{kStateRefused, kInfo, "state_refused",
                    "The state of a job could not be returned."},
    site_event_info{kRequestRefused, kInfo, "request_refused",
                    "A request names no queue, has no valid key or is malformed."},
    site_event_info{
        kJobAdded, kDetail, "job_added",
        "The owner has loaded the job; recorded_runs= runs of earlier owners that may exist."},
    site_event_info{kJobEnded, kInfo, "job_ended",
                    "The job reached a final phase; if completed, the time in each stage of its "
                    "longest chain."},
    site_event_info{kTaskStart, kDetail, "task_start", "A start was sent."},
    site_event_info{kTaskRefused, kInfo, "task_refused", "A start was rejected or got no answer."},
    site_event_info{kTaskEnd, kDetail, "task_end", "An instance reported the end of a run."},
    site_event_info{kTaskStop, kInfo, "task_stop", "A stop was sent, with its reason."},
    site_event_info{kRunVanished, kWarning, "run_vanished",
                    "A run is known to be lost without a reported end; its task starts again."},
    site_event_info{kRunAdopted, kDetail, "run_adopted",
                    "A run started by an earlier owner was found and continues."},
    site_event_info{kAdvice, kDetail, "advice",
                    "The policy of a queue named instances for a step."},
    site_event_info{kStartsNotCarried, kWarning, "starts_not_carried",
                    "Another entry did not accept starts to forward to instances."},
    site_event_info{kAdviceAsked, kDetail, "advice_asked",
                    "An advice query was answered: which entry sent it and how long it took."},
    site_event_info{kProgressStored, kDetail, "progress_stored",
                    "Ends of runs were stored; completed= jobs by it, final_ms= the longest wait."},
    site_event_info{kInstanceJoined, kDetail, "instance_joined",
                    "The instance appeared in the registry."},
    site_event_info{kInstanceReborn, kInfo, "instance_reborn",
                    "The instance restarted: it has lost its earlier state."},
    site_event_info{kInstanceAbsent, kWarning, "instance_absent",
                    "The instance is no longer in the registry."},
    site_event_info{kInstanceSilent, kWarning, "instance_silent", "The instance does not answer."},
    site_event_info{kInstanceBack, kInfo, "instance_back",
                    "The instance answers, or is registered, again."},
    site_event_info{kInstanceDraining, kInfo, "instance_draining",
                    "The instance is leaving: it gets no new work."},
    site_event_info{kInstanceShunned, kWarning, "instance_shunned",
                    "Consecutive runs failed on the instance: it gets no new work for a while."},
    site_event_info{kInstanceDoubted, kWarning, "instance_doubted",
                    "A start got no answer: the instance gets no new work until it answers."},
    site_event_info{
        kRunUnidentified, kInfo, "run_unidentified",
        "An instance lists a run of an unknown job: it gets no work until the job is known."},
    site_event_info{kDomainEvacuated, kInfo, "domain_evacuated",
                    "The owner starts nothing in the failure domain, or starts work there again."},
    site_event_info{kOwnerSeen, kInfo, "owner_seen", "The store names an owner of the site."},
    site_event_info{kOwnershipWon, kInfo, "ownership_won", "This entry owns the site."},
    site_event_info{kOwnershipLost, kWarning, "ownership_lost",
                    "This entry no longer acts as owner, with the reason."},
    site_event_info{kOwnerLoaded, kInfo, "owner_loaded", "The owner has loaded all records."},
    site_event_info{kRecordsComplete, kInfo, "records_complete",
                    "An entry confirms that the records contain all starts of earlier owners."},
    site_event_info{
        kRecordsBehind, kWarning, "records_behind",
        "Starts no longer wait for their records because the store is slow, or wait again."},
    site_event_info{kOwnerSuspected, kWarning, "owner_suspected",
                    "The owner's process seems dead; reports of other entries decide."},
    site_event_info{kLeaseLost, kWarning, "lease_lost", "The store ended this entry's lease."},
    site_event_info{kEntrySeen, kInfo, "entry_seen", "Another entry is registered."},
    site_event_info{kEntryGone, kWarning, "entry_gone", "The lease of another entry ended."},
    site_event_info{kStoreLost, kWarning, "store_lost",
                    "Calls to the store fail or get no answer."},
    site_event_info{kStoreBack, kInfo, "store_back", "The store answers again."},
    site_event_info{kStoreRefusal, kWarning, "store_refusal", "The store rejected a call."},
    site_event_info{kPeerLost, kWarning, "peer_lost", "A call to another entry failed."},
    site_event_info{kPeerBack, kInfo, "peer_back", "Another entry answers again."},
    site_event_info{kVersionTaken, kInfo, "version_taken",
                    "A configuration is in effect at this entry."},
    site_event_info{kVersionRefused, kWarning, "version_refused",
                    "A configuration is malformed; the previous one stays in effect."},
    site_event_info{kRecordUnreadable, kWarning, "record_unreadable",
                    "The value of a key in the store is malformed and is ignored."},
    site_event_info{
        kVersionUnread, kWarning, "version_unread",
        "Reading the configuration failed, with the outcome, duration and bytes received."},
    site_event_info{kVersionTold, kInfo, "version_told",
                    "Another entry asked for the configuration's text."},
    site_event_info{kVersionUnconfirmed, kWarning, "version_unconfirmed",
                    "A newer configuration may be in effect elsewhere: calls are rejected."},
    site_event_info{kVersionConfirmed, kInfo, "version_confirmed",
                    "The configuration here is, or was moments ago, known to be the newest."},
    site_event_info{kLinkUse, kSummary, "link_use",
                    "Bytes and faults of the calls of the last second, by kind of call."},
    site_event_info{kRelayUsed, kInfo, "relay_used",
                    "This entry makes the owner's calls to instances of its failure domain."},
    site_event_info{kRelayLost, kWarning, "relay_lost",
                    "A relay did not answer: its calls= are repeated through another one."},
    site_event_info{kEvacuationsTaken, kInfo, "evacuations_taken",
                    "The list of failure domains that operators have closed to new work changed."},
    site_event_info{
        kInstanceSpeed, kInfo, "instance_speed",
        "Runs on the instance take longer or shorter than elsewhere, or as long again."},
    site_event_info{kJobShed, kInfo, "job_shed",
                    "The job was rejected: it would have waited until its result is of no use."},
    site_event_info{kCopyDecided, kInfo, "copy_decided",
                    "A task gets a second run beside its first, with the reason."},
    site_event_info{kHandover, kInfo, "handover",
                    "The former owner's process told what it knew, or did not answer."},
    site_event_info{kLearnedLoaded, kInfo, "learned_loaded",
                    "Run times and speeds that an earlier owner had learned were read."},
    site_event_info{kRegistrationUnusable, kInfo, "registration_unusable",
                    "A registration names no usable instance, with the fault, or does again."},
    site_event_info{kConnectionsClosed, kSummary, "connections_closed",
                    "Connections were closed, or requests rejected, for what others held; the "
                    "numbers since the start."},
};

}  // namespace

std::span<const site_event_info> AllSiteEvents() { return kEvents; }

const site_event_info& InfoOf(site_event event) {
  return *std::find_if(kEvents.begin(), kEvents.end(),
                       [event](const site_event_info& info) { return info.event == event; });
}

std::string LogField(std::string_view text) {
  std::string out(text.substr(0, kMaxFieldBytes));
  for (char& c : out) {
    if (static_cast<unsigned char>(c) <= ' ' || c == '=') c = '?';
  }
  return out;
}

site_log::site_log(std::string entry, uint32_t lines_per_second)
    : entry_(std::move(entry)), lines_per_second_(lines_per_second), ring_(kQueuedLines) {
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", config);
  writer_ = std::thread([this] { Run(); });
}

site_log::~site_log() {
  ring_.Close();
  writer_.join();
}

int64_t site_log::SecondOf(monotonic_time now) {
  return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

uint32_t site_log::LimitOf(site_log_level level) const {
  const double share = level == kDetail ? kDetailShare : 1.0;
  return static_cast<uint32_t>(share * lines_per_second_);
}

bool site_log::Admit(site_log_level level, monotonic_time now) {
  const int64_t second = SecondOf(now);
  if (second_.exchange(second, std::memory_order_relaxed) != second) {
    lines_in_second_.store(0, std::memory_order_relaxed);
  }
  const bool limited = level != kWarning && level != kSummary;
  // Lines that are dropped use up no room: details must not crowd out the others.
  if (limited && lines_in_second_.load(std::memory_order_relaxed) >= LimitOf(level)) return false;
  lines_in_second_.fetch_add(1, std::memory_order_relaxed);
  return true;
}

size_t site_log::RoomForDetails(monotonic_time now) const {
  const uint32_t limit = LimitOf(kDetail);
  if (second_.load(std::memory_order_relaxed) != SecondOf(now)) return limit;
  return limit - std::min(limit, lines_in_second_.load(std::memory_order_relaxed));
}

void site_log::Write(site_event event, monotonic_time now, const std::string& fields) {
  const site_event_info& info = InfoOf(event);
  if (!Admit(info.level, now)) return CountDropped(1);
  std::string line = absl::StrCat(static_cast<int>(event), " ", std::string(info.name),
                                  " entry=", entry_, " ", fields);
  if (!ring_.TryPush(line)) CountDropped(1);
}

void site_log::Run() {
  uint64_t reported = 0;
  std::vector<std::string> lines;
  while (ring_.PopAll(lines, kWriterPollInterval)) {
    for (const std::string& line : lines) LOG(INFO) << line;
    lines.clear();
    const uint64_t dropped = DroppedLines();
    if (dropped == reported) continue;
    reported = dropped;
    LOG(INFO) << absl::StrCat(static_cast<int>(kLinesLeftOut), " ",
                              std::string(InfoOf(kLinesLeftOut).name), " entry=", entry_,
                              " count=", dropped);
  }
}

}  // namespace catkinford
