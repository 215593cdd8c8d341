// Checks of text that other processes wrote.
#pragma once

#include <cstddef>
#include <string_view>

namespace runshelf {

// Whether `text` is well-formed UTF-8 without control characters: it can be written into JSON, a
// header or a log line, and reads back as the same text.
bool IsPlainText(std::string_view text);

}  // namespace runshelf
