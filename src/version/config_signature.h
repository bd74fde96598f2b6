// Who changed the configuration, when, by which write: a comment at the end of the
// document, so that every entry receives it with the version.
#ifndef CATKINFORD_VERSION_CONFIG_SIGNATURE_H_
#define CATKINFORD_VERSION_CONFIG_SIGNATURE_H_

#include <chrono>
#include <string>
#include <string_view>

namespace catkinford {

struct config_signature {
  std::string
      write_id;    // distinguishes a write whose reply was lost from another operator's equal text
  std::string by;  // name of the operator's key; never the key
  std::chrono::milliseconds changed_at{
      0};               // since 1970, clock of the entry that accepted the change
  std::string summary;  // short description of the change; one line
};

std::string SignConfiguration(std::string_view text, const config_signature& signature);
// All fields are empty if the document has no signature.
config_signature SignatureOf(std::string_view text);
// The document without its signature.
std::string_view WithoutSignature(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_VERSION_CONFIG_SIGNATURE_H_
