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
constexpr size_t kQueuedLines = 4096;  // a second of a busy entry, several times over
constexpr size_t kMaxFieldBytes = 80;
// Details may use this share of a second's lines; warnings always find room.
constexpr double kDetailShare = 0.8;

using enum site_event;
using enum site_log_level;

constexpr std::array kEvents = {
    site_event_info{kStarted, kInfo, "started", "The process has read its settings and begins."},
    site_event_info{kStopping, kInfo, "stopping",
                    "Told to stop: not ready any more, what is in flight goes on."},
    site_event_info{kStopped, kInfo, "stopped", "Nothing is in flight; the process ends."},
    site_event_info{kReloaded, kInfo, "reloaded", "The settings file was read again."},
    site_event_info{kReadiness, kInfo, "readiness", "What the entry tells the balancer changed."},
    site_event_info{kLinesLeftOut, kWarning, "lines_left_out",
                    "Lines that a second had no room for; the count is since the start."},
    site_event_info{kJobAccepted, kDetail, "job_accepted", "The job is stored and answered so."},
    site_event_info{kJobRefused, kInfo, "job_refused", "The job was not taken and never runs."},
    site_event_info{kJobUnsettled, kWarning, "job_unsettled",
                    "The store did not say whether the job is kept; the caller is told to ask."},
    site_event_info{kCancelTaken, kDetail, "cancel_taken", "The cancelling is stored."},
    site_event_info{kCancelRefused, kInfo, "cancel_refused", "The cancelling was not taken."},
    site_event_info{kStateTold, kDetail, "state_told", "A job's state was told."},
    site_event_info{kStateRefused, kInfo, "state_refused", "A job's state could not be told."},
    site_event_info{kRequestRefused, kInfo, "request_refused",
                    "A request names no queue, holds no good key or cannot be read."},
    site_event_info{kJobAdded, kDetail, "job_added", "The owner knows the job."},
    site_event_info{kJobEnded, kInfo, "job_ended", "The job reached its final phase."},
    site_event_info{kTaskStart, kDetail, "task_start", "A start was sent."},
    site_event_info{kTaskRefused, kInfo, "task_refused", "A start was refused or got no answer."},
    site_event_info{kTaskEnd, kDetail, "task_end", "An instance listed the end of a run."},
    site_event_info{kTaskStop, kInfo, "task_stop", "A stop was sent, and why."},
    site_event_info{kRunVanished, kWarning, "run_vanished",
                    "A run is proved gone without an end; its task starts again."},
    site_event_info{kRunAdopted, kDetail, "run_adopted",
                    "A run of an earlier owner was found and goes on."},
    site_event_info{kAdvice, kDetail, "advice", "A queue's policy named instances for a step."},
    site_event_info{kStartsNotCarried, kWarning, "starts_not_carried",
                    "Another entry did not take starts for instances."},
    site_event_info{kAdviceAsked, kDetail, "advice_asked",
                    "A question to a queue's policy came back: who asked, and how long it took."},
    site_event_info{kProgressStored, kDetail, "progress_stored",
                    "Ends were stored; instances may forget them."},
    site_event_info{kInstanceJoined, kDetail, "instance_joined", "The registry names it."},
    site_event_info{kInstanceReborn, kInfo, "instance_reborn",
                    "Another life of the instance: it knows nothing of before."},
    site_event_info{kInstanceAbsent, kWarning, "instance_absent", "The registry lost it."},
    site_event_info{kInstanceSilent, kWarning, "instance_silent", "It does not answer."},
    site_event_info{kInstanceBack, kInfo, "instance_back", "It answers, or is registered, again."},
    site_event_info{kInstanceDraining, kInfo, "instance_draining", "It leaves: nothing new."},
    site_event_info{kInstanceShunned, kWarning, "instance_shunned",
                    "Runs fail there in a row: nothing new for a while."},
    site_event_info{kInstanceDoubted, kWarning, "instance_doubted",
                    "A start there goes unanswered: nothing new until the instance answers."},
    site_event_info{kOwnerSeen, kInfo, "owner_seen", "The store names an owner of the site."},
    site_event_info{kOwnershipWon, kInfo, "ownership_won", "This entry owns the site."},
    site_event_info{kOwnershipLost, kWarning, "ownership_lost",
                    "This entry gives no more orders, and why."},
    site_event_info{kOwnerLoaded, kInfo, "owner_loaded", "The owner has read all records."},
    site_event_info{kRecordsComplete, kInfo, "records_complete",
                    "An entry vouches that the records name all starts of earlier owners."},
    site_event_info{kRecordsBehind, kWarning, "records_behind",
                    "The store is slow: starts no longer wait for their records, or do again."},
    site_event_info{kOwnerSuspected, kWarning, "owner_suspected",
                    "The owner's process seems dead; what other entries see decides."},
    site_event_info{kLeaseLost, kWarning, "lease_lost", "The store ended this entry's lease."},
    site_event_info{kEntrySeen, kInfo, "entry_seen", "Another entry is registered."},
    site_event_info{kEntryGone, kWarning, "entry_gone", "Another entry's lease is over."},
    site_event_info{kStoreLost, kWarning, "store_lost", "The store does not answer as it should."},
    site_event_info{kStoreBack, kInfo, "store_back", "The store answers again."},
    site_event_info{kStoreRefusal, kWarning, "store_refusal", "The store refused a call."},
    site_event_info{kPeerLost, kWarning, "peer_lost", "A call to another entry failed."},
    site_event_info{kPeerBack, kInfo, "peer_back", "Another entry answers again."},
    site_event_info{kVersionTaken, kInfo, "version_taken", "A configuration is in force here."},
    site_event_info{kVersionRefused, kWarning, "version_refused",
                    "A configuration can't be read; the one before stays."},
    site_event_info{kRecordUnreadable, kWarning, "record_unreadable",
                    "Bytes under a key of the store are no record; they name nothing."},
    site_event_info{kVersionUnread, kWarning, "version_unread",
                    "Reading the configuration failed: what ended it, after which time and bytes."},
    site_event_info{kVersionTold, kInfo, "version_told",
                    "Another entry was given the configuration's text."},
    site_event_info{kVersionUnconfirmed, kWarning, "version_unconfirmed",
                    "A newer configuration may be in force elsewhere: calls are turned away."},
    site_event_info{kVersionConfirmed, kInfo, "version_confirmed",
                    "The configuration here is known to be the newest, or was moments ago."},
    site_event_info{kLinkUse, kSummary, "link_use",
                    "Bytes of the last second's calls, by what was called."},
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

bool site_log::Admit(site_log_level level, monotonic_time now) {
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  if (second_.exchange(second, std::memory_order_relaxed) != second) {
    lines_in_second_.store(0, std::memory_order_relaxed);
  }
  const uint32_t used = lines_in_second_.fetch_add(1, std::memory_order_relaxed);
  if (level == kWarning || level == kSummary) return true;
  const double share = level == kDetail ? kDetailShare : 1.0;
  return used < static_cast<uint32_t>(share * lines_per_second_);
}

void site_log::Write(site_event event, monotonic_time now, const std::string& fields) {
  const site_event_info& info = InfoOf(event);
  std::string line = absl::StrCat(static_cast<int>(event), " ", std::string(info.name),
                                  " entry=", entry_, " ", fields);
  if (!Admit(info.level, now) || !ring_.TryPush(line)) {
    dropped_lines_.fetch_add(1, std::memory_order_relaxed);
  }
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
