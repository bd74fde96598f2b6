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

// The platform's list comes back short for a moment. A drain that was forgotten for it would give
// new work to an endpoint that somebody takes apart.
TEST_CASE_METHOD(removed_endpoints_fixture, "drained endpoint, missing for a moment, is not gone",
                 "[drain]") {
  CHECK(After(milliseconds{0}, {"b"}).empty());
  CHECK(After(milliseconds{99}, {"b"}).empty());
  CHECK(After(milliseconds{100}, {"a", "b"}).empty());
  CHECK(After(milliseconds{150}, {"b"}).empty());
  CHECK(After(milliseconds{249}, {"b"}).empty());
  CHECK(After(milliseconds{250}, {"b"}) == names{"a"});
}

TEST_CASE_METHOD(removed_endpoints_fixture, "drained endpoints, list empty, are not gone",
                 "[drain]") {
  CHECK(After(milliseconds{0}, {"c"}).empty());
  CHECK(After(milliseconds{100}, {}).empty());
  CHECK(After(milliseconds{150}, {"c"}).empty());
  CHECK(After(milliseconds{250}, {"c"}) == names{"a", "b"});
}

}  // namespace catkinford
