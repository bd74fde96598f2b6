// Calls of the command line to the entries: any entry accepts any call, and one that does not
// answer is skipped.
#ifndef CATKINFORD_PROCESS_ENTRY_CLIENT_H_
#define CATKINFORD_PROCESS_ENTRY_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "connection/http_client.h"

namespace catkinford {

struct entry_client_options {
  std::vector<std::string> entries;  // "http://10.0.0.1:8080", in the order to try
  std::string key;
  std::chrono::milliseconds timeout{30000};
};

// The base URL of an entry; absent if it is not valid. Trailing slashes are removed: with them
// every path would start with two slashes and be unknown.
std::optional<std::string> BaseUrl(const std::string& entry);

class entry_client {
 public:
  entry_client(http_client& http, entry_client_options options);

  // Returns the first answer of any entry. Calls have to be repeatable: reads, changes with an
  // expected version, submissions with an idempotency key. An entry that is shutting down or does
  // not answer is skipped. Without any answer: kMaybeSent if one of them may have received the
  // call.
  http_result Call(const std::string& method, const std::string& path, const std::string& body);
  // Calls the entry at this index of Entries().
  http_result CallAt(size_t entry, const std::string& method, const std::string& path,
                     const std::string& body);

  const std::vector<std::string>& Entries() const { return options_.entries; }

 private:
  http_call CallTo(const std::string& entry, const std::string& method, const std::string& path,
                   const std::string& body) const;

  http_client& http_;
  entry_client_options options_;
};

}  // namespace catkinford

#endif  // CATKINFORD_PROCESS_ENTRY_CLIENT_H_
