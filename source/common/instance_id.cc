#include "runshelf/common/instance_id.h"

#include <fmt/format.h>

#include <charconv>

namespace runshelf {

std::string InstanceId::ToString() const { return fmt::format("{}/{:x}", node, incarnation); }

InstanceId InstanceId::Parse(const std::string& text) {
  const size_t separator = text.rfind('/');
  if (separator == std::string::npos || separator == 0) return {};
  const char* begin = text.data() + separator + 1;
  const char* end = text.data() + text.size();
  uint64_t incarnation = 0;
  const auto [last, error] = std::from_chars(begin, end, incarnation, 16);
  if (error != std::errc() || last != end || begin == end) return {};
  return {text.substr(0, separator), incarnation};
}

InstanceId NewInstanceId(const std::string& node, Random& random) {
  // Zero is reserved for "no instance".
  return {node, (random.Next() >> 1U) + 1};
}

}  // namespace runshelf
