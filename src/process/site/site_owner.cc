#include "process/site/site_owner.h"

namespace catkinford {
namespace {

site_event EventOf(scheduler_event::kind what) {
  using kind = scheduler_event::kind;
  switch (what) {
    case kind::kJobAdded:
      return site_event::kJobAdded;
    case kind::kJobFinal:
      return site_event::kJobEnded;
    case kind::kTaskStart:
      return site_event::kTaskStart;
    case kind::kTaskRefused:
      return site_event::kTaskRefused;
    case kind::kTaskEnd:
      return site_event::kTaskEnd;
    case kind::kTaskStop:
      return site_event::kTaskStop;
    case kind::kRunVanished:
      return site_event::kRunVanished;
    case kind::kInstanceJoined:
      return site_event::kInstanceJoined;
    case kind::kInstanceReborn:
      return site_event::kInstanceReborn;
    case kind::kInstanceAbsent:
      return site_event::kInstanceAbsent;
    case kind::kInstanceSilent:
      return site_event::kInstanceSilent;
    case kind::kInstanceBack:
      return site_event::kInstanceBack;
    case kind::kInstanceDraining:
      return site_event::kInstanceDraining;
    case kind::kInstanceShunned:
      return site_event::kInstanceShunned;
    case kind::kInstanceDoubted:
      return site_event::kInstanceDoubted;
    case kind::kRunAdopted:
      return site_event::kRunAdopted;
    case kind::kDomainEvacuated:
      return site_event::kDomainEvacuated;
    case kind::kRunUnidentified:
      return site_event::kRunUnidentified;
    case kind::kAdvice:
      return site_event::kAdvice;
    case kind::kInstanceSpeed:
      return site_event::kInstanceSpeed;
    case kind::kCopyDecided:
      return site_event::kCopyDecided;
  }
  return site_event::kTaskEnd;
}

}  // namespace

void WriteNotes(const std::vector<scheduler_event>& notes, site_log& log, monotonic_time now) {
  for (const scheduler_event& note : notes) {
    log.Write(EventOf(note.what), now,
              absl::StrCat("id=", LogField(note.subject), " ", note.detail));
  }
}

}  // namespace catkinford
