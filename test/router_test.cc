// Selection of the shard for a request without a caller's key.
#include "process/router.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr resources kTask{1000, 1024, 0, 1};

// An entry of a failure domain whose shard has a queue, while the shard of another domain has none.
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
  int SentToRemote() const {
    int remote = 0;
    for (uint64_t seed = 0; seed < 64; ++seed) {
      const std::string* shard = routes_.Choose(kTask, seed, now_);
      REQUIRE(shard != nullptr);
      remote += *shard == ShardName("there", 0) ? 1 : 0;
    }
    return remote;
  }

  const monotonic_time now_{std::chrono::hours{1}};
  router routes_;
};

class router_report_fixture {
 public:
  router_report_fixture() : routes_({"otaru", {"otaru", "asahikawa"}}) {
    routes_.SetAgeLimits(seconds{3}, seconds{20});
  }

 protected:
  static shard_report Report(const std::string& domain, uint64_t epoch) {
    shard_report report;
    report.shard = ShardName(domain, 0);
    report.epoch = epoch;
    return report;
  }

  monotonic_time now_{std::chrono::hours{1}};
  router routes_;
};

}  // namespace

TEST_CASE_METHOD(router_fixture, "router, queue in own domain only, sends requests to the other",
                 "[router]") {
  Report("here", milliseconds{30});
  Report("there", milliseconds{0});
  CHECK(SentToRemote() > 0);
}

// The other domain is in another region with a round trip of 80 ms. A request sent there because of
// a local queue of 30 ms would be answered 50 ms later than here.
TEST_CASE_METHOD(router_fixture, "router, queue shorter than the round trip, keeps requests local",
                 "[router]") {
  Report("here", milliseconds{30});
  Report("there", milliseconds{0});
  routes_.OnRoundTrip("owner-there", milliseconds{80});
  CHECK(SentToRemote() == 0);
  Report("here", milliseconds{200});
  CHECK(SentToRemote() > 0);
}

// An owner releases its shard and reports so. Its earlier report, forwarded by others, arrives
// later; if accepted it would direct requests to the old owner until the new owner's next report.
TEST_CASE_METHOD(router_report_fixture,
                 "router, earlier report of an owner that disowned, is ignored", "[router]") {
  routes_.OnReport("otaru-0", Report("otaru", 4), now_);
  routes_.OnNotOwner("otaru-0", "otaru/0", now_ + seconds{1});
  routes_.OnReport("otaru-0", Report("otaru", 4), now_ + milliseconds{500});
  CHECK_FALSE(routes_.OwnerOf("otaru/0", now_ + seconds{1}));
  routes_.OnReport("otaru-1", Report("otaru", 5), now_ + milliseconds{600});
  CHECK(routes_.OwnerOf("otaru/0", now_ + seconds{1}) == "otaru-1");
  routes_.OnReport("otaru-0", Report("otaru", 4), now_ + seconds{2});
  CHECK(routes_.OwnerOf("otaru/0", now_ + seconds{2}) == "otaru-1");
}

// Other domains report in turn, hence less often. With a single age limit their shards would have
// no known owner between two reports, and requests for them would wait.
TEST_CASE_METHOD(router_report_fixture, "router, report of another domain, has its own age limit",
                 "[router]") {
  routes_.OnReport("otaru-0", Report("otaru", 4), now_);
  routes_.OnReport("asahikawa-0", Report("asahikawa", 4), now_);
  CHECK_FALSE(routes_.OwnerOf("otaru/0", now_ + seconds{10}));
  CHECK(routes_.OwnerOf("asahikawa/0", now_ + seconds{10}) == "asahikawa-0");
  CHECK_FALSE(routes_.OwnerOf("asahikawa/0", now_ + seconds{21}));
}

}  // namespace catkinford
