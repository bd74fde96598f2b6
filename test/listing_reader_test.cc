// Answers of instances, read without a JSON tree, against a JSON parser.
#include "platform/listing_reader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace catkinford::platform {
namespace {

using nlohmann::json;

// Draws answers of instances, and damages some of them.
class listing_reader_fixture {
 protected:
  size_t Draw(size_t below) { return std::uniform_int_distribution<size_t>(0, below - 1)(random_); }
  bool OneIn(size_t count) { return Draw(count) == 0; }

  std::string Name() {
    static const std::vector<std::string> odd{"",         "a.b",       "5c.0.1",      "5c.0.1.2.3",
                                              "5c.x.1.2", "5c. 1.1.2", "5c.-1.0.0",   "...",
                                              "\xc3\xa4", "q\"uote",   "back\\slash", "new\nline"};
    if (OneIn(10)) return odd[Draw(odd.size())];
    return absl::StrCat("5c0e7a21d94b36f8.", Draw(3), ".", Draw(9), ".", Draw(500));
  }
  json Odd() {
    static const std::vector<json> odd{nullptr,
                                       true,
                                       -3,
                                       41.75,
                                       1e30,
                                       "text",
                                       json::array(),
                                       json::object(),
                                       99999999999ULL,
                                       18446744073709551615ULL};
    return odd[Draw(odd.size())];
  }
  json Number() { return OneIn(60) ? Odd() : json(Draw(100000)); }
  json Text(std::string text) { return OneIn(80) ? Odd() : json(std::move(text)); }
  json Share() { return OneIn(4) ? json(static_cast<double>(Draw(1000)) / 8) : Number(); }

  json Running() {
    json row{Text(Name()), Number(), Text(OneIn(3) ? "" : "00000bb87a21d94b"), Share(), Share()};
    if (OneIn(8)) row.erase(4);
    if (OneIn(30)) row.erase(3);
    if (OneIn(60)) row.push_back(Odd());
    return row;
  }
  json Ended() {
    static const std::vector<std::string> ends{"done",   "failed", "stopped", "lapsed",
                                               "broken", "alone",  "other"};
    json row{Number(), Text(Name()), Number(), Text(ends[Draw(ends.size())]), Text("0007")};
    if (OneIn(8)) row.erase(4);
    if (OneIn(60)) row.push_back(Odd());
    return row;
  }
  std::string Listing() {
    json out{{"clock-ms", Number()}, {"running", json::array()}, {"ended", json::array()}};
    if (!OneIn(4)) out["born"] = Number();
    if (OneIn(40)) out["other"] = Odd();
    for (size_t i = Draw(6); i > 0; --i) out["running"].push_back(Running());
    for (size_t i = Draw(4); i > 0; --i) out["ended"].push_back(Ended());
    if (OneIn(40)) out["running"] = Odd();
    if (OneIn(40)) out.erase("ended");
    return out.dump(OneIn(4) ? 1 : -1);
  }
  std::string CommandAnswer() {
    json out{{"clock-ms", Number()}};
    if (OneIn(2)) out["reason"] = Text(OneIn(2) ? "fence" : "room");
    if (OneIn(10)) out["other"] = Odd();
    return out.dump(OneIn(4) ? 1 : -1);
  }
  // Cuts, removes, repeats or replaces characters.
  std::string Damaged(std::string text) {
    static const std::string characters = "{}[],:\"0123456789.-+eE \n\\x\x01\x80";
    const size_t at = Draw(text.size());
    switch (Draw(4)) {
      case 0:
        return text.substr(0, at);
      case 1:
        return text.erase(at, 1 + Draw(3));
      case 2:
        return text.insert(at, text.substr(at, 1 + Draw(20)));
      default:
        text[at] = characters[Draw(characters.size())];
        return text;
    }
  }

  std::mt19937_64 random_{662};  // NOLINT(cert-msc51-cpp): the same answers in each run
};

std::string Shown(const task_key& key) { return TaskName(key); }

std::string Shown(const std::optional<instance_listing>& listing) {
  if (!listing) return "none";
  std::string out = absl::StrCat(listing->clock_ms, " ", listing->incarnation);
  for (const running_row& row : listing->running) {
    absl::StrAppend(&out, " [", Shown(row.key), " ", row.run, " ", row.checkpoint, " ", row.percent,
                    " ", row.load, "]");
  }
  for (const ended_row& row : listing->ended) {
    absl::StrAppend(&out, " (", row.number, " ", Shown(row.key), " ", row.run, " ",
                    static_cast<int>(row.how), " ", row.checkpoint, ")");
  }
  return out;
}

std::string Shown(const command_fields& fields) {
  return absl::StrCat(fields.clock_ms ? absl::StrCat(*fields.clock_ms) : "none", " ",
                      fields.reason);
}

constexpr int kAnswers = 40000;

}  // namespace

// Guards against a listing that is read as another one, which would lose or repeat runs.
TEST_CASE_METHOD(listing_reader_fixture,
                 "listing reader, usual and damaged listings, reads what a JSON parser reads",
                 "[platform_codec]") {
  int usual = 0;
  for (int i = 0; i < kAnswers; ++i) {
    const std::string text = OneIn(2) ? Listing() : Damaged(Listing());
    const auto read = ReadUsualListing(text);
    if (!read) continue;
    ++usual;
    INFO(text);
    REQUIRE(Shown(read) == Shown(ParseListing(text)));
  }
  CHECK(usual > kAnswers / 8);
}

TEST_CASE_METHOD(listing_reader_fixture,
                 "listing reader, usual and damaged answers, reads what a JSON parser reads",
                 "[platform_codec]") {
  int usual = 0;
  for (int i = 0; i < kAnswers; ++i) {
    const std::string text = OneIn(2) ? CommandAnswer() : Damaged(CommandAnswer());
    const auto read = ReadUsualCommandFields(text);
    if (!read) continue;
    ++usual;
    INFO(text);
    REQUIRE(Shown(*read) == Shown(ParseCommandFields(text)));
  }
  CHECK(usual > kAnswers / 4);
}

// Guards against a reader that leaves every listing to the slow path.
TEST_CASE("listing reader, listing as an instance writes it, needs no JSON parser",
          "[platform_codec]") {
  const auto read =
      ReadUsualListing(R"({"clock-ms":482113,"born":1764792000123,)"
                       R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,1500.5]],)"
                       R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
  REQUIRE(read);
  CHECK(Shown(read) ==
        "482113 1764792000123 [5c0e7a21d94b36f8.0.1.17 2 00000bb87a21d94b 41 1500] "
        "(58 5c0e7a21d94b36f8.0.1.9 1 0 )");
  CHECK(ReadUsualCommandFields(R"({"clock-ms":482113,"reason":"fence"})"));
}

// Guards against a command answer whose reason is no text, which ended the process.
TEST_CASE("listing reader, reason of another type, is no reason", "[platform_codec]") {
  CHECK(ReadCommandFields(R"({"clock-ms":7,"reason":5})").reason.empty());
  CHECK(ReadCommandFields("[]").reason.empty());
  CHECK_FALSE(ReadListing("[]"));
}

}  // namespace catkinford::platform
