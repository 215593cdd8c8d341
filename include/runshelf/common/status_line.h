// Recognizes the first line of an HTTP/1 answer in other text.
#pragma once

#include <string_view>

namespace runshelf {

// Whether `text` contains the beginning of a status line up to the status, as "HTTP/1.1 200". The
// head of an answer that does, past its own, broke off and goes on as another answer.
bool ContainsStatusLine(std::string_view text);

}  // namespace runshelf
