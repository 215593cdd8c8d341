// Detects the status line of an HTTP/1 response within other text.
#pragma once

#include <string_view>

namespace runshelf {

// Whether `text` contains the beginning of a status line up to the status code, such as
// "HTTP/1.1 200". A response head that contains one after its own status line was truncated and
// continues with another response.
bool ContainsStatusLine(std::string_view text);

}  // namespace runshelf
