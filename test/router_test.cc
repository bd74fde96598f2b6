// Which shard a request without a key of its caller goes to.
#include "process/router.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

TEST_CASE_METHOD(router_fixture, "router, queue here and none there, sends work there",
                 "[router]") {
  Report("here", milliseconds{30});
  Report("there", milliseconds{0});
  CHECK(SentToRemote() > 0);
}

// The other domain is in another region, 80 ms there and back. Work that leaves for it because of
// a queue of 30 ms comes back 50 ms later than it would have here.
TEST_CASE_METHOD(router_fixture, "router, queue shorter than the way there, keeps work here",
                 "[router]") {
  Report("here", milliseconds{30});
  Report("there", milliseconds{0});
  routes_.OnRoundTrip("owner-there", milliseconds{80});
  CHECK(SentToRemote() == 0);
  Report("here", milliseconds{200});
  CHECK(SentToRemote() > 0);
}

// An owner gives its shard away and says so. Its earlier word, passed on by others, arrives after
// that: taken as news it would send requests back to it until the next word of the heir.
TEST_CASE_METHOD(router_report_fixture, "router, earlier word of an owner that refused, is ignored",
                 "[router]") {
  routes_.OnReport("otaru-0", Report("otaru", 4), now_);
  routes_.OnNotOwner("otaru-0", "otaru/0", now_ + seconds{1});
  routes_.OnReport("otaru-0", Report("otaru", 4), now_ + milliseconds{500});
  CHECK_FALSE(routes_.OwnerOf("otaru/0", now_ + seconds{1}));
  routes_.OnReport("otaru-1", Report("otaru", 5), now_ + milliseconds{600});
  CHECK(routes_.OwnerOf("otaru/0", now_ + seconds{1}) == "otaru-1");
  routes_.OnReport("otaru-0", Report("otaru", 4), now_ + seconds{2});
  CHECK(routes_.OwnerOf("otaru/0", now_ + seconds{2}) == "otaru-1");
}

// Other domains are heard of by turns. With one limit of age for all, their shards would be without
// an owner between two turns, and requests for them would wait.
TEST_CASE_METHOD(router_report_fixture, "router, word of another domain, counts for its own limit",
                 "[router]") {
  routes_.OnReport("otaru-0", Report("otaru", 4), now_);
  routes_.OnReport("asahikawa-0", Report("asahikawa", 4), now_);
  CHECK_FALSE(routes_.OwnerOf("otaru/0", now_ + seconds{10}));
  CHECK(routes_.OwnerOf("asahikawa/0", now_ + seconds{10}) == "asahikawa-0");
  CHECK_FALSE(routes_.OwnerOf("asahikawa/0", now_ + seconds{21}));
}

}  // namespace catkinford
