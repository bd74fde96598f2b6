#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>

// Property tests draw the same cases on every run, so that CI's verdict never changes by itself.
// RC_PARAMS in the environment goes first, to search further by hand.
int main(int argc, char** argv) {
  setenv("RC_PARAMS", "seed=20261202", 0);
  return Catch::Session().run(argc, argv);
}
