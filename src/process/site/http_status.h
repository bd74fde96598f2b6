// HTTP status codes of answers to callers and between entries.
#ifndef CATKINFORD_PROCESS_SITE_HTTP_STATUS_H_
#define CATKINFORD_PROCESS_SITE_HTTP_STATUS_H_

namespace catkinford::http_status {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kTooLarge = 413;
inline constexpr int kUnavailable = 503;
inline constexpr int kUnsettled = 504;

}  // namespace catkinford::http_status

#endif  // CATKINFORD_PROCESS_SITE_HTTP_STATUS_H_
