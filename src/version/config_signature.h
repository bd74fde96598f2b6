// Who changed the configuration, when, by which write: a comment behind the document, so that it
// travels with the version to every entry.
#ifndef CATKINFORD_VERSION_CONFIG_SIGNATURE_H_
#define CATKINFORD_VERSION_CONFIG_SIGNATURE_H_

#include <chrono>
#include <string>
#include <string_view>

namespace catkinford {

struct config_signature {
  std::string write_id;  // tells a lost reply's write from another operator's equal text
  std::string by;        // name of the operator's key; never the key
  std::chrono::milliseconds changed_at{
      0};               // since 1970, by the clock of the entry that took the change
  std::string summary;  // what it changed, in short; one line
};

std::string SignConfiguration(std::string_view text, const config_signature& signature);
// Empty fields where a document carries none.
config_signature SignatureOf(std::string_view text);
// The document without its signature.
std::string_view WithoutSignature(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_CONFIG_SIGNATURE_H_
