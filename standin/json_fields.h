// Reads JSON fields without exceptions: a missing field or one of another type gives the fallback.
#ifndef CATKINFORD_STANDIN_JSON_FIELDS_H_
#define CATKINFORD_STANDIN_JSON_FIELDS_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "connection/http_server.h"
#include "request/job_request.h"

namespace catkinford {

int64_t IntOf(const nlohmann::json& object, const char* name, int64_t fallback);
double NumberOf(const nlohmann::json& object, const char* name, double fallback);
std::string TextOf(const nlohmann::json& object, const char* name, const std::string& fallback);
bool BoolOf(const nlohmann::json& object, const char* name, bool fallback);
std::chrono::milliseconds MillisecondsOf(const nlohmann::json& object, const char* name,
                                         std::chrono::milliseconds fallback);
// The member `name` of `object`, or null.
const nlohmann::json& ChildOf(const nlohmann::json& object, const char* name);

resources ResourcesOf(const nlohmann::json& object);
nlohmann::json ToJson(const resources& amount);

http_response JsonReply(int status, const nlohmann::json& body);
http_response ErrorReply(int status, const char* error);

}  // namespace catkinford

#endif  // CATKINFORD_STANDIN_JSON_FIELDS_H_
