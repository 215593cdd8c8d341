// Checked access to the fields of JSON messages that come from outside.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace runshelf::platform_standin {

// Deepest nesting of arrays and objects that is accepted.
inline constexpr int kMaxJsonDepth = 32;

// Parses an object. kInvalidArgument: not JSON, not an object, or nested too deeply.
absl::StatusOr<nlohmann::json> ParseObject(const std::string& text);

// Each returns the default when the field is absent, and kInvalidArgument when it has another type.
absl::StatusOr<std::string> StringField(const nlohmann::json& object, const char* name);
absl::StatusOr<bool> BoolField(const nlohmann::json& object, const char* name, bool absent);

// A number, or a string that holds one, as the JSON mapping of protocol buffers allows.
absl::StatusOr<int64_t> IntegerField(const nlohmann::json& object, const char* name);

// A string in base64, decoded.
absl::StatusOr<std::string> BytesField(const nlohmann::json& object, const char* name);

// An array, empty when absent.
absl::StatusOr<nlohmann::json> ArrayField(const nlohmann::json& object, const char* name);

}  // namespace runshelf::platform_standin
