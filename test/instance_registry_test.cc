// Registrations that another writer damaged, as the owner reads them.
#include "process/site/instance_registry.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "platform/adapter.h"

namespace catkinford {
namespace {

using nlohmann::json;

json Sound() {
  return {{"service", "s"},
          {"address", "10.0.0.1:80"},
          {"zone", "z"},
          {"state", "ready"},
          {"capacity", {{"cpu", 16000}, {"mem-mb", 32768}, {"gpu", 0}}},
          {"labels", {"a", "r1-3"}},
          {"born", 17}};
}

registration_fault FaultOf(const std::string& value, const std::string& key = "servers/i-1") {
  const auto fault =
      ErrorOf<registration_fault>([&] { return platform::DecodeRegistration(key, value); });
  return fault.value_or(registration_fault::kNone);
}

registration_fault FaultWith(const char* field, const json& value) {
  json entry = Sound();
  entry[field] = value;
  return FaultOf(entry.dump());
}

TEST_CASE("registration, of an instance, has no fault") {
  CHECK(FaultOf(Sound().dump()) == registration_fault::kNone);
  CHECK(FaultWith("address", "[::1]:8080") == registration_fault::kNone);
  CHECK(FaultWith("address", "10.0.0.1:65535") == registration_fault::kNone);
  CHECK(FaultWith("remaining-ms", 1200.5) == registration_fault::kNone);
  CHECK(FaultWith("born", 17.0) == registration_fault::kNone);
}

// Guards against an instance that counts although no call can reach it.
TEST_CASE("registration, address without an IP and a port, names no instance") {
  for (const char* address : {"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
                              "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:8x", "host:80",
                              "10.0.0:80", "[::1:80", "10.0.0.1:80/x", "10.0.0.1:80\r\nX: y"}) {
    INFO(address);
    CHECK(FaultWith("address", address) == registration_fault::kAddress);
  }
}

// Guards against capacity that no machine has, which hid that jobs can never be placed.
TEST_CASE("registration, number that no instance has, names no instance") {
  CHECK(FaultWith("capacity", {{"cpu", 1e308}, {"mem-mb", 1}}) == registration_fault::kNumber);
  CHECK(FaultWith("capacity", {{"cpu", -1}}) == registration_fault::kNumber);
  CHECK(FaultWith("born", 17.5) == registration_fault::kNumber);
  CHECK(FaultWith("born", 1e19) == registration_fault::kNumber);
  CHECK(FaultWith("remaining-ms", 1e300) == registration_fault::kNumber);
  CHECK(FaultOf(R"({"capacity":{"cpu":1e999}})") == registration_fault::kUnreadable);
}

TEST_CASE("registration, field missing or of another type, names no instance") {
  CHECK(FaultWith("capacity", 7) == registration_fault::kField);
  CHECK(FaultWith("labels", {1, 2}) == registration_fault::kField);
  CHECK(FaultWith("labels", "a") == registration_fault::kField);
  CHECK(FaultWith("service", 5) == registration_fault::kField);
  CHECK(FaultWith("service", "") == registration_fault::kService);
  CHECK(FaultWith("state", "asleep") == registration_fault::kState);
  CHECK(FaultOf("{}") == registration_fault::kField);
  CHECK(FaultOf("[]") == registration_fault::kUnreadable);
  CHECK(FaultOf(std::string(300'000, '[')) == registration_fault::kUnreadable);
  CHECK(FaultOf(R"({"a":)" + std::string(300'000, '[')) == registration_fault::kUnreadable);
}

// Guards against an id that ends a header of the calls to its instance.
TEST_CASE("registration, id with a line break, names no instance") {
  CHECK(FaultOf(Sound().dump(), "servers/i-1\r\nX: y") == registration_fault::kId);
  CHECK(FaultOf(Sound().dump(), "servers/") == registration_fault::kId);
}

class instance_registry_fixture {
 protected:
  void Read(const std::vector<store_item>& items) {
    registry.Begin();
    for (const store_item& item : items) registry.Add(item, now);
    registry.End(now);
  }
  store_item Item(const std::string& id, const std::string& value) {
    return {"servers/" + id, value, ++revision, false};
  }
  double Unusable() const { return metrics.unusable_registrations.Value(); }

  site_log log{"test", 1000};
  site_metrics metrics;
  instance_registry<platform::adapter> registry{log, metrics};
  monotonic_time now{std::chrono::seconds(100)};
  uint64_t revision = 0;
};

// Guards against one odd entry that hides the others, and against an instance that stays listed
// although its entry was damaged.
TEST_CASE_METHOD(instance_registry_fixture,
                 "registry, entry damaged and mended, is left out and comes back") {
  const store_item other = Item("other", Sound().dump());
  Read({Item("odd", Sound().dump()), other});
  CHECK(registry.Usable().size() == 2);
  CHECK(Unusable() == 0);
  Read({Item("odd", std::string(300'000, '[')), other});
  REQUIRE(registry.Usable().size() == 1);
  CHECK(registry.Usable().front().id == "other");
  CHECK(Unusable() == 1);
  Read({Item("odd", Sound().dump()), other});
  CHECK(registry.Usable().size() == 2);
  CHECK(Unusable() == 0);
}

TEST_CASE_METHOD(instance_registry_fixture, "registry, read is under way, the last one holds") {
  Read({Item("a", Sound().dump())});
  registry.Begin();
  CHECK(registry.Usable().size() == 1);
}

// Guards against a log that one writer floods.
TEST_CASE_METHOD(instance_registry_fixture,
                 "registry, thousands of odd entries, all are counted and few are logged") {
  std::vector<store_item> items;
  items.reserve(5001);
  for (int i = 0; i < 5000; ++i) items.push_back(Item(absl::StrCat("odd-", i), "no json"));
  items.push_back(Item("sound", Sound().dump()));
  Read(items);
  CHECK(registry.Usable().size() == 1);
  CHECK(Unusable() == 5000);
  CHECK(log.DroppedLines() == 0);
}

}  // namespace
}  // namespace catkinford
