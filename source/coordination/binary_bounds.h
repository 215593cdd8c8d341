// Bounds on the binary encodings of JSON, checked before a message is built from them.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace runshelf::coordination {

// Whether `bytes` are well-formed, nest arrays and objects at most kMaxJsonDepth deep, and announce
// no array or object larger than they can hold. nlohmann/json itself recurses without a bound, and
// throws at an announced size beyond the address space although told not to throw.
bool IsBoundedBinary(const std::string& bytes, nlohmann::json::input_format_t format);

}  // namespace runshelf::coordination
