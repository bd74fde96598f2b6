// Which shard a request without a key of its caller goes to.
#include "process/router.h"

#include <catch2/catch.hpp>
#include <string>

namespace catkinford {
namespace {

using std::chrono::milliseconds;

constexpr resources kTask{1000, 1024, 0, 1};

// An entry of a failure domain whose shard has a queue; another domain's shard has none.
class router_fixture {
 protected:
  router_fixture() : routes_(Options()) {}

  static router_options Options() {
    router_options options;
    options.failure_domain = "here";
    options.failure_domains = {"here", "there"};
    return options;
  }
  void Report(const std::string& domain, milliseconds queue_delay) {
    shard_report report;
    report.shard = ShardName(domain, 0);
    report.epoch = 1;
    report.summary.largest_capacity = {16000, 32768, 0, 8};
    report.summary.queue_delay = queue_delay;
    routes_.OnReport("owner-" + domain, report, now_);
  }
  // How many of 64 requests go to the other domain.
  int SentThere() const {
    int there = 0;
    for (uint64_t seed = 0; seed < 64; ++seed) {
      const std::string* shard = routes_.Choose(kTask, seed, now_);
      REQUIRE(shard != nullptr);
      there += *shard == ShardName("there", 0) ? 1 : 0;
    }
    return there;
  }

  const monotonic_time now_{std::chrono::hours{1}};
  router routes_;
};

}  // namespace

TEST_CASE_METHOD(router_fixture, "router, queue here and none there, sends work there",
                 "[router]") {
  Report("here", milliseconds{30});
  Report("there", milliseconds{0});
  CHECK(SentThere() > 0);
}

// The other domain is in another region, 80 ms there and back. Work that leaves for it because of
// a queue of 30 ms comes back 50 ms later than it would have here.
TEST_CASE_METHOD(router_fixture, "router, queue shorter than the way there, keeps work here",
                 "[router]") {
  Report("here", milliseconds{30});
  Report("there", milliseconds{0});
  routes_.OnRoundTrip("owner-there", milliseconds{80});
  CHECK(SentThere() == 0);
  Report("here", milliseconds{200});
  CHECK(SentThere() > 0);
}

}  // namespace catkinford
