// The entry daemon: reads its settings, runs one node until it is told to stop.
#include <curl/curl.h>
#include <gnutls/gnutls.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <variant>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "process/node.h"
#include "process/settings.h"
#include "process/settings_table.h"

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "only check the settings: 0 when they are good");
ABSL_FLAG(bool, settings_table, false, "print the table of settings and end");

namespace {

constexpr int kNoSettings = 2;
constexpr int kPortTaken = 3;

// Waits for SIGTERM or SIGINT, which all threads have blocked.
void WaitForSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("catkinfordd --settings FILE [--check]");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_settings_table)) {
    std::fputs(catkinford::SettingsTableText().c_str(), stdout);
    return 0;
  }
  if (absl::GetFlag(FLAGS_settings).empty()) {
    std::fputs("catkinfordd: --settings FILE is needed\n", stderr);
    return kNoSettings;
  }
  auto loaded = catkinford::LoadSettings(absl::GetFlag(FLAGS_settings));
  if (const auto* error = std::get_if<catkinford::settings_error>(&loaded)) {
    std::fprintf(stderr, "catkinfordd: %s\n", catkinford::ToText(*error).c_str());
    return catkinford::ExitCode(error->fault);
  }
  if (absl::GetFlag(FLAGS_check)) return 0;

  // Blocked before any thread starts, so that only the wait below gets them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);

  catkinford::node entry(std::get<catkinford::settings>(std::move(loaded)));
  const catkinford::start_fault fault = entry.Start();
  if (fault != catkinford::start_fault::kNone) {
    std::fprintf(stderr, "catkinfordd: the %s port cannot be had\n",
                 fault == catkinford::start_fault::kPeerPort ? "peer" : "caller");
    return kPortTaken;
  }
  WaitForSignal(signals);
  entry.BeginShutdown();
  entry.Wait();
  return 0;
}
