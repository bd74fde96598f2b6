// What the entries of a site say to each other, over HTTP with JSON bodies.
//
//   GET  /peer/state?id=     of a job, from the owner
//   GET  /peer/pending?queue=
//   GET  /peer/health        when the store last answered, the highest epoch seen
//   GET  /peer/witness       whether an owner may have gone on while the store was down
//   GET  /peer/alive         the process's nonce, and if it is busy; answered without its loop
//   GET  /peer/look          whether the owner's process is alive, as seen from there
//   GET  /peer/version?have=&text=
//                            the configuration's number and since when it is confirmed; with text=1
//                            its text too, if it is newer than `have` and the link has room for it
//   POST /peer/advise        asks a queue's policy from there
//   POST /peer/job           a job's record, just stored: the owner need not wait for its watch
//   POST /peer/cancel?id=    a cancelling, just stored
//   POST /peer/start, /peer/started
//                            see start_words.h
//
// libjsonrpccpp's server answers on the thread of the call, and a question to a policy takes up to
// a second: these calls use the HTTP server that can answer later.
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
#include "process/site/owner_suspicion.h"
#include "process/site/version_refresh.h"

namespace catkinford {

inline constexpr char kPeerStatePath[] = "/peer/state";
inline constexpr char kPeerPendingPath[] = "/peer/pending";
inline constexpr char kPeerHealthPath[] = "/peer/health";
inline constexpr char kPeerAlivePath[] = "/peer/alive";
inline constexpr char kPeerLookPath[] = "/peer/look";
inline constexpr char kPeerWitnessPath[] = "/peer/witness";
inline constexpr char kPeerVersionPath[] = "/peer/version";
inline constexpr char kPeerAdvisePath[] = "/peer/advise";
inline constexpr char kPeerJobPath[] = "/peer/job";
inline constexpr char kPeerCancelPath[] = "/peer/cancel";

struct peer_phase_reply {
  bool owns = false;  // whoever does not own the site knows no states
  std::optional<graph_phase> phase;
};
struct peer_pending_reply {
  bool owns = false;
  size_t pending = 0;
};
struct peer_health {
  std::chrono::milliseconds store_age{0};  // since the store last answered there
  uint64_t epoch = 0;
};
// What an entry can say of earlier owners. An owner sends starts without records only while every
// registered entry confirms that the store is down; one that was there all the time and confirmed
// nothing proves that none did.
struct outage_report {
  std::chrono::milliseconds registered{0};                 // without a gap
  std::optional<std::chrono::milliseconds> confirmed_age;  // since it last confirmed an outage
};
struct peer_liveness {
  uint64_t nonce = 0;  // of the process
  bool busy = false;   // overloaded: it may be silent without being gone
};
struct peer_version_reply {
  peer_version version;
  std::string text;  // empty: not newer than what was asked for, or not given
};
struct peer_advice_request {
  advice_order order;
  std::chrono::milliseconds timeout{0};
};

// Parsing answers nothing for other text.
std::string PeerPhaseReplyToText(const peer_phase_reply& state);
std::optional<peer_phase_reply> PeerPhaseReplyFromText(std::string_view text);
std::string PeerPendingReplyToText(const peer_pending_reply& pending);
std::optional<peer_pending_reply> PeerPendingReplyFromText(std::string_view text);
std::string PeerHealthToText(const peer_health& health);
std::optional<peer_health> PeerHealthFromText(std::string_view text);
// One line of JSON, then the text as it is: it may be large.
std::string PeerVersionReplyToText(const peer_version_reply& reply);
std::optional<peer_version_reply> PeerVersionReplyFromText(std::string_view text);
std::string PeerLivenessToText(const peer_liveness& liveness);
std::optional<peer_liveness> PeerLivenessFromText(std::string_view text);
std::string OwnerLivenessToText(alive_answer answer);
std::optional<alive_answer> OwnerLivenessFromText(std::string_view text);
std::string OutageReportToText(const outage_report& report);
std::optional<outage_report> OutageReportFromText(std::string_view text);
// True when the witness rules out starts without records whose leases still hold.
bool RulesOutUnrecordedStarts(const outage_report& report);
std::string PeerAdviceRequestToText(const peer_advice_request& request);
std::optional<peer_advice_request> PeerAdviceRequestFromText(std::string_view text);
std::string PeerAdviceReplyToText(const advice_answer& answer);
std::optional<advice_answer> PeerAdviceReplyFromText(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_SITE_PEER_MESSAGES_H_
