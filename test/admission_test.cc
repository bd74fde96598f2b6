// The figures and their decisions at one entry, without network.
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/admission/admission_figures.h"
#include "process/admission/admission_gate.h"
#include "process/admission/figures_source.h"
#include "process/admission/known_job_query.h"
#include "process/admission/wait_forecast.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const monotonic_time kStart{seconds(100)};
constexpr uint64_t kEpoch = 3;

admission_figures Figures(uint64_t epoch, uint64_t number, double rate = 0) {
  admission_figures out{epoch, number, {}};
  out.rows.push_back({"queue", "workspace", seconds(20), rate, {16000, 65536, 4, 0}});
  return out;
}

submission Submission(int number) {
  submission out;
  out.id = absl::StrCat("job-", number);
  out.queue = "queue";
  out.workspace = "workspace";
  out.useful = seconds(5);
  out.largest = {2000, 1024, 0, 0};
  return out;
}

// Tasks of eight processors.
const typical_step kStep{{8000, 0, 0, 0}, 10};

// A full service of 100 processors with work of 200 processor-seconds beyond the shares.
class forecast_fixture {
 protected:
  forecast_fixture() {
    load_.service = "service";
    load_.waiting_beyond[0] = 200;
    load_.waiting_processors = 200;
    load_.busy = load_.capacity = 100;
    for (int i = 0; i < 20; ++i) Observe();
  }
  void Observe() {
    forecast_.Observe(load_, now_);
    now_ += milliseconds(200);
  }

  service_load load_;
  wait_forecast forecast_;
  monotonic_time now_ = kStart;
};

class gate_fixture {
 protected:
  bool Accepts(monotonic_time now, int job = 1, uint64_t known_epoch = kEpoch) {
    return gate_.Judge(Submission(job), known_epoch, now).verdict.accept;
  }
  // Newcomers take all that is granted by now.
  void UseUp(monotonic_time now) {
    constexpr int kMany = 100;
    int accepted = 0;
    while (accepted < kMany && Accepts(now, kMany + accepted)) ++accepted;
    REQUIRE(accepted < kMany);
  }
  return_schedule::promise Reject(int job, monotonic_time now) {
    const auto decision = gate_.Judge(Submission(job), kEpoch, now);
    REQUIRE_FALSE(decision.verdict.accept);
    return gate_.Reject(Submission(job), decision.verdict, now);
  }

  admission_gate gate_{{"entry", milliseconds(2000), milliseconds(3000)}};
};

}  // namespace

TEST_CASE("admission figures, written and read, are the same", "[admission]") {
  const admission_figures figures = Figures(7, 12, 0.25);
  CHECK(AdmissionFiguresFromText(AdmissionFiguresToText(figures)) == figures);
}

// Guards against a damaged reply that rejects jobs or ends the process.
TEST_CASE("admission figures, malformed text, are nothing", "[admission]") {
  for (const char* text : {"", "{}", "[]", "{\"epoch\":1,\"number\":2}",
                           "{\"epoch\":1,\"number\":2,\"rows\":[[\"q\"]]}",
                           "{\"epoch\":1,\"number\":\"2\",\"rows\":[]}",
                           "{\"epoch\":1,\"number\":2,\"rows\":[[\"q\",\"w\",-5,1,1,1,1]]}",
                           "{\"epoch\":1,\"number\":2,\"rows\":[[\"q\",\"w\",5,-1,1,1,1]]}"}) {
    INFO(text);
    CHECK_FALSE(AdmissionFiguresFromText(text).has_value());
  }
}

// Guards against a forecast that knows of lost or returned capacity only after seconds.
TEST_CASE_METHOD(forecast_fixture, "wait forecast, half of the capacity lost, grows at once",
                 "[admission]") {
  const milliseconds before = forecast_.Wait(0, kStep);
  CHECK(before == seconds(2));
  load_.capacity /= 2;
  load_.busy /= 2;
  Observe();
  CHECK(forecast_.Wait(0, kStep) >= 2 * before - milliseconds(1));
  // Back, and not in use yet.
  load_.capacity *= 2;
  Observe();
  CHECK(forecast_.Wait(0, kStep) <= before + milliseconds(200));
}

// Guards against rejections while capacity is free that the waiting work cannot use.
TEST_CASE_METHOD(forecast_fixture, "wait forecast, capacity free for a step, is zero",
                 "[admission]") {
  load_.free = {{16000, 0, 0, 0}};
  Observe();
  // Two tasks fit, of the step's ten.
  CHECK(forecast_.Wait(0, kStep) > seconds(1));
  load_.free.assign(10, {16000, 0, 0, 0});
  Observe();
  CHECK(forecast_.Wait(0, kStep) == seconds(0));
}

// Guards against jobs of a later priority that count as ahead.
TEST_CASE_METHOD(forecast_fixture, "wait forecast, two priorities, counts the work ahead",
                 "[admission]") {
  load_.waiting_beyond[2] = 400;
  Observe();
  CHECK(forecast_.Wait(0, kStep) == seconds(2));
  CHECK(forecast_.Wait(2, kStep) == seconds(6));
}

// Guards against capacity that is granted to each of several workspaces, or to each entry.
TEST_CASE("figures source, two workspaces beyond their share, grants the spare capacity once",
          "[admission]") {
  figures_source source(kEpoch);
  service_load load;
  load.service = "service";
  load.waiting_beyond[0] = 600;
  load.busy = load.capacity = 100;
  accepted_job job{"", "queue", "service", "", "", 0, 1, true, false, seconds(5), 10, kStep};
  for (int i = 0; i < 40; ++i) {
    job.id = absl::StrCat("job-", i);
    job.workspace = i % 2 == 0 ? "a" : "b";
    // Nine of ten jobs come to one entry.
    job.entry = i % 10 < 9 ? "busy" : "quiet";
    source.OnJob(job, kStart + milliseconds(100 * i));
    if (i % 2 == 0) source.Update({load}, 2, kStart + milliseconds(100 * i));
  }
  const monotonic_time now = kStart + milliseconds(4000);
  double granted = 0;
  for (const char* entry : {"busy", "quiet"}) {
    const admission_figures figures = source.For(entry, now);
    REQUIRE(figures.rows.size() == 2);
    CHECK(figures.rows[0].wait == seconds(6));
    for (const admission_row& row : figures.rows) granted += row.rate;
  }
  // 100 processor-seconds a second are 10 jobs a second, less a fifth as the wait is a fifth too
  // long; and the shares of 1 with their margin.
  CHECK(granted == Approx(8 + 2 * 1.2));
  CHECK(source.For("busy", now).rows[0].rate > 3 * source.For("quiet", now).rows[0].rate);
}

// Guards against rejections by an owner that is dead or cannot be reached.
TEST_CASE_METHOD(gate_fixture, "entry admission, owner dies, accepts everything after two seconds",
                 "[admission]") {
  CHECK(Accepts(kStart));
  gate_.OnFigures(Figures(kEpoch, 1), kStart);
  CHECK_FALSE(Accepts(kStart + milliseconds(10)));
  CHECK_FALSE(Accepts(kStart + milliseconds(1990)));
  for (int i = 0; i < 100; ++i) CHECK(Accepts(kStart + milliseconds(2010 + i), i));
}

// Guards against a takeover after which entries go on by the former owner's figures.
TEST_CASE_METHOD(gate_fixture, "entry admission, figures of an older epoch, accepts",
                 "[admission]") {
  gate_.OnFigures(Figures(kEpoch, 9), kStart);
  CHECK(Accepts(kStart, 1, kEpoch + 1));
  gate_.OnFigures(admission_figures{kEpoch + 1, 1, {}}, kStart);
  gate_.OnFigures(Figures(kEpoch, 10), kStart);
  CHECK(Accepts(kStart, 1, kEpoch));
}

// Guards against replies that overtake each other: an earlier one would bring back a load that has
// passed, and a repeated one would keep old figures valid.
TEST_CASE_METHOD(gate_fixture, "entry admission, figures out of order or twice, uses the newest",
                 "[admission]") {
  gate_.OnFigures(admission_figures{kEpoch, 5, {}}, kStart);
  gate_.OnFigures(Figures(kEpoch, 4), kStart + milliseconds(50));
  CHECK(Accepts(kStart + milliseconds(60)));
  gate_.OnFigures(Figures(kEpoch, 6), kStart + milliseconds(100));
  gate_.OnFigures(Figures(kEpoch, 6), kStart + milliseconds(1900));
  CHECK_FALSE(Accepts(kStart + milliseconds(1950)));
  CHECK(Accepts(kStart + milliseconds(2150)));
}

// Guards against the rejection of jobs that the figures do not speak of.
TEST_CASE_METHOD(gate_fixture, "entry admission, job that the row does not concern, is accepted",
                 "[admission]") {
  gate_.OnFigures(Figures(kEpoch, 1), kStart);
  submission job = Submission(1);
  const auto accepts = [&] { return gate_.Judge(job, kEpoch, kStart).verdict.accept; };
  REQUIRE_FALSE(accepts());
  SECTION("another workspace") { job.workspace = "other"; }
  SECTION("another queue") { job.queue = "other"; }
  SECTION("of use after the wait") { job.useful = seconds(20); }
  SECTION("without a time by which it is of use") { job.time_bound = false; }
  SECTION("too large for any instance") { job.largest.cpu_milli = 17000; }
  CHECK(accepts());
}

// Guards against entries that all accept their first job at the same time, or none of them.
TEST_CASE("entry admission, many entries with a small rate, keep the rate together",
          "[admission]") {
  int accepted = 0;
  for (int entry = 0; entry < 40; ++entry) {
    admission_gate gate({absl::StrCat("entry-", entry), seconds(20), seconds(3)});
    gate.OnFigures(Figures(kEpoch, 1, 0.05), kStart);
    for (int i = 0; i < 100; ++i) {
      const auto at = kStart + milliseconds(100 * i);
      if (gate.Judge(Submission(i), kEpoch, at).verdict.accept) ++accepted;
    }
  }
  // 40 entries, 0.05 jobs a second, 10 s.
  CHECK(accepted > 12);
  CHECK(accepted < 28);
}

// Guards against a false rejection: an earlier attempt was stored and its answer was lost.
TEST_CASE("known job query, answer, allows a rejection only of an unknown job", "[admission]") {
  using enum known_job_answer;
  for (const auto& [first, second] : {std::pair(kKnown, kUnknown), std::pair(kNotOwner, kUnknown),
                                      std::pair(kNone, kUnknown), std::pair(kUnknown, kNone)}) {
    std::vector<bool> calls;
    known_job_query query([&](bool may_reject) { calls.push_back(may_reject); });
    query.OnAnswer(first);
    query.OnAnswer(second);
    CHECK(calls == std::vector<bool>{first == kUnknown});
  }
}

// Guards against rejected callers that all return in the same second, or out of their order.
TEST_CASE_METHOD(gate_fixture, "return schedule, callers in succession, are spread in their order",
                 "[admission]") {
  gate_.OnFigures(Figures(kEpoch, 1, 0.9), kStart);
  UseUp(kStart);
  seconds last{0};
  std::set<seconds> used;
  for (int i = 0; i < 3; ++i) {
    const auto promise = Reject(i, kStart);
    CHECK(promise.retry_after >= last);
    last = promise.retry_after;
    used.insert(last);
  }
  CHECK(used.size() > 1);
  for (int i = 3; i < 2000; ++i) {
    const auto promise = Reject(i, kStart + milliseconds(i % 50));
    CHECK(promise.retry_after >= seconds(1));
    CHECK(promise.retry_after <= seconds(3));
  }
}

// Guards against newcomers that take the place of a caller that waited as it was told.
TEST_CASE_METHOD(gate_fixture, "return schedule, caller on time, goes before newcomers",
                 "[admission]") {
  gate_.OnFigures(Figures(kEpoch, 1, 0.8), kStart);
  UseUp(kStart);
  const auto promise = Reject(1, kStart);
  REQUIRE(promise.kept_place);
  const auto back = kStart + promise.retry_after;
  gate_.OnFigures(Figures(kEpoch, 2, 0.8), back - milliseconds(300));
  UseUp(back);
  const auto decision = gate_.Judge(Submission(1), kEpoch, back + milliseconds(20));
  CHECK(decision.verdict.accept);
  CHECK(decision.returned);
  CHECK_FALSE(Accepts(back + milliseconds(30), 200));
}

TEST_CASE_METHOD(gate_fixture, "return schedule, caller too early or too late, counts as new",
                 "[admission]") {
  gate_.OnFigures(Figures(kEpoch, 1, 0.8), kStart);
  UseUp(kStart);
  const auto promise = Reject(1, kStart);
  CHECK_FALSE(gate_.Judge(Submission(1), kEpoch, kStart + milliseconds(300)).returned);
  const auto late = kStart + promise.retry_after + milliseconds(1100);
  gate_.OnFigures(Figures(kEpoch, 2, 0.8), late);
  CHECK_FALSE(gate_.Judge(Submission(1), kEpoch, late).returned);
}

// Guards against questions to the owner from entries that nobody uses.
TEST_CASE_METHOD(gate_fixture, "admission gate, without submissions or just told, asks nothing",
                 "[admission]") {
  CHECK_FALSE(gate_.TakeQuestion(kStart));
  Accepts(kStart);
  CHECK(gate_.TakeQuestion(kStart));
  CHECK_FALSE(gate_.TakeQuestion(kStart + milliseconds(400)));
  gate_.OnFigures(Figures(kEpoch, 1), kStart + milliseconds(450));
  CHECK_FALSE(gate_.TakeQuestion(kStart + milliseconds(900)));
  CHECK(gate_.TakeQuestion(kStart + milliseconds(1000)));
  CHECK_FALSE(gate_.TakeQuestion(kStart + milliseconds(2100)));
}

}  // namespace catkinford
