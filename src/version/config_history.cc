#include "version/config_history.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "connection/json_fields.h"
#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;

json ToJson(const std::vector<past_version>& list) {
  json array = json::array();
  for (const past_version& past : list) {
    array.push_back({{"version", past.version},
                     {"stored", past.text_revision},
                     {"bytes", past.bytes},
                     {"at_ms", past.changed_at.count()},
                     {"by", past.by},
                     {"what", past.summary}});
  }
  return array;
}

std::vector<past_version> ReadList(const json& from, const char* field) {
  std::vector<past_version> list;
  for (const json& item : ArrayAt(from, field)) {
    past_version past;
    past.version = NumberAt(item, "version");
    past.text_revision = NumberAt(item, "stored");
    past.bytes = NumberAt(item, "bytes");
    past.changed_at = std::chrono::milliseconds(static_cast<int64_t>(NumberAt(item, "at_ms")));
    past.by = TextAt(item, "by");
    past.summary = TextAt(item, "what");
    if (past.version != 0) list.push_back(std::move(past));
  }
  return list;
}

}  // namespace

bool config_history::Has(uint64_t version) const {
  return std::any_of(versions_.begin(), versions_.end(),
                     [version](const past_version& each) { return each.version == version; });
}

// A writer that was paused may resume with a version that was superseded and dropped long ago:
// listed again, it would come after later ones and its text would never be deleted.
bool config_history::IsSuperseded(uint64_t version) const {
  return !versions_.empty() && versions_.back().version > version;
}

void config_history::Add(past_version past, const history_limits& bounds) {
  versions_.push_back(std::move(past));
  uint64_t bytes =
      std::accumulate(versions_.begin(), versions_.end(), uint64_t{0},
                      [](uint64_t sum, const past_version& each) { return sum + each.bytes; });
  // The newest stays even when it alone is over the bound: it is needed to revert a bad change.
  while (versions_.size() > 1 && (versions_.size() > bounds.versions || bytes > bounds.bytes)) {
    bytes -= versions_.front().bytes;
    dropped_.push_back(std::move(versions_.front()));
    versions_.erase(versions_.begin());
  }
}

void config_history::RemoveDropped(uint64_t version) {
  std::erase_if(dropped_, [version](const past_version& each) { return each.version == version; });
}

std::optional<config_history> config_history::Parse(std::string_view text) {
  const json body = ParseJson(text);
  if (!body.is_object() || !body.contains("versions")) return std::nullopt;
  config_history history;
  history.versions_ = ReadList(body, "versions");
  history.dropped_ = ReadList(body, "dropped");
  const auto unsorted = std::adjacent_find(
      history.versions_.begin(), history.versions_.end(),
      [](const past_version& a, const past_version& b) { return a.version >= b.version; });
  if (unsorted != history.versions_.end()) return std::nullopt;
  return history;
}

std::string config_history::ToText() const {
  const json body = {{"versions", ToJson(versions_)}, {"dropped", ToJson(dropped_)}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace catkinford
