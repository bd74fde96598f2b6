// The entry daemon of a site on the users' platform: reads its settings and runs one node until it
// is stopped by a signal.
#include <curl/curl.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <utility>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "platform/adapter.h"
#include "process/site/site_node.h"
#include "process/site/site_settings.h"

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "only check the settings; exits with 0 if they are valid");

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitAddressUnavailable = 3;

// Connections to one address: the store has three watches open besides its other calls; an instance
// has a waiting listing and commands.
constexpr size_t kStoreConnections = 16;
constexpr size_t kInstanceConnections = 3;
// For stops, while many runs of one instance have to be stopped. An instance serves 64 connections.
constexpr size_t kExtraInstanceConnections = 14;
constexpr size_t kPeerConnections = 8;
// To an entry that forwards starts: a connection is busy for as long as the slowest instance takes.
constexpr size_t kStartConnections = 8;

const char* FaultMessage(catkinford::site_start_fault fault) {
  switch (fault) {
    case catkinford::site_start_fault::kCallerAddress:
      return "catkinford-site: cannot listen on listen.callers\n";
    case catkinford::site_start_fault::kReadyAddress:
      return "catkinford-site: cannot listen on listen.ready\n";
    case catkinford::site_start_fault::kPeerAddress:
      return "catkinford-site: cannot listen on the address for other entries\n";
    case catkinford::site_start_fault::kNone:
      break;
  }
  return "";
}

int Run(catkinford::site_settings settings) {
  // Blocked before any thread starts, so that only sigwait() below receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);

  catkinford::traffic_counter traffic;
  catkinford::http_client store_http(kStoreConnections, {}, &traffic);
  catkinford::http_client command_http(kInstanceConnections, {}, &traffic,
                                       kExtraInstanceConnections);
  catkinford::http_client peer_http(kPeerConnections, {}, &traffic);
  catkinford::http_client start_http(kStartConnections, {}, &traffic);
  store_http.Start();
  command_http.Start();
  peer_http.Start();
  start_http.Start();
  catkinford::platform::adapter platform(store_http, command_http, settings);
  catkinford::site_node<catkinford::platform::adapter> node(
      std::move(settings), platform, peer_http, start_http, command_http, traffic);
  const catkinford::site_start_fault fault = node.Start();
  if (fault != catkinford::site_start_fault::kNone) {
    std::fputs(FaultMessage(fault), stderr);
    return kExitAddressUnavailable;
  }
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&signals, &signal);
    if (signal == SIGHUP) node.Reload();
  }
  node.Shutdown();
  // Stops the clients before the node is destroyed: answers to calls in flight would use it.
  start_http.Stop();
  peer_http.Stop();
  command_http.Stop();
  store_http.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("catkinford-site --settings FILE [--check]");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_settings).empty()) {
    std::fputs("catkinford-site: --settings FILE is required\n", stderr);
    return kExitBadSettings;
  }
  return catkinford::leaf::try_handle_all(
      []() -> catkinford::leaf::result<int> {
        BOOST_LEAF_AUTO(settings, catkinford::LoadSiteSettings(absl::GetFlag(FLAGS_settings)));
        return absl::GetFlag(FLAGS_check) ? 0 : Run(std::move(settings));
      },
      [](const catkinford::settings_error& error) {
        std::fprintf(stderr, "catkinford-site: %s\n", catkinford::ToText(error).c_str());
        return catkinford::ExitCode(error.fault);
      },
      [] { return kExitBadSettings; });
}
