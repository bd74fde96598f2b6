#include "process/removed_endpoints.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using names = std::vector<std::string>;

class removed_endpoints_fixture {
 protected:
  names After(milliseconds time, const std::set<std::string>& listed) {
    return removed_.Update({"a", "b"}, listed, milliseconds{100}, monotonic_time{} + time);
  }

  removed_endpoints removed_;
};

}  // namespace

// The platform's list is incomplete for a moment. Discarding a drain because of it would give new
// work to an endpoint that is being dismantled.
TEST_CASE_METHOD(removed_endpoints_fixture,
                 "drained endpoint, missing for a moment, is not removed", "[drain]") {
  CHECK(After(milliseconds{0}, {"b"}).empty());
  CHECK(After(milliseconds{99}, {"b"}).empty());
  CHECK(After(milliseconds{100}, {"a", "b"}).empty());
  CHECK(After(milliseconds{150}, {"b"}).empty());
  CHECK(After(milliseconds{249}, {"b"}).empty());
  CHECK(After(milliseconds{250}, {"b"}) == names{"a"});
}

TEST_CASE_METHOD(removed_endpoints_fixture, "drained endpoints, list empty, are not removed",
                 "[drain]") {
  CHECK(After(milliseconds{0}, {"c"}).empty());
  CHECK(After(milliseconds{100}, {}).empty());
  CHECK(After(milliseconds{150}, {"c"}).empty());
  CHECK(After(milliseconds{250}, {"c"}) == names{"a", "b"});
}

}  // namespace catkinford
