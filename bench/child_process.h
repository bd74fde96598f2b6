// A real process of ours, started by a bench or a scenario: signals, its end, its use of the
// machine.
#ifndef CATKINFORD_BENCH_CHILD_PROCESS_H_
#define CATKINFORD_BENCH_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinford {

struct process_usage {
  std::chrono::milliseconds cpu{0};  // user and system, since its start
  uint64_t resident_kb = 0;
  uint64_t peak_resident_kb = 0;
};

class child_process {
 public:
  child_process() = default;
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  // Runs `words` with its output in `log_file`. The kernel kills it when the thread that started it
  // dies, so that a bench that is itself killed leaves nothing behind: start from a thread that
  // lives as long as the bench.
  bool Start(const std::vector<std::string>& words, const std::string& log_file);
  void Signal(int signal) const;
  // The exit code once it ended; 128 and the signal's number when a signal ended it.
  std::optional<int> WaitFor(std::chrono::milliseconds limit);
  bool Alive();
  // Kills it and waits.
  void Kill();
  process_usage Usage() const;
  pid_t Pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

// A port on the loopback address that nobody listens on, outside the range from which the system
// takes the ports of outgoing connections. Each port is given once. For one thread.
uint16_t FreePort();

}  // namespace catkinford

#endif  // CATKINFORD_BENCH_CHILD_PROCESS_H_
