// Load: submissions beyond the shares at an entry; see admission_gate.h.
#include "process/admission/admission_gate.h"

namespace catkinford {

admission_gate::admission_gate(const gate_options& options)
    : admission_(options.entry, options.figures_valid), returns_(options.max_retry_after) {}

void admission_gate::OnFigures(const std::optional<admission_figures>& figures,
                               monotonic_time now) {
  if (!figures) return;
  heard_ = now;
  admission_.OnFigures(*figures, now);
}

admission_gate::decision admission_gate::Judge(const submission& job, uint64_t known_epoch,
                                               monotonic_time now) {
  last_submission_ = now;
  decision out;
  const bool on_time = returns_.OnTime(job.id, now);
  out.verdict = admission_.Judge(job, known_epoch, on_time, now);
  out.returned = on_time && out.verdict.accept;
  if (out.verdict.accept) returns_.Forget(job.id);
  return out;
}

return_schedule::promise admission_gate::Reject(const submission& job,
                                                const admission_verdict& verdict,
                                                monotonic_time now) {
  return returns_.Reject(job.id, job.queue, job.workspace, verdict.rate, verdict.wait - job.useful,
                         now);
}

bool admission_gate::Active(monotonic_time now) const {
  return last_submission_ && now - *last_submission_ <= kActiveFor;
}

bool admission_gate::TakeQuestion(monotonic_time now) {
  const auto recent = [now](const std::optional<monotonic_time>& at) {
    return at && now - *at < kQuestionInterval;
  };
  if (!Active(now) || recent(heard_) || recent(asked_)) return false;
  asked_ = now;
  return true;
}

}  // namespace catkinford
