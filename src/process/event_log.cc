#include "process/event_log.h"

#include <absl/strings/str_cat.h>
#include <easylogging++.h>

#include <chrono>
#include <utility>

namespace catkinford {
namespace {

constexpr std::chrono::milliseconds kWriterPollInterval{200};
constexpr unsigned char kFirstPrintable = 0x20;

// Subjects and details may contain text of callers. A line break would let a caller forge log
// lines; control characters are replaced by a question mark.
std::string ReplaceControlCharacters(const std::string& text) {
  std::string out = text;
  for (char& c : out) {
    if (static_cast<unsigned char>(c) < kFirstPrintable) c = '?';
  }
  return out;
}

void Configure(const event_log_options& options) {
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  config.setGlobally(el::ConfigurationType::ToFile, options.file.empty() ? "false" : "true");
  config.setGlobally(el::ConfigurationType::ToStandardOutput,
                     options.file.empty() ? "true" : "false");
  if (!options.file.empty()) {
    config.setGlobally(el::ConfigurationType::Filename, options.file);
  }
  el::Loggers::reconfigureLogger("default", config);
}

}  // namespace

std::string EventText(event_code code, const request_id& id, uint64_t epoch,
                      const std::string& subject, const std::string& detail) {
  std::string out = std::to_string(static_cast<int>(code));
  out += ' ';
  out += InfoOf(code).name;
  if (id != request_id{}) absl::StrAppend(&out, " id=", ToHex(id));
  if (epoch != 0) absl::StrAppend(&out, " epoch=", epoch);
  if (!subject.empty()) absl::StrAppend(&out, " subject=", ReplaceControlCharacters(subject));
  if (!detail.empty()) absl::StrAppend(&out, " ", ReplaceControlCharacters(detail));
  return out;
}

event_log::event_log(const event_log_options& options, timeline& events)
    : level_(options.level), timeline_(events), ring_(options.queue_capacity) {
  Configure(options);
  writer_ = std::thread([this] { Run(); });
}

event_log::~event_log() {
  ring_.Close();
  writer_.join();
}

void event_log::Emit(event_code code, monotonic_time now, const request_id& id, uint64_t epoch,
                     std::string subject, std::string detail) {
  if (InfoOf(code).level >= level_ && !ring_.TryPush(line{code, id, epoch, subject, detail})) {
    dropped_.fetch_add(1, std::memory_order_relaxed);
  }
  timeline_.Record(code, now, id, epoch, std::move(subject), std::move(detail));
}

void event_log::Run() {
  std::vector<line> lines;
  while (ring_.PopAll(lines, kWriterPollInterval)) {
    for (const line& entry : lines) Write(entry);
    lines.clear();
  }
}

void event_log::Write(const line& entry) {
  const std::string text =
      EventText(entry.code, entry.id, entry.epoch, entry.subject, entry.detail);
  switch (InfoOf(entry.code).level) {
    case event_level::kDebug:
      LOG(DEBUG) << text;
      return;
    case event_level::kInfo:
      LOG(INFO) << text;
      return;
    case event_level::kWarning:
      LOG(WARNING) << text;
      return;
    case event_level::kError:
      LOG(ERROR) << text;
      return;
  }
}

}  // namespace catkinford
