#include <cstdio>

int main() {
  std::puts("catkinford-bench: nothing to run yet");
  return 2;
}
