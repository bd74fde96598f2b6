#include "connection/traffic_counter.h"

#include <catch2/catch.hpp>

namespace catkinford {
namespace {

// Guards against a metric with one value per job.
TEST_CASE("traffic counter, paths with identifiers, are counted by kind") {
  CHECK(KindOfCall("http://10.0.0.1:80/peer/state?id=7") == "peer/state");
  CHECK(KindOfCall("http://10.0.0.1:80/v1/keep/123/more") == "v1/keep");
  CHECK(KindOfCall("http://10.0.0.1:80/health") == "health");
  CHECK(KindOfCall("http://10.0.0.1:80").empty());
}

TEST_CASE("traffic counter, after Take, restarts at zero and keeps the totals") {
  traffic_counter counter;
  counter.Count("http://a/x/y?1", 10, 20);
  counter.Count("http://b/x/y?2", 1, 2);
  const auto first = counter.Take();
  REQUIRE(first.size() == 1);
  CHECK(first.at("x/y").calls == 2);
  CHECK(first.at("x/y").sent == 11);
  CHECK(first.at("x/y").received == 22);
  CHECK(counter.Take().empty());
  CHECK(counter.Total().calls == 2);
  CHECK(counter.Total().sent == 11);
  CHECK(counter.Total().received == 22);
}

}  // namespace
}  // namespace catkinford
