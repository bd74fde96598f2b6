#include "process/settings.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "process/settings_table.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;

class settings_fixture {
 protected:
  // A complete settings file with `more` added.
  static std::string SettingsText(const std::string& more = "") {
    return R"({ // of one entry
      "name": "e1", "failure_domain": "otaru", "failure_domains": ["otaru", "asahikawa"],
      "platform": {"store_url": "http://127.0.0.1:1", "instances_url": "http://127.0.0.1:2"},
      )" + more +
           R"("listen": {"caller_port": 0, "peer_port": 0}})";
  }
  static settings ParseValid(const std::string& text) {
    return leaf::try_handle_all([&] { return ParseSettings(text); },
                                [](const settings_error& error) {
                                  FAIL(ToText(error));
                                  return settings{};
                                },
                                [] {
                                  FAIL("an error without a type");
                                  return settings{};
                                });
  }
  static settings_error ParseInvalid(const std::string& text) {
    const auto error = ErrorOf<settings_error>([&] { return ParseSettings(text); });
    REQUIRE(error);
    return *error;
  }
  static void CheckInvalid(const std::string& more, settings_fault fault, const std::string& path) {
    const settings_error error = ParseInvalid(SettingsText(more));
    INFO(more << " gave " << ToText(error));
    CHECK(error.fault == fault);
    CHECK(error.path == path);
  }
};

}  // namespace

TEST_CASE_METHOD(settings_fixture, "settings, complete file with comments, are parsed",
                 "[settings]") {
  const settings read =
      ParseValid(SettingsText(R"("timing": {"heartbeat": "300ms", "max_deadline": "15s"},)"));
  CHECK(read.name == "e1");
  CHECK(read.failure_domains.size() == 2);
  CHECK(read.timing.heartbeat == milliseconds{300});
  CHECK(read.timing.max_deadline == milliseconds{15000});
  CHECK(read.timing.member_lease == settings{}.timing.member_lease);
}

TEST_CASE_METHOD(settings_fixture, "settings, one invalid field, give its fault and path",
                 "[settings]") {
  using enum settings_fault;
  CheckInvalid(R"("timming": {},)", kUnknownField, "timming");
  CheckInvalid(R"("timing": {"hartbeat": "1s"},)", kUnknownField, "timing.hartbeat");
  CheckInvalid(R"("timing": 3,)", kWrongType, "timing");
  CheckInvalid(R"("timing": {"heartbeat": 250},)", kWrongUnit, "timing.heartbeat");
  CheckInvalid(R"("timing": {"heartbeat": "250"},)", kWrongUnit, "timing.heartbeat");
  CheckInvalid(R"("timing": {"heartbeat": "1 s"},)", kWrongUnit, "timing.heartbeat");
  CheckInvalid(R"("timing": {"heartbeat": "-1s"},)", kWrongUnit, "timing.heartbeat");
  CheckInvalid(R"("timing": {"heartbeat": "99999999999999999h"},)", kWrongUnit, "timing.heartbeat");
  CheckInvalid(R"("timing": {"heartbeat": "1h"},)", kOutOfRange, "timing.heartbeat");
  CheckInvalid(R"("timing": {"heartbeat": true},)", kWrongType, "timing.heartbeat");
  CheckInvalid(R"("shards": {"per_domain": 0},)", kOutOfRange, "shards.per_domain");
  CheckInvalid(R"("shards": {"per_domain": 18446744073709551615},)", kOutOfRange,
               "shards.per_domain");
  CheckInvalid(R"("shards": {"per_domain": 1.5},)", kWrongType, "shards.per_domain");
  CheckInvalid(R"("logs": {"level": "loud"},)", kOutOfRange, "logs.level");
  CheckInvalid(R"("logs": {"level": "info", "level": "debug"},)", kDuplicateField, "level");
}

TEST_CASE_METHOD(settings_fixture, "settings, two contradicting fields, are rejected",
                 "[settings]") {
  using enum settings_fault;
  CheckInvalid(R"("timing": {"heartbeat": "2s"},)", kContradiction, "timing.heartbeat");
  CheckInvalid(R"("timing": {"sync_wait": "10s"},)", kContradiction, "timing.sync_wait");
  CheckInvalid(R"("timing": {"default_deadline": "25s"},)", kContradiction,
               "timing.default_deadline");
  CheckInvalid(R"("timing": {"identity_window": "20s"},)", kContradiction,
               "timing.identity_window");
}

TEST_CASE_METHOD(settings_fixture, "settings, file without a required field, name the field",
                 "[settings]") {
  const settings_error error = ParseInvalid(R"({"name": "e1"})");
  CHECK(error.fault == settings_fault::kMissingField);
  CHECK(error.path == "failure_domain");
}

TEST_CASE_METHOD(settings_fixture, "settings, malformed or missing file, give their own fault",
                 "[settings]") {
  CHECK(ParseInvalid("{").fault == settings_fault::kNotJson);
  CHECK(ParseInvalid("[]").fault == settings_fault::kNotJson);
  CHECK(ParseInvalid("{\"name\": \"\xff\xfe\"}").fault == settings_fault::kNotJson);
  for (const std::string file : {"/nonexistent/settings.json", "/"}) {
    const auto error = ErrorOf<settings_error>([&] { return LoadSettings(file); });
    REQUIRE(error);
    CHECK(error->fault == settings_fault::kMissingFile);
    CHECK(error->value == file);
  }
}

TEST_CASE_METHOD(settings_fixture, "settings fault, each, has its own exit code", "[settings]") {
  std::set<int> codes;
  for (size_t i = 0; i < kSettingsFaults; ++i) {
    codes.insert(ExitCode(static_cast<settings_fault>(i)));
  }
  CHECK(codes.size() == kSettingsFaults);
  CHECK(*codes.rbegin() == ExitCode(settings_fault::kContradiction));
  CHECK(*codes.begin() == 10);
}

TEST_CASE_METHOD(settings_fixture, "duration, written as text, reads back the same", "[settings]") {
  for (const int64_t count : {0, 1, 250, 1000, 1500, 60000, 90000, 3600000}) {
    CHECK(ParseDuration(DurationText(milliseconds{count})) == milliseconds{count});
  }
  CHECK(DurationText(milliseconds{600000}) == "10m");
}

}  // namespace catkinford
