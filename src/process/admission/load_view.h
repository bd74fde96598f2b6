// What the scheduler tells about the load of each service, for the forecast of waits.
//
// Load: one or more workspaces send more than their share while no capacity is free.
#ifndef CATKINFORD_PROCESS_ADMISSION_LOAD_VIEW_H_
#define CATKINFORD_PROCESS_ADMISSION_LOAD_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "request/job_request.h"

namespace catkinford {

// Work is in processor-seconds: processors times expected run time.
struct service_load {
  std::string service;
  double waiting_within = 0;             // work of waiting steps within their workspaces' shares
  std::map<int, double> waiting_beyond;  // beyond them and still of use, by priority
  double waiting_processors = 0;         // that the tasks of these steps need
  double arrived_within = 0;             // work within the shares that became ready so far
  double busy = 0;                       // processors in use by tasks that end by themselves
  double capacity = 0;                   // processors of the instances that take work
  std::vector<resources> free;           // of each of them, where a processor is free
  resources largest;                     // the largest instance in each amount
};

using load_view = std::vector<service_load>;

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ADMISSION_LOAD_VIEW_H_
