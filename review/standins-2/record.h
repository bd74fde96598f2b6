// What a script writes to record.txt: one line for each thing sent, answered or run, with the
// milliseconds since the script's start.
#ifndef CATKINFORD_REVIEW_STANDINS_2_RECORD_H_
#define CATKINFORD_REVIEW_STANDINS_2_RECORD_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

class record {
 public:
  explicit record(const std::string& file) : out_(file), begun_(std::chrono::steady_clock::now()) {}

  int64_t Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 begun_)
        .count();
  }
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    out_ << Now() << " " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  std::chrono::steady_clock::time_point begun_;
};

}  // namespace review

#endif  // CATKINFORD_REVIEW_STANDINS_2_RECORD_H_
