// Records of runs that an owner finds at instances. Until they are stored, the next owner must not
// take the records for complete: it would start their tasks again.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "process/scheduling/job_scheduler.h"
#include "scheduling_jobs.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A second owner. The first one started a task without a record, on the only instance.
class unrecorded_run_fixture {
 protected:
  unrecorded_run_fixture() {
    owner.OnInherited({report}, now);
    owner.OnRegistry({report}, now);
    owner.OnFleetStored({report});
  }

  void AddJob() { owner.OnJob(Job(1, {Tasks(1, 1000, seconds(60))}), "", true, wall_time{}, now); }
  void ListRun() {
    owner.OnListing({{"instance", "", 1}, {}, 0, {}}, {5000, 1, {{key, 1, "", 1, 0}}, {}}, now,
                    now);
    now += milliseconds(20);
    owner.Decide(wall_time{}, now);
  }
  void StoreAll() { owner.OnStored(owner.TakeUnstored(10)); }

  instance_report report = SmallInstance("instance");
  task_key key{JobId(1), 0, 0, 0};
  monotonic_time now{seconds(100)};
  job_scheduler owner{scheduler_options{}, 2, now};
};

// Guards against two runs of a task: the declaration that records are incomplete was withdrawn
// before the records of adopted runs were stored, and the next owner started their tasks.
TEST_CASE_METHOD(unrecorded_run_fixture,
                 "job scheduler, adopted run not stored, records are not known") {
  AddJob();
  ListRun();
  CHECK_FALSE(owner.RecordsKnown());
  StoreAll();
  CHECK(owner.RecordsKnown());
}

TEST_CASE_METHOD(unrecorded_run_fixture,
                 "job scheduler, run of unknown job listed, records are not known") {
  ListRun();
  CHECK_FALSE(owner.RecordsKnown());
}

TEST_CASE_METHOD(unrecorded_run_fixture,
                 "job scheduler, run of unknown job listed, hands over incomplete records") {
  ListRun();
  CHECK_FALSE(owner.HandOver(now).complete);
}

}  // namespace
}  // namespace catkinford
