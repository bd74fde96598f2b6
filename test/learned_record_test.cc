#include "process/learned/learned_record.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <string>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class learned_record_fixture {
 protected:
  static learned_record Record(size_t instances) {
    learned_record out;
    out.epoch = 7;
    out.written = kNow;
    out.queues = {{"urgent", 60, 400, 410, 2700, 2800}};
    out.kinds = {{"service/old", 0.6, 0.02, 300}, {"service/new", -0.2, 0.02, 700}};
    for (size_t i = 0; i < instances; ++i) {
      out.instances.push_back(
          {absl::StrCat("instance-", i), 0.3 + static_cast<double>(i) / 1e4, 40});
    }
    return out;
  }

  static constexpr wall_time kNow{seconds(1000000)};
  monotonic_time now_{seconds(100)};
  learned_writer writer_;
};

TEST_CASE_METHOD(learned_record_fixture, "learned record, written and read, is the same") {
  const auto read = LearnedFromText(LearnedToText(Record(2)), kNow + seconds(3));
  REQUIRE(read);
  CHECK(read->epoch == 7);
  CHECK(read->written == kNow);
  CHECK(read->queues[0].xy == 2800);
  CHECK(read->kinds.size() == 2);
  CHECK(read->instances[0].id == "instance-1");
  CHECK(read->instances[0].mean == Approx(0.3));
}

// Guards against decisions from a record that was cut off, is of another format or too old.
TEST_CASE_METHOD(learned_record_fixture, "learned record, unusable text, is nothing") {
  const std::string text = LearnedToText(Record(20));
  for (size_t length = 0; length < text.size(); length += 7) {
    CHECK_FALSE(LearnedFromText(text.substr(0, length), kNow));
  }
  std::string other = text;
  other.replace(other.find("\"version\":1"), 11, "\"version\":2");
  CHECK_FALSE(LearnedFromText(other, kNow));
  CHECK(LearnedFromText(text, kNow + minutes(10)));
  CHECK_FALSE(LearnedFromText(text, kNow + minutes(10) + milliseconds{1}));
  CHECK_FALSE(LearnedFromText(text, kNow - minutes(11)));
  CHECK_FALSE(LearnedFromText(text + std::string(kMaxLearnedBytes, ' '), kNow));
  std::string huge = text;
  huge.replace(huge.find("0.6"), 3, "1e9");
  CHECK_FALSE(LearnedFromText(huge, kNow));
}

// Guards against a value that takes up the store's and the owner's bandwidth on a large fleet.
TEST_CASE_METHOD(learned_record_fixture, "learned record, too many instances, keeps the clearest") {
  const std::string text = LearnedToText(Record(4200));
  CHECK(text.size() <= kMaxLearnedBytes);
  const auto read = LearnedFromText(text, kNow);
  REQUIRE(read);
  CHECK(read->queues.size() == 1);
  CHECK(read->instances.size() > 300);
  CHECK(read->instances[0].id == "instance-4199");
}

// Guards against a put with each change, and against a record that becomes too old unchanged.
TEST_CASE_METHOD(learned_record_fixture, "learned record, writes, are rare") {
  REQUIRE(writer_.Due(now_));
  CHECK_FALSE(writer_.Differs(learned_record{}, now_));
  now_ += seconds(5);
  REQUIRE(writer_.Due(now_));
  REQUIRE(writer_.Differs(Record(2), now_));
  writer_.OnWritten(Record(2), now_);
  CHECK_FALSE(writer_.Due(now_ + seconds(4)));
  now_ += seconds(5);
  REQUIRE(writer_.Due(now_));
  CHECK_FALSE(writer_.Differs(Record(2), now_));
  learned_record changed = Record(2);
  changed.kinds[0].mean += 0.2;
  CHECK(writer_.Differs(changed, now_));
  CHECK(writer_.Differs(Record(2), now_ + minutes(5)));
}

// Guards against run times of a former owner that outweigh what this one has seen.
TEST_CASE_METHOD(learned_record_fixture, "learned record, run times, count like a few steps") {
  run_times before;
  for (int i = 0; i < 200; ++i) before.OnRun("quick", milliseconds{1000}, milliseconds{4000}, 1);
  run_times next;
  next.OnRun("known", milliseconds{500}, milliseconds{500}, 1);
  std::vector<queue_run_times> saved = before.Save();
  saved.push_back({"known", 50, 450, 450, 4050, 4050});
  saved.push_back({"invalid", 0, 1, 1, 1, 1});
  saved.push_back({"endless", 1, 9, 900, 90, 90});
  next.Load(saved);
  CHECK(next.Expected("quick", milliseconds{1000}) > milliseconds{3000});
  CHECK(next.Expected("known", milliseconds{500}) < milliseconds{700});
  CHECK(next.Expected("invalid", milliseconds{500}) == milliseconds{500});
  CHECK(next.Expected("endless", milliseconds{500}) == milliseconds{500});
  for (int i = 0; i < 30; ++i) next.OnRun("quick", milliseconds{1000}, milliseconds{1000}, 1);
  CHECK(next.Expected("quick", milliseconds{1000}) < milliseconds{1600});
}

}  // namespace
}  // namespace catkinford
