// Text as JSON strings, for messages that are written without a JSON tree.
#ifndef CATKINFORD_REQUEST_JSON_TEXT_H_
#define CATKINFORD_REQUEST_JSON_TEXT_H_

#include <string>
#include <string_view>

namespace catkinford {

// Appends `text` quoted and escaped; invalid UTF-8 is replaced. Plain ASCII is copied.
void AppendJsonText(std::string_view text, std::string& out);
std::string JsonText(std::string_view text);

}  // namespace catkinford

#endif  // CATKINFORD_REQUEST_JSON_TEXT_H_
