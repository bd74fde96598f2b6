// The entry daemon: reads its settings and runs one node until it is stopped by a signal.
#include <curl/curl.h>
#include <gnutls/gnutls.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <utility>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "process/node.h"
#include "process/settings.h"
#include "process/settings_table.h"

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "only check the settings; exit code 0 if they are valid");
ABSL_FLAG(bool, settings_table, false, "print the table of settings and exit");

namespace {

constexpr int kSettingsMissing = 2;
constexpr int kPortTaken = 3;

constexpr int kNoCertificate = 4;
constexpr int kNoPeerSecrets = 5;

// Waits for SIGTERM or SIGINT, which all threads block. SIGHUP reloads the certificate files and
// the peer secrets.
void WaitForSignal(const sigset_t& signals, catkinford::node& entry) {
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&signals, &signal);
    if (signal != SIGHUP) continue;
    entry.ReloadCertificate();
    entry.ReloadPeerSecrets();
  }
}

int PrintStartFault(catkinford::start_fault fault) {
  switch (fault) {
    case catkinford::start_fault::kNone:
      return 0;
    case catkinford::start_fault::kCertificate:
      std::fputs("catkinfordd: the certificate or its key cannot be used; see the log\n", stderr);
      return kNoCertificate;
    case catkinford::start_fault::kPeerSecrets:
      std::fputs("catkinfordd: the peer secret file cannot be used; see the log\n", stderr);
      return kNoPeerSecrets;
    case catkinford::start_fault::kPeerPort:
      std::fputs("catkinfordd: cannot listen on the peer port\n", stderr);
      return kPortTaken;
    case catkinford::start_fault::kCallerPort:
      std::fputs("catkinfordd: cannot listen on the caller port\n", stderr);
      return kPortTaken;
  }
  return kPortTaken;
}

// Runs the node until a signal stops it; returns the exit code.
int Run(catkinford::settings config) {
  // Blocked before any thread starts, so that only WaitForSignal receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);

  catkinford::node entry(std::move(config));
  const catkinford::start_fault fault = entry.Start();
  if (fault != catkinford::start_fault::kNone) return PrintStartFault(fault);
  WaitForSignal(signals, entry);
  entry.BeginShutdown();
  entry.Wait();
  return 0;
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
    std::fputs("catkinfordd: --settings FILE is required\n", stderr);
    return kSettingsMissing;
  }
  return catkinford::leaf::try_handle_all(
      []() -> catkinford::leaf::result<int> {
        BOOST_LEAF_AUTO(config, catkinford::LoadSettings(absl::GetFlag(FLAGS_settings)));
        return absl::GetFlag(FLAGS_check) ? 0 : Run(std::move(config));
      },
      [](const catkinford::settings_error& error) {
        std::fprintf(stderr, "catkinfordd: %s\n", catkinford::ToText(error).c_str());
        return catkinford::ExitCode(error.fault);
      },
      [] { return kSettingsMissing; });
}
