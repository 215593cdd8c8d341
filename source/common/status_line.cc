#include "runshelf/common/status_line.h"

#include <algorithm>
#include <cstddef>

namespace runshelf {
namespace {

constexpr std::string_view kProtocol = "HTTP/1.";
// Pattern for the text after kProtocol; a digit in it matches any digit.
constexpr std::string_view kMinorVersionAndStatus = "0 000";

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

bool BeginsWithMinorVersionAndStatus(std::string_view text) {
  if (text.size() < kMinorVersionAndStatus.size()) return false;
  return std::equal(kMinorVersionAndStatus.begin(), kMinorVersionAndStatus.end(), text.begin(),
                    [](char pattern, char character) {
                      return IsDigit(pattern) ? IsDigit(character) : character == pattern;
                    });
}

}  // namespace

bool ContainsStatusLine(std::string_view text) {
  size_t start = text.find(kProtocol);
  while (start != std::string_view::npos) {
    text.remove_prefix(start + kProtocol.size());
    if (BeginsWithMinorVersionAndStatus(text)) return true;
    start = text.find(kProtocol);
  }
  return false;
}

}  // namespace runshelf
