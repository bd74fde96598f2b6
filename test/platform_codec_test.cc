#include <catch2/catch.hpp>
#include <optional>
#include <set>
#include <string>

#include "platform/codecs.h"
#include "platform/instance_calls.h"
#include "platform/listing_reader.h"
#include "process/scheduling/arrival_rate_limit.h"
#include "process/site/advice_dispatcher.h"
#include "process/site/peer_messages.h"
#include "process/site/site_membership.h"
#include "process/site/site_records.h"
#include "process/site/site_settings.h"
#include "request/bounded_name.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

// What operators, instances and callers write on the platform's wire.
class platform_wire_fixture {
 protected:
  std::shared_ptr<const site_configuration> Version(const std::string& text) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::shared_ptr<const site_configuration>> {
          return platform::DecodeVersion(text);
        },
        [] { return std::shared_ptr<const site_configuration>(); });
  }
  // Returns the name of the error; empty if the body is accepted.
  std::string RejectionOf(const std::string& body) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_AUTO(job, platform::DecodeSubmission("00000000000000ab", body));
          leaf::result<void> sound = CheckGraph(job);
          if (!sound) return sound.error();
          last_job = std::move(job);
          return std::string();
        },
        [](graph_fault fault) { return std::string(ToText(fault)); },
        [](const platform::submission_fault&) { return std::string("malformed"); },
        [] { return std::string("other"); });
  }

  graph_job last_job;
  const std::string version_text = R"({"version":7,"routes":[
    {"name":"r1","host":"h","prefix":"/a/","route-type":"unsafe","service":"s","priority":2,
     "max-attempts":3,"stretch":1.5,"target-latency-ms":250.0,
     "advice":{"decision-ms":22.0,"per-item-ms":0.32,"valid-ms":2500},"anonymous":false},
    {"name":"r2","host":"h","prefix":"/a/b/","service":"s","anonymous":true}],
    "services":[{"name":"s","admission-check":true}],"limits":{"max-body-bytes":1000},
    "tenants":[{"name":"t","api-keys":["k1","k2"],"weight":9,
                "maximum":{"cpu":398965,"mem-mb":609084,"gpu":0}}],"new-field":{"x":1}})";
};

TEST_CASE_METHOD(platform_wire_fixture, "version, as written by the operator, is decoded") {
  const auto version = Version(version_text);
  REQUIRE(version != nullptr);
  CHECK(version->Number() == 7);
  const queue_config* queue = version->QueueFor("h", "/a/0123");
  REQUIRE(queue != nullptr);
  CHECK(queue->name == "r1");
  CHECK(queue->jobs.max_attempts == 3);
  CHECK(queue->jobs.needs_advice);
  CHECK(queue->advice->per_instance == std::chrono::microseconds(320));
  CHECK(version->WorkspaceOfKey("k2")->name == "t");
  CHECK(version->WorkspaceOfKey("k3") == nullptr);
  CHECK(version->WorkspaceNamed("t")->maximum.cpu_milli == 398965);
  CHECK(version->Limits().body_bytes == 1000);
}

TEST_CASE_METHOD(platform_wire_fixture, "queue, of the longest prefix, is found") {
  const auto version = Version(version_text);
  CHECK(version->QueueFor("h", "/a/b/0123")->name == "r2");
  CHECK(version->QueueFor("h", "/c/0123") == nullptr);
  CHECK(version->QueueFor("other", "/a/0123") == nullptr);
}

// Guards against unreadable bytes under the configuration's key, which must change nothing.
TEST_CASE_METHOD(platform_wire_fixture, "version, unreadable, is rejected") {
  CHECK(Version("") == nullptr);
  CHECK(Version("[1]") == nullptr);
  CHECK(Version(R"({"version":"seven","routes":[]})") == nullptr);
  CHECK(Version(R"({"version":8,"routes":[{"name":1}]})") == nullptr);
}

TEST_CASE_METHOD(platform_wire_fixture, "registration, of an instance, is decoded") {
  const std::string entry =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,
          "state":"draining","remaining-ms":1200,"cold-left-ms":0,
          "capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],"born":17,"seq-no":4})";
  const auto report = platform::DecodeRegistration("servers/i-1", entry);
  REQUIRE(report);
  CHECK(report->id == "i-1");
  CHECK(report->draining);
  CHECK(report->remaining == milliseconds(1200));
  CHECK(report->rack == "r1-3");
  CHECK(report->incarnation == 17);
}

// Guards against entries of another writer, with a missing field, a field of another type or an
// unknown state: such an entry names no usable instance and does not affect the others.
TEST_CASE_METHOD(platform_wire_fixture, "registration, of another writer, yields no instance") {
  CHECK_FALSE(platform::DecodeRegistration("servers/i-1", "no json"));
  CHECK_FALSE(platform::DecodeRegistration("servers/i-1", R"({"service":"s"})"));
  CHECK_FALSE(platform::DecodeRegistration("servers/", "{}"));
  CHECK_FALSE(platform::DecodeRegistration(
      "servers/i-1", R"({"service":"s","address":"a","zone":"z","state":"asleep",
                         "capacity":{"cpu":1},"labels":[]})"));
  CHECK_FALSE(platform::DecodeRegistration("servers/i-1",
                                           R"({"service":"s","address":7,"zone":"z","state":"ready",
                         "capacity":{"cpu":1},"labels":[]})"));
}

TEST_CASE_METHOD(platform_wire_fixture, "submission, with all terms of a step, is decoded") {
  REQUIRE(RejectionOf(R"({"task-spec":"x","steps":[
      {"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,"affinity":"r1-3","gang":true},
      {"count":20,"cpu":2000,"mem-mb":1024,"after":[0],"checkpointing":true,"anti-affinity":2,
       "speculative":true,"constraints":"b","image":"i","target-ms":40,"may-miss":1,"fills":true,
       "long-running":true,"same-rack":true}],
      "repeat-count":3,"interval-ms":2000,"first-run-ms":1700000000000})")
              .empty());
  CHECK(last_job.steps[0].data_rack == "r1-3");
  CHECK(last_job.steps[1].max_per_instance == 2);
  CHECK(last_job.steps[1].tail_latency_target == milliseconds(40));
  CHECK(last_job.Occurrences() == 3);
}

TEST_CASE_METHOD(platform_wire_fixture, "submission, malformed, gets its typed error") {
  CHECK(RejectionOf("") == "malformed");
  CHECK(RejectionOf(R"({"steps":7})") == "malformed");
  CHECK(RejectionOf(R"({"steps":[{"count":"x"}]})") == "malformed");
  CHECK(RejectionOf(R"({"steps":[]})") == "no_steps");
  CHECK(RejectionOf(R"({"steps":[{"count":0}]})") == "no_tasks");
  CHECK(RejectionOf(R"({"steps":[{"count":1,"after":[0]}]})") == "bad_dependency");
  CHECK(RejectionOf(R"({"steps":[{"count":1}],"repeat-count":2})") == "bad_repeats");
  CHECK(RejectionOf(R"({"steps":[{"count":1}],"task-spec":")" + std::string(5000, 'x') + "\"}") ==
        "payload_too_long");
}

// Guards against a submission that is decoded whole although it has too many steps, and against a
// job that holds as much as its text is long.
TEST_CASE_METHOD(platform_wire_fixture, "submission, as large as its text allows, holds little") {
  std::string steps = "{}";
  for (int i = 0; i < 10'000; ++i) steps += ",{}";
  CHECK(RejectionOf(R"({"steps":[)" + steps + "]}") == "too_many_steps");
  std::string after = "0";
  for (int i = 0; i < 10'000; ++i) after += ",0";
  REQUIRE(RejectionOf(R"({"steps":[{"count":1},{"count":1,"after":[)" + after + "]}]}").empty());
  CHECK(last_job.steps[1].after == std::vector<uint32_t>{0});
  const std::string name(10'000, 'x');
  REQUIRE(RejectionOf(R"({"steps":[{"count":1,"image":")" + name + R"(","affinity":")" + name +
                      R"(","constraints":")" + name + R"("}]})")
              .empty());
  const step_spec& step = last_job.steps[0];
  CHECK(step.image.size() + step.data_rack.size() + step.required_label.size() <=
        3 * kMaxNameBytes);
}

// Guards against a long label that a step requires, and that its instance no longer has.
TEST_CASE_METHOD(platform_wire_fixture, "names, long, are equal where they were equal") {
  const std::string name(1000, 'x');
  const std::string entry = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",
      "capacity":{"cpu":1,"mem-mb":1},"labels":["a",")" +
                            name + R"("]})";
  const auto report = platform::DecodeRegistration("servers/i-1", entry);
  REQUIRE(report);
  REQUIRE(RejectionOf(R"({"steps":[{"count":1,"affinity":")" + name + R"("}]})").empty());
  CHECK(last_job.steps[0].data_rack == report->rack);
  CHECK(BoundedName(name) != BoundedName(name + "x"));
  CHECK(BoundedName("r1-3") == "r1-3");
}

TEST_CASE_METHOD(platform_wire_fixture, "job record, written and read, is the same") {
  REQUIRE(RejectionOf(R"({"task-spec":"x","steps":[{"count":2,"cpu":5,"gang":true}]})").empty());
  const std::string text = JobToText(last_job);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(again, JobFromText(text));
        CHECK(JobToText(again) == text);
        return {};
      },
      [] { FAIL("not read"); });
}

TEST_CASE_METHOD(platform_wire_fixture, "task name, read back, is the same") {
  const task_key key{"5c0e7a21d94b36f8", 0, 1, 17};
  CHECK(platform::TaskName(key) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(platform::ParseTaskName("5c0e7a21d94b36f8.0.1.17") == key);
  CHECK_FALSE(platform::ParseTaskName("5c0e7a21d94b36f8.0.1"));
  CHECK_FALSE(platform::ParseTaskName("5c0e7a21d94b36f8.0.x.1"));
}

// The parts of a site's process without I/O.
class site_parts_fixture {
 protected:
  std::optional<settings_error> RejectionOf(const std::string& text) {
    return ErrorOf<settings_error>([&] { return ParseSiteSettings(text); });
  }
  const std::string good = R"({"name":"n","failure_domain":"d",
    "listen":{"callers":"1.2.3.4:1","ready":"1.2.3.4:2","address":"1.2.3.4","peer_port":3},
    "platform":{"store":"1.2.3.4:5"}})";
  const monotonic_time now{std::chrono::seconds(100)};
};

TEST_CASE_METHOD(site_parts_fixture, "site settings, sound, are accepted with comments") {
  CHECK_FALSE(RejectionOf("// a comment\n" + good));
}

TEST_CASE_METHOD(site_parts_fixture, "site settings, wrong, name the field") {
  CHECK(RejectionOf("no json")->fault == settings_fault::kNotJson);
  CHECK(RejectionOf(R"({"name":"n"})")->fault == settings_fault::kMissingField);
  std::string unknown = good;
  unknown.insert(1, R"("colour":1,)");
  CHECK(RejectionOf(unknown)->path == "colour");
  std::string wrong = good;
  wrong.insert(1, R"("timing":{"owner_lease_ms":"soon"},)");
  CHECK(RejectionOf(wrong)->path == "timing.owner_lease_ms");
  CHECK(RejectionOf(wrong)->fault == settings_fault::kWrongType);
}

// Guards against one workspace that sends many times its share: only its jobs beyond the share are
// found, so that those of others do not wait behind them.
TEST_CASE_METHOD(site_parts_fixture,
                 "arrival rate limit, overload from one workspace, finds the excess") {
  arrival_rate_limit limit;
  const wall_time start{milliseconds(1000000)};
  int within = 0;
  for (int i = 0; i < 1000; ++i) {
    if (!limit.Exceeds(5, start + milliseconds(10 * i))) ++within;
  }
  CHECK(within >= 50);
  CHECK(within <= 56);
}

TEST_CASE_METHOD(site_parts_fixture, "arrival rate limit, usual load, finds no excess") {
  arrival_rate_limit limit;
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(limit.Exceeds(5, wall_time{milliseconds(1000000 + 250 * i)}));
  }
}

// Guards against slow queries of a burst that occupy all entries: quick work would wait half a
// second behind them, and is late after some hundred milliseconds.
TEST_CASE_METHOD(site_parts_fixture,
                 "advice spread, burst of slow queries, keeps entries for quick ones") {
  advice_dispatcher spread;
  spread.SetEntries({"a", "b", "c", "d", "e", "f"});
  for (int i = 0; i < 10; ++i) spread.Add({}, now);
  int slow = 0;
  while (spread.Next(now)) ++slow;
  CHECK(slow == 4);
  advice_query quick;
  quick.urgent = true;
  spread.Add(quick, now);
  const auto next = spread.Next(now);
  REQUIRE(next);
  CHECK(next->query.urgent);
}

TEST_CASE_METHOD(site_parts_fixture, "advice spread, entry removed, gets no new queries") {
  advice_dispatcher spread;
  spread.SetEntries({"a", "b"});
  spread.SetEntries({"b"});
  spread.Add({}, now);
  CHECK(spread.Next(now)->entry == "b");
  spread.Add({}, now);
  CHECK_FALSE(spread.Next(now));
  spread.OnAnswered("b");
  CHECK(spread.Next(now)->entry == "b");
}

// Guards against an owner that takes its site as lost because the store's answers arrive out of
// order: an update from before its claim arrives after it.
TEST_CASE_METHOD(site_parts_fixture, "site view, old update after a newer one, changes nothing") {
  site_view view;
  const owner_record mine{{"me", "1.1.1.1:1", "d", 5}, 4};
  view.Apply({kOwnerKey, OwnerToText(mine), 20});
  view.Apply({kOwnerKey, {}, 15, true});
  REQUIRE(view.owner);
  CHECK(view.owner->epoch == 4);
  view.Apply({kOwnerKey, {}, 25, true});
  CHECK_FALSE(view.owner);
  CHECK(view.epoch == 4);
}

TEST_CASE_METHOD(site_parts_fixture, "claims, of several entries, are made one after the other") {
  site_view view;
  for (const char* name : {"a", "b", "c"}) view.entries[name] = {name, "", "", 1};
  std::set<milliseconds> delays;
  for (const char* name : {"a", "b", "c"}) delays.insert(ClaimDelay(view, name));
  CHECK(delays.size() == 3);
  CHECK(*delays.begin() == milliseconds(0));
}

// Guards against a weak owner, whose answers to the instances come too late, so that work is
// stopped and restarted repeatedly: a strong entry goes first, and a weak owner gives way to it.
TEST_CASE_METHOD(site_parts_fixture, "claims, of a weak entry, wait for the strong ones") {
  site_view view;
  const site_entry weak{"a", "", "", 1, Strength(0.12, 10)};
  const site_entry strong{"b", "", "", 1, Strength(0.5, 200)};
  view.entries = {{"a", weak}, {"b", strong}};
  for (view.epoch = 0; view.epoch < 4; ++view.epoch) {
    CHECK(ClaimDelay(view, "b") + milliseconds(300) < ClaimDelay(view, "a"));
  }
  CHECK(MuchStrongerExists(view, weak));
  CHECK_FALSE(MuchStrongerExists(view, strong));
  view.entries.erase("b");
  CHECK(ClaimDelay(view, "a") == milliseconds(0));
}

// Guards against all entries querying the same one for the configuration, and weak ones for its
// text.
TEST_CASE_METHOD(site_parts_fixture, "entry to query, by random number, is any or a strong one") {
  site_view view;
  CHECK_FALSE(PickPeer(view, "a", false, 7));
  for (const char* name : {"a", "b", "c", "d"}) {
    const double strength = name[0] == 'b' ? 0.05 : 0.5;
    view.entries[name] = site_entry{name, "", "z", 1, strength};
  }
  std::set<std::string> any;
  std::set<std::string> strong;
  for (uint64_t random = 0; random < 12; ++random) {
    any.insert(PickPeer(view, "a", false, random)->name);
    strong.insert(PickPeer(view, "a", true, random)->name);
  }
  CHECK(any == std::set<std::string>{"b", "c", "d"});
  CHECK(strong == std::set<std::string>{"c", "d"});
}

TEST_CASE_METHOD(site_parts_fixture, "records of the store, unreadable, are ignored") {
  CHECK_FALSE(OwnerFromText("x"));
  CHECK_FALSE(EntryFromText(R"({"name":1})"));
  CHECK(FleetFromText("{}").empty());
  CHECK(FleetFromText(R"([{"id":"i"}])").empty());
}

TEST_CASE_METHOD(site_parts_fixture, "messages between entries, read back, are the same") {
  const peer_advice_request question{{"00000000000000ab", 1, 2, {"i-1"}, {}, false},
                                     milliseconds(900)};
  const auto again = PeerAdviceRequestFromText(PeerAdviceRequestToText(question));
  REQUIRE(again);
  CHECK(again->order.instances == question.order.instances);
  CHECK(again->timeout == question.timeout);
  CHECK(PeerPhaseReplyFromText(PeerPhaseReplyToText({true, graph_phase::kFailed}))->phase ==
        graph_phase::kFailed);
  CHECK_FALSE(PeerPhaseReplyFromText(R"({"owns":true,"phase":77})")->phase);
  CHECK_FALSE(PeerAdviceReplyFromText("[]"));
  const auto decoded =
      PeerVersionReplyFromText(PeerVersionReplyToText({{7, 90, milliseconds(40)}, "{\n}"}));
  REQUIRE(decoded);
  CHECK(decoded->version.number == 7);
  CHECK(decoded->version.revision == 90);
  CHECK(decoded->version.age == milliseconds(40));
  CHECK(decoded->text == "{\n}");
  CHECK_FALSE(PeerVersionReplyFromText(R"({"number":7,"revision":90,"age_ms":40})"));
}

}  // namespace
}  // namespace catkinford
