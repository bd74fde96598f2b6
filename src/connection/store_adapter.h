// Client for the platform's store: typed calls over the store's HTTP protocol (docs/PROTOCOL.md),
// which is implemented only here and in store_adapter.cc.
#ifndef CATKINFORD_CONNECTION_STORE_ADAPTER_H_
#define CATKINFORD_CONNECTION_STORE_ADAPTER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "connection/http_client.h"
#include "connection/store_types.h"

namespace catkinford {

class store_adapter {
 public:
  using callback = std::function<void(store_reply)>;  // runs on the HTTP client's thread

  // `timeout` limits an entire lease call. For other calls it limits the wait for the first byte of
  // the response and the time between two bytes, since a configuration may take longer than that
  // on a slow link.
  store_adapter(http_client& http, std::string base_url, std::chrono::milliseconds timeout);

  void Get(const std::string& key, callback done);
  void Range(const std::string& prefix, callback done);
  // `value` absent: deletes the key. `lease` empty: the key does not expire.
  void CompareAndSwap(const std::string& key, uint64_t expect,
                      const std::optional<std::string>& value, const std::string& write_id,
                      const std::string& lease, callback done);
  void GrantLease(std::chrono::milliseconds ttl, callback done);
  void KeepLease(const std::string& lease, callback done);
  // Long poll: a single call that the store may delay by up to `wait`.
  void Watch(const std::string& prefix, uint64_t after, std::chrono::milliseconds wait,
             callback done);

 private:
  http_client& http_;
  std::string base_url_;
  std::chrono::milliseconds timeout_;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_STORE_ADAPTER_H_
