#include "bench/child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"

namespace catkinford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kWaitStep{5};
constexpr uint16_t kFirstPort = 20000;
constexpr uint16_t kLastPort = 32000;

int ExitCodeOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

[[noreturn]] void Become(const std::vector<std::string>& words, int log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (const std::string& word : words) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  execv(argv[0], argv.data());
  _exit(127);
}

bool CanListen(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return bound;
}

}  // namespace

child_process::~child_process() { Kill(); }

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), exit_code_(std::exchange(other.exit_code_, {})) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this == &other) return *this;
  Kill();
  pid_ = std::exchange(other.pid_, -1);
  exit_code_ = std::exchange(other.exit_code_, {});
  return *this;
}

bool child_process::Start(const std::vector<std::string>& words, const std::string& log_file) {
  const int log = open(log_file.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) return false;
  exit_code_.reset();
  pid_ = fork();
  if (pid_ == 0) Become(words, log);
  close(log);
  return pid_ > 0;
}

void child_process::Signal(int signal) const {
  if (pid_ > 0 && !exit_code_) kill(pid_, signal);
}

bool child_process::Alive() { return pid_ > 0 && !WaitFor(milliseconds{0}); }

std::optional<int> child_process::WaitFor(milliseconds limit) {
  const auto until = steady_clock::now() + limit;
  while (pid_ > 0 && !exit_code_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) exit_code_ = ExitCodeOf(status);
    if (exit_code_ || steady_clock::now() >= until) break;
    std::this_thread::sleep_for(kWaitStep);
  }
  return exit_code_;
}

void child_process::Kill() {
  if (pid_ <= 0 || exit_code_) return;
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  exit_code_ = ExitCodeOf(status);
}

process_usage child_process::Usage() const {
  process_usage usage;
  std::ifstream stat(absl::StrCat("/proc/", pid_, "/stat"));
  std::string text;
  std::getline(stat, text);
  // The program's name, in brackets, may hold blanks; user and system time are fields 14 and 15.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int field = 3; field < 14; ++field) fields >> skipped;
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  usage.cpu = milliseconds{(user + system) * 1000 / sysconf(_SC_CLK_TCK)};
  std::ifstream status(absl::StrCat("/proc/", pid_, "/status"));
  std::string name;
  while (status >> name) {
    if (name == "VmRSS:") status >> usage.resident_kb;
    if (name == "VmHWM:") status >> usage.peak_resident_kb;
  }
  return usage;
}

uint16_t FreePort() {
  static std::mt19937 random(static_cast<unsigned>(getpid()));
  static std::set<uint16_t> given;
  std::uniform_int_distribution<int> pick(kFirstPort, kLastPort);
  for (;;) {
    const auto port = static_cast<uint16_t>(pick(random));
    // Given once only: one that was given may not be listened on yet, and a second process that got
    // it would end with its port taken.
    if (CanListen(port) && given.insert(port).second) return port;
  }
}

}  // namespace catkinford
