// Load: jobs beyond their workspaces' shares; see admission_figures.h.
#include "process/admission/admission_figures.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;

constexpr size_t kFields = 7;

}  // namespace

std::string AdmissionFiguresToText(const admission_figures& figures) {
  json rows = json::array();
  for (const admission_row& row : figures.rows) {
    rows.push_back(
        json::array({row.queue, row.workspace, row.wait.count(), row.rate, row.largest.cpu_milli,
                     row.largest.memory_mb, row.largest.accelerators}));
  }
  return json{{"epoch", figures.epoch}, {"number", figures.number}, {"rows", std::move(rows)}}
      .dump();
}

std::optional<admission_figures> AdmissionFiguresFromText(std::string_view text) {
  const json in = ParseJson(text);
  if (!in.is_object()) return std::nullopt;
  admission_figures out;
  try {
    out.epoch = WholeFrom<uint64_t>(in.at("epoch"));
    out.number = WholeFrom<uint64_t>(in.at("number"));
    for (const json& row : in.at("rows")) {
      if (!row.is_array() || row.size() != kFields) return std::nullopt;
      admission_row read;
      read.queue = row.at(0).get<std::string>();
      read.workspace = row.at(1).get<std::string>();
      read.wait = DurationFrom(row.at(2));
      read.rate = row.at(3).get<double>();
      read.largest.cpu_milli = WholeFrom<uint32_t>(row.at(4));
      read.largest.memory_mb = WholeFrom<uint32_t>(row.at(5));
      read.largest.accelerators = WholeFrom<uint32_t>(row.at(6));
      if (read.wait.count() < 0 || !std::isfinite(read.rate) || read.rate < 0) return std::nullopt;
      out.rows.push_back(std::move(read));
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return out;
}

}  // namespace catkinford
