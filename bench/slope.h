// How a cost grows with a size: points that were run, a fitted line and its spread. The figures of
// docs/CAPACITY.md are worked out from these and from nothing else.
#ifndef CATKINFORD_BENCH_SLOPE_H_
#define CATKINFORD_BENCH_SLOPE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinford {

// What to run: `measure` gives the whole cost at one size.
struct slope_question {
  std::string name;  // "key_ring.memory"
  std::string unit;  // of the cost: "bytes", "us"
  std::string per;   // of the size: "key", "call"
  std::vector<double> sizes;
  double (*measure)(double size);
  std::string what;         // for people: module and method
  int most_repeats = 1000;  // fewer for what takes long
};

struct slope_point {
  double size = 0;
  double cost = 0;
};

struct slope {
  std::string name;
  std::string unit;
  std::string per;
  std::string what;
  std::vector<slope_point> points;
  double each = 0;       // cost for one more
  double spread = 0;     // standard error of `each`
  double fixed = 0;      // cost at size zero
  double r_squared = 0;  // 1: the points are on the line
  double Largest() const;
};

struct slope_report {
  std::string commit;
  std::vector<slope> slopes;
  // Null where there is none of that name.
  const slope* Find(std::string_view name) const;
};

// Runs each size `repeats` times and fits a line through all points.
slope Measure(const slope_question& question, int repeats);
// Least squares; at least two different sizes.
void Fit(slope& line);

std::string ToJson(const slope_report& report);
std::optional<slope_report> ParseSlopes(std::string_view text);

// Processor time of the calling thread, in microseconds.
double ThreadCpuMicroseconds();
// Bytes that are allocated in this process now.
double HeapBytes();

// The bytes that what `make` returns holds while it lives.
template <typename Make>
double HeapOf(Make make) {
  const double before = HeapBytes();
  const auto kept = make();
  return HeapBytes() - before;
}

// The processor time of `work`, in microseconds.
template <typename Work>
double CpuOf(Work work) {
  const double before = ThreadCpuMicroseconds();
  work();
  return ThreadCpuMicroseconds() - before;
}

// The questions, by the part of the code that they ask about.
std::vector<slope_question> VersionSlopes();
std::vector<slope_question> ProcessSlopes();
std::vector<slope_question> CoreSlopes();
std::vector<slope_question> PeerSlopes();
std::vector<slope_question> EndpointSlopes();
std::vector<slope_question> StoreSlopes();
std::vector<slope_question> MessageSlopes();
std::vector<slope_question> FleetSlopes();
std::vector<slope_question> InstanceSlopes();

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_SLOPE_H_
