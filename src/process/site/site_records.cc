#include "process/site/site_records.h"

#include <nlohmann/json.hpp>

#include "request/bounded_json.h"

namespace catkinford {
namespace {

using nlohmann::json;

// Of a machine's processors: no machine has as many.
constexpr double kMaxStrength = 1e5;

json EntryToJson(const site_entry& entry) {
  return {{"name", entry.name},
          {"address", entry.address},
          {"domain", entry.failure_domain},
          {"nonce", entry.nonce},
          {"strength", entry.strength}};
}

double StrengthFrom(const json& in) {
  const double strength = in.value("strength", 1.0);
  if (!(strength >= 0 && strength <= kMaxStrength)) ThrowOutOfRange(in);
  return strength;
}

site_entry EntryFromJson(const json& in) {
  return {in.at("name").get<std::string>(), in.at("address").get<std::string>(),
          in.at("domain").get<std::string>(), WholeFrom<uint64_t>(in.at("nonce")),
          StrengthFrom(in)};
}

}  // namespace

std::string EntryToText(const site_entry& entry) { return EntryToJson(entry).dump(); }

std::optional<site_entry> EntryFromText(std::string_view text) {
  const json in = ParseJson(text);
  if (!in.is_object()) return std::nullopt;
  try {
    return EntryFromJson(in);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string OwnerToText(const owner_record& owner) {
  return json{{"entry", EntryToJson(owner.entry)}, {"epoch", owner.epoch}, {"early", owner.early}}
      .dump();
}

std::optional<owner_record> OwnerFromText(std::string_view text) {
  const json in = ParseJson(text);
  if (!in.is_object()) return std::nullopt;
  try {
    return owner_record{EntryFromJson(in.at("entry")), WholeFrom<uint64_t>(in.at("epoch")),
                        in.value("early", false)};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string FleetToText(const std::vector<instance_report>& instances) {
  json out = json::array();
  for (const instance_report& each : instances) {
    out.push_back({{"id", each.id},
                   {"service", each.service},
                   {"address", each.address},
                   {"domain", each.failure_domain},
                   {"rack", each.rack},
                   {"cpu", each.capacity.cpu_milli},
                   {"mem", each.capacity.memory_mb},
                   {"acc", each.capacity.accelerators},
                   {"born", each.incarnation}});
    if (each.restarted) out.back()["restarted"] = true;
  }
  return out.dump();
}

std::vector<instance_report> FleetFromText(std::string_view text) {
  std::vector<instance_report> out;
  const json in = ParseJson(text);
  if (!in.is_array()) return out;
  for (const json& row : in) {
    try {
      instance_report each;
      each.id = row.at("id").get<std::string>();
      each.service = row.at("service").get<std::string>();
      each.address = row.at("address").get<std::string>();
      each.failure_domain = row.at("domain").get<std::string>();
      each.rack = row.at("rack").get<std::string>();
      each.capacity.cpu_milli = WholeFrom<uint32_t>(row.at("cpu"));
      each.capacity.memory_mb = WholeFrom<uint32_t>(row.at("mem"));
      each.capacity.accelerators = WholeFrom<uint32_t>(row.at("acc"));
      each.incarnation = WholeFrom<int64_t>(row.at("born"));
      each.restarted = row.value("restarted", false);
      out.push_back(std::move(each));
    } catch (const json::exception&) {
      continue;  // a malformed row names no instance; the other rows stay valid
    }
  }
  return out;
}

}  // namespace catkinford
