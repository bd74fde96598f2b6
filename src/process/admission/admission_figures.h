// What the owner tells an entry about jobs that it should not accept, with its text form.
//
// Load: jobs beyond their workspaces' shares would wait for longer than their results are of use.
#ifndef CATKINFORD_PROCESS_ADMISSION_ADMISSION_FIGURES_H_
#define CATKINFORD_PROCESS_ADMISSION_ADMISSION_FIGURES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

// One pair of queue and workspace that is beyond its share.
struct admission_row {
  std::string queue;
  std::string workspace;
  std::chrono::milliseconds wait{0};  // of a job beyond the share that arrives now
  // Jobs per second that the entry may accept, with its part of those within the share.
  double rate = 0;
  resources largest;  // instance of the service, in each amount

  bool operator==(const admission_row&) const = default;
};

// Newer figures, by epoch and then by number, replace older ones. No rows: accept every job.
struct admission_figures {
  uint64_t epoch = 0;
  uint64_t number = 0;
  std::vector<admission_row> rows;

  bool operator==(const admission_figures&) const = default;
};

std::string AdmissionFiguresToText(const admission_figures& figures);
// Returns nothing for malformed text.
std::optional<admission_figures> AdmissionFiguresFromText(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ADMISSION_ADMISSION_FIGURES_H_
