// Messages between the entries of a site: HTTP with JSON bodies.
//
//   GET  /peer/state?id=     phase of a job, from the owner
//   GET  /peer/pending?queue=
//                            number of pending jobs of a queue, from the owner
//   GET  /peer/health        time since the store last answered, highest epoch seen
//   GET  /peer/store         the same; the entry that asks does not own the site
//   GET  /peer/witness       whether an owner may have continued while the store was down
//   GET  /peer/alive         the process's nonce and whether it is overloaded; answered outside
//                            the event loop
//   GET  /peer/look          whether the owner's process is alive, as seen by the entry asked
//   GET  /peer/handover?epoch=
//                            what a former owner knew when its ownership of that epoch ended; see
//                            handover_exchange.h
//   GET  /peer/version?have=&text=
//                            the configuration's number and when it was last confirmed; with text=1
//                            also its text, if it is newer than `have` and the link has capacity;
//                            the evacuated failure domains
//   POST /peer/advise        queries a queue's policy on behalf of the owner
//   POST /peer/job?id=&by=   a job record that was just stored; spares the owner its watch delay;
//                            the reply holds the admission figures of the entry `by`
//   GET  /peer/admission?by= the same figures; see admission_figures.h
//   POST /peer/cancel?id=    a cancellation that was just stored
//   POST /peer/start, /peer/started
//                            forwarded starts; see start_words.h
//
// These calls use the HTTP server that can respond asynchronously: libjsonrpccpp's server responds
// on the thread of the call, and a policy query takes up to a second.
#ifndef CATKINFORD_PROCESS_SITE_PEER_MESSAGES_H_
#define CATKINFORD_PROCESS_SITE_PEER_MESSAGES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "process/scheduling/graph_state.h"
#include "process/scheduling/scheduler_messages.h"
#include "process/site/owner_failure_detector.h"
#include "process/site/version_refresh.h"
#include "version/evacuated_domains.h"

namespace catkinford {

inline constexpr char kPeerStatePath[] = "/peer/state";
inline constexpr char kPeerPendingPath[] = "/peer/pending";
inline constexpr char kPeerHealthPath[] = "/peer/health";
inline constexpr char kPeerStorePath[] = "/peer/store";
inline constexpr char kPeerAlivePath[] = "/peer/alive";
inline constexpr char kPeerLookPath[] = "/peer/look";
inline constexpr char kPeerWitnessPath[] = "/peer/witness";
inline constexpr char kPeerVersionPath[] = "/peer/version";
inline constexpr char kPeerAdvisePath[] = "/peer/advise";
inline constexpr char kPeerJobPath[] = "/peer/job";
inline constexpr char kPeerCancelPath[] = "/peer/cancel";
inline constexpr char kPeerAdmissionPath[] = "/peer/admission";

struct peer_phase_reply {
  bool owns = false;  // only the owner of the site knows the phases of jobs
  std::optional<graph_phase> phase;
};
struct peer_pending_reply {
  bool owns = false;
  size_t pending = 0;
};
struct peer_health {
  std::chrono::milliseconds store_age{0};  // since the store last answered that entry
  uint64_t epoch = 0;                      // the highest one seen
};
// What an entry knows about store outages during earlier ownerships. An owner sends starts without
// records only while every registered entry confirms that the store is down. An entry that was
// registered throughout and confirmed no outage therefore proves that there were no such starts.
struct outage_report {
  std::chrono::milliseconds registered{0};                 // time registered without a gap
  std::optional<std::chrono::milliseconds> confirmed_age;  // since it last confirmed an outage
};
struct peer_liveness {
  uint64_t nonce = 0;  // of the process
  bool busy = false;   // overloaded: it may stop answering without being dead
};
struct peer_version_reply {
  peer_version version;
  std::string text;  // empty: not newer than requested, not requested, or over the rate limit
  evacuated_domains evacuated;  // as of `version.revision` or later
};
struct peer_advice_request {
  advice_query order;
  std::chrono::milliseconds timeout{0};
  bool compressed = false;  // as the reply should be: the sender's link is busy
};

// The ...FromText functions return nothing for malformed text.
std::string PeerPhaseReplyToText(const peer_phase_reply& state);
std::optional<peer_phase_reply> PeerPhaseReplyFromText(std::string_view text);
std::string PeerPendingReplyToText(const peer_pending_reply& pending);
std::optional<peer_pending_reply> PeerPendingReplyFromText(std::string_view text);
std::string PeerHealthToText(const peer_health& health);
std::optional<peer_health> PeerHealthFromText(std::string_view text);
// One line of JSON, then the text verbatim, because it may be large.
std::string PeerVersionReplyToText(const peer_version_reply& reply);
std::optional<peer_version_reply> PeerVersionReplyFromText(std::string_view text);
std::string PeerLivenessToText(const peer_liveness& liveness);
std::optional<peer_liveness> PeerLivenessFromText(std::string_view text);
std::string OwnerLivenessToText(liveness answer);
std::optional<liveness> OwnerLivenessFromText(std::string_view text);
std::string OutageReportToText(const outage_report& report);
std::optional<outage_report> OutageReportFromText(std::string_view text);
// True if the report rules out unrecorded starts whose leases may still be valid.
bool RulesOutUnrecordedStarts(const outage_report& report);
std::string PeerAdviceRequestToText(const peer_advice_request& request);
std::optional<peer_advice_request> PeerAdviceRequestFromText(std::string_view text);
std::string PeerAdviceReplyToText(const advice_answer& answer, bool compressed = false);
std::optional<advice_answer> PeerAdviceReplyFromText(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_PEER_MESSAGES_H_
