#include "request/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace catkinford {
namespace {

bool IsPlain(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char each) {
    return each >= ' ' && each <= '~' && each != '"' && each != '\\';
  });
}

}  // namespace

void AppendJsonText(std::string_view text, std::string& out) {
  if (!IsPlain(text)) {
    using nlohmann::json;
    out += json(text).dump(-1, ' ', false, json::error_handler_t::replace);
    return;
  }
  out += '"';
  out += text;
  out += '"';
}

std::string JsonText(std::string_view text) {
  std::string out;
  out.reserve(text.size() + 2);
  AppendJsonText(text, out);
  return out;
}

}  // namespace catkinford
