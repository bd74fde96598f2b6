#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/site/call_messages.h"
#include "process/site/relay_choice.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class relay_choice_fixture {
 protected:
  relay_choice_fixture() {
    Add("owner", "a", 1);
    Add("strong-a", "a", 1);
    Add("weak-a", "a", 0.2);
    Add("strong-b", "b", 1);
    Add("spare-b", "b", 0.9);
    choice.SetEntries(entries, entries.at("owner"));
    std::vector<instance_report> instances;
    for (const char* domain : {"a", "b", "c"}) {
      instance_report report;
      report.id = absl::StrCat("i-", domain);
      report.address = absl::StrCat("10.0.0.1:", domain);
      report.failure_domain = domain;
      instances.push_back(report);
    }
    choice.SetInstances(instances);
  }
  void Add(const std::string& name, const std::string& domain, double strength) {
    entries[name] = {name, absl::StrCat(name, ":1"), domain, 1, strength};
  }
  std::string RelayOf(const std::string& domain) {
    const site_entry* relay = choice.RelayFor("10.0.0.1:" + domain, now);
    return relay == nullptr ? std::string() : relay->name;
  }

  std::map<std::string, site_entry> entries;
  relay_choice choice;
  monotonic_time now{seconds(100)};
};

// Guards against calls that leave the failure domain of their instance, and against the owner or a
// weak entry as relay.
TEST_CASE_METHOD(relay_choice_fixture, "relay choice, strong entry in the domain, is chosen") {
  CHECK(RelayOf("a") == "strong-a");
  CHECK(RelayOf("b") == "strong-b");
  CHECK(RelayOf("c").empty());
  CHECK(choice.RelayFor("10.0.0.9:1", now) == nullptr);
}

// Guards against calls that wait for a relay which is cut off, one timeout after the other.
TEST_CASE_METHOD(relay_choice_fixture, "relay choice, relay silent, avoided for a while") {
  choice.OnFailure("strong-b", now);
  CHECK(RelayOf("b") == "spare-b");
  choice.OnFailure("spare-b", now);
  CHECK(RelayOf("b").empty());
  choice.OnFailure("strong-a", now);
  CHECK(RelayOf("a").empty());
  now += seconds(4);
  CHECK(RelayOf("a") == "strong-a");
  CHECK(RelayOf("b") == "strong-b");
}

// Guards against a relay that left the site and is used further.
TEST_CASE_METHOD(relay_choice_fixture, "relay choice, relay gone, another one is chosen") {
  entries.erase("strong-b");
  choice.SetEntries(entries, entries.at("owner"));
  CHECK(RelayOf("b") == "spare-b");
}

// Guards against one relay for more instances than it can call.
TEST_CASE_METHOD(relay_choice_fixture, "relay choice, many instances in a domain, share relays") {
  std::vector<instance_report> instances;
  for (int i = 0; i < 400; ++i) {
    instance_report report;
    report.address = absl::StrCat("10.0.1.", i, ":80");
    report.failure_domain = "b";
    instances.push_back(report);
  }
  choice.SetInstances(instances);
  std::set<std::string> relays;
  for (const instance_report& report : instances) {
    relays.insert(choice.RelayFor(report.address, now)->name);
  }
  CHECK(relays.size() == 2);
}

// Guards against a call that reaches another instance, or a result that ends another call.
TEST_CASE("relayed calls, written and read, same") {
  relayed_calls message;
  message.epoch = 9;
  message.not_after_ms = 482'113;
  message.calls.resize(1);
  relayed_call& sent = message.calls[0];
  sent.number = 77;
  sent.call.method = "POST";
  sent.call.url = "http://10.0.0.1:80/path";
  sent.call.body = std::string("{\"a\":\"\xc3\xa9\x01\"}");
  sent.call.timeout = milliseconds{1800};
  sent.call.headers = {{"Name", "value"}, {"Other", ""}};
  const auto read = RelayedCallsFromBytes(RelayedCallsToBytes(message));
  REQUIRE(read);
  CHECK(read->epoch == 9);
  CHECK(read->not_after_ms == 482'113);
  REQUIRE(read->calls.size() == 1);
  CHECK(read->calls[0].number == 77);
  CHECK(read->calls[0].call.method == sent.call.method);
  CHECK(read->calls[0].call.url == sent.call.url);
  CHECK(read->calls[0].call.body == sent.call.body);
  CHECK(read->calls[0].call.timeout == sent.call.timeout);
  CHECK(read->calls[0].call.headers == sent.call.headers);
  for (const char* bytes : {"", "[]", "\x93\x01\x02\x91\x91\x01", "\xc1"}) {
    CHECK_FALSE(RelayedCallsFromBytes(bytes));
  }
}

TEST_CASE("relayed results, written and read, same") {
  relayed_results message;
  message.nonce = UINT64_MAX;
  message.clock_ms = 5;
  message.results.push_back({3, {transfer_status::kMaybeSent, 0, {}}});
  message.results.push_back({4, {transfer_status::kDone, 409, std::string("\xff{}")}});
  const auto read = RelayedResultsFromBytes(RelayedResultsToBytes(message));
  REQUIRE(read);
  CHECK(read->nonce == UINT64_MAX);
  CHECK(read->clock_ms == 5);
  REQUIRE(read->results.size() == 2);
  CHECK(read->results[0].number == 3);
  CHECK(read->results[0].result.status == transfer_status::kMaybeSent);
  CHECK(read->results[1].result.status == transfer_status::kDone);
  CHECK(read->results[1].result.code == 409);
  CHECK(read->results[1].result.body == std::string("\xff{}"));
  CHECK_FALSE(RelayedResultsFromBytes("{}"));
}

}  // namespace
}  // namespace catkinford
