// Serialization of JSON that cannot fail.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace runshelf {

// Serializes `value` without white space. Bytes in strings that are not UTF-8, at which dump()
// throws, are replaced by U+FFFD. Names that must stay distinct are checked where they are read.
std::string SerializeJson(const nlohmann::json& value);

}  // namespace runshelf
