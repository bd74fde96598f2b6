#include "version/contract.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "version/contract_edit.h"
#include "version/key_ring.h"

namespace catkinford {
namespace {

constexpr const char* kValidDocument = R"({
  // Two teams of one workspace.
  "workspaces": [{"name": "showrooms", "teams": [
    {"name": "booking", "share": 60, "kinds": ["interactive", "service"],
     "urgent_kinds": ["interactive"],
     "limit": {"cpu_milli": 64000, "memory_mb": 131072, "running": 400}},
    {"name": "audit", "share": 40, "kinds": ["batch"], "queue_limit": 50,
     "limit": {"cpu_milli": 32000, "memory_mb": 65536, "accelerators": 2, "running": 100}}]}]
})";

class contract_fixture {
 protected:
  // The document with `from` replaced by `to` gives this fault at this path.
  static void CheckFault(const std::string& from, const std::string& to, contract_fault fault,
                         const std::string& path) {
    std::string text = kValidDocument;
    const size_t place = text.find(from);
    REQUIRE(place != std::string::npos);
    text.replace(place, from.size(), to);
    const auto parsed = ParseConfiguration(text);
    INFO(from << " -> " << to);
    REQUIRE(std::holds_alternative<contract_error>(parsed));
    const auto& error = std::get<contract_error>(parsed);
    CHECK(ToText(error.fault) == ToText(fault));
    CHECK(error.path == path);
  }

  static configuration ValidConfiguration() {
    return std::get<configuration>(ParseConfiguration(kValidDocument));
  }
};

}  // namespace

TEST_CASE_METHOD(contract_fixture, "contract, well formed, is read completely", "[contract]") {
  const configuration config = ValidConfiguration();
  REQUIRE(config.workspaces.size() == 1);
  REQUIRE(config.workspaces[0].teams.size() == 2);
  const team_contract& booking = config.workspaces[0].teams[0];
  CHECK(booking.share == 60);
  CHECK(booking.limit.cpu_milli == 64000);
  CHECK(booking.running_limit == 400);
  CHECK(booking.queue_limit == 1000);
  CHECK(booking.urgent_kinds == std::vector{workload_kind::kInteractive});
  CHECK(config.workspaces[0].teams[1].limit.accelerators == 2);
}

TEST_CASE_METHOD(contract_fixture, "contract, written and read again, is the same text",
                 "[contract]") {
  configuration config = ValidConfiguration();
  config.operator_keys.push_back(MakeKey("night-shift", true).record);
  config.workspaces[0].teams[0].keys.push_back(MakeKey("desk", false).record);
  config.workspaces[0].teams[0].keys[0].withdrawn = true;
  const std::string text = ToText(config);
  const auto again = ParseConfiguration(text);
  REQUIRE(std::holds_alternative<configuration>(again));
  CHECK(ToText(std::get<configuration>(again)) == text);
}

TEST_CASE_METHOD(contract_fixture, "contract, drained endpoints, are read, kept and checked",
                 "[contract]") {
  const std::string list = R"("drained_endpoints": ["ep-2", "Ep-1"], "workspaces")";
  std::string text = kValidDocument;
  text.replace(text.find("\"workspaces\""), 12, list);
  const auto read = ParseConfiguration(text);
  REQUIRE(std::holds_alternative<configuration>(read));
  const auto& config = std::get<configuration>(read);
  CHECK(config.drained_endpoints == std::vector<std::string>{"Ep-1", "ep-2"});
  CHECK(ToText(std::get<configuration>(ParseConfiguration(ToText(config)))) == ToText(config));
  // A file from before the drain does not undo it, and neither does a restored version.
  CHECK(MergeContracts(config, ValidConfiguration()).drained_endpoints == config.drained_endpoints);
  CHECK(RestoreContracts(config, ValidConfiguration()).drained_endpoints ==
        config.drained_endpoints);
  CheckFault("\"workspaces\"", R"("drained_endpoints": ["a", "a"], "workspaces")",
             contract_fault::kDuplicateName, "drained_endpoints[1]");
  CheckFault("\"workspaces\"", R"("drained_endpoints": ["a b"], "workspaces")",
             contract_fault::kOutOfRange, "drained_endpoints[0]");
  CheckFault("\"workspaces\"", R"("drained_endpoints": [7], "workspaces")",
             contract_fault::kWrongType, "drained_endpoints[0]");
}

// An operator mistypes one field. Without a typed error and its path the change would be applied in
// part, or the operator would have to find the mistake by eye in a document of 170 teams.
TEST_CASE_METHOD(contract_fixture, "contract, one mistake, is rejected with the path of the field",
                 "[contract]") {
  const std::string first = "workspaces[0].teams[0]";
  CheckFault("\"share\": 60", "\"shares\": 60", contract_fault::kMissingField, first + ".share");
  CheckFault("\"queue_limit\"", "\"queue\"", contract_fault::kUnknownField,
             "workspaces[0].teams[1].queue");
  CheckFault("\"share\": 60", "\"share\": \"60\"", contract_fault::kWrongType, first + ".share");
  CheckFault("\"share\": 60", "\"share\": 0", contract_fault::kOutOfRange, first + ".share");
  CheckFault("\"cpu_milli\": 64000", "\"cpu_milli\": -1", contract_fault::kOutOfRange,
             first + ".limit.cpu_milli");
  CheckFault("\"cpu_milli\": 64000", "\"cpu_milli\": 1.5", contract_fault::kWrongType,
             first + ".limit.cpu_milli");
  CheckFault("\"audit\"", "\"booking\"", contract_fault::kDuplicateName,
             "workspaces[0].teams[1].name");
  CheckFault("\"batch\"", "\"batches\"", contract_fault::kUnknownKind,
             "workspaces[0].teams[1].kinds[0]");
  CheckFault("\"urgent_kinds\": [\"interactive\"]", "\"urgent_kinds\": [\"gang\"]",
             contract_fault::kUnknownKind, first + ".urgent_kinds[0]");
  CheckFault("\"share\": 60", "\"share\": 60.5", contract_fault::kSharesOverWhole,
             "workspaces[0].teams[1].share");
  CheckFault("\"share\": 60", "\"share\": 60, \"share\": 10", contract_fault::kDuplicateName,
             "share");
  CheckFault("\"booking\"", "\"Booking team\"", contract_fault::kOutOfRange, first + ".name");
  CheckFault("}]}]", "}]}", contract_fault::kNotJson, "");
  CheckFault("\"kinds\": [\"batch\"]", "\"kinds\": " + std::string(200000, '['),
             contract_fault::kNotJson, "");
  CheckFault("\"name\": \"audit\"",
             "\"name\": " + std::string(200000, '[') + std::string(200000, ']'),
             contract_fault::kWrongType, "workspaces[0].teams[1].name");
}

class key_ring_fixture {
 protected:
  key_ring_fixture() {
    config_.workspaces.push_back({"showrooms", {}});
    config_.workspaces[0].teams.emplace_back().name = "booking";
    config_.workspaces[0].teams[0].keys.push_back(team_key_.record);
    config_.operator_keys.push_back(operator_key_.record);
  }

  new_key team_key_ = MakeKey("desk", false);
  new_key operator_key_ = MakeKey("night", true);
  configuration config_;
};

TEST_CASE_METHOD(key_ring_fixture, "key ring, valid key, returns its holder", "[keys]") {
  const key_ring ring(config_);
  REQUIRE(team_key_.secret.size() == 46);
  const auto holder = ring.Find(team_key_.secret);
  REQUIRE(holder.has_value());
  CHECK(holder->team == "booking");
  CHECK(holder->workspace == "showrooms");
  CHECK_FALSE(holder->is_operator);
  REQUIRE(ring.Find(operator_key_.secret).has_value());
  CHECK(ring.Find(operator_key_.secret)->is_operator);
}

TEST_CASE_METHOD(key_ring_fixture, "key ring, any changed character, finds nobody", "[keys]") {
  const key_ring ring(config_);
  for (size_t i = 0; i < team_key_.secret.size(); ++i) {
    std::string changed = team_key_.secret;
    changed[i] = changed[i] == 'A' ? 'B' : 'A';
    CHECK_FALSE(ring.Find(changed).has_value());
  }
  CHECK_FALSE(ring.Find("").has_value());
  CHECK_FALSE(ring.Find(team_key_.secret + "A").has_value());
  CHECK_FALSE(ring.Find(team_key_.record.hash).has_value());
  CHECK_FALSE(ring.Find(MakeKey("other", false).secret).has_value());
}

TEST_CASE_METHOD(key_ring_fixture, "key ring, withdrawn key, finds nobody", "[keys]") {
  config_.workspaces[0].teams[0].keys[0].withdrawn = true;
  CHECK_FALSE(key_ring(config_).Find(team_key_.secret).has_value());
  CHECK(key_ring(config_).Find(operator_key_.secret).has_value());
}

}  // namespace catkinford
