// The platform's store, as this project needs it: typed calls over the store's HTTP protocol
// (docs/PROTOCOL.md). All knowledge of that protocol is in this pair.
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
  using callback = std::function<void(store_reply)>;  // on the client's thread

  // `timeout`: of a lease's call; of other calls for the first byte of their answer and then
  // between two of its bytes, since a configuration may take a narrow link longer than that.
  store_adapter(http_client& http, std::string base_url, std::chrono::milliseconds timeout);

  void Get(const std::string& key, callback done);
  void Range(const std::string& prefix, callback done);
  // `value` absent: deletes. `lease` empty: the key stays.
  void CompareAndSwap(const std::string& key, uint64_t expect,
                      const std::optional<std::string>& value, const std::string& write_id,
                      const std::string& lease, callback done);
  void GrantLease(std::chrono::milliseconds ttl, callback done);
  void KeepLease(const std::string& lease, callback done);
  // Waits at the store up to `wait`; one call, however long.
  void Watch(const std::string& prefix, uint64_t after, std::chrono::milliseconds wait,
             callback done);

 private:
  http_client& http_;
  std::string base_url_;
  std::chrono::milliseconds timeout_;
};

}  // namespace catkinford

#endif  // CATKINFORD_CONNECTION_STORE_ADAPTER_H_
