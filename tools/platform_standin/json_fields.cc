#include "tools/platform_standin/json_fields.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <limits>

namespace runshelf::platform_standin {
namespace {

using nlohmann::json;

absl::Status WrongType(const char* name, const char* expected) {
  return absl::InvalidArgumentError(absl::StrCat("field ", name, " must be ", expected));
}

}  // namespace

absl::StatusOr<json> ParseObject(const std::string& text) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, json::parse_event_t, json&) {
    if (depth > kMaxJsonDepth) too_deep = true;
    return !too_deep;
  };
  json parsed = json::parse(text, limit_depth, false);
  if (too_deep) return absl::InvalidArgumentError("the JSON is nested too deeply");
  if (!parsed.is_object()) return absl::InvalidArgumentError("the body is not a JSON object");
  return parsed;
}

absl::StatusOr<std::string> StringField(const json& object, const char* name) {
  const auto field = object.find(name);
  if (field == object.end()) return std::string();
  if (!field->is_string()) return WrongType(name, "a string");
  return field->get<std::string>();
}

absl::StatusOr<bool> BoolField(const json& object, const char* name, bool absent) {
  const auto field = object.find(name);
  if (field == object.end()) return absent;
  if (!field->is_boolean()) return WrongType(name, "a boolean");
  return field->get<bool>();
}

absl::StatusOr<int64_t> IntegerField(const json& object, const char* name) {
  const auto field = object.find(name);
  if (field == object.end()) return 0;
  if (field->is_number_unsigned()) {
    const auto number = field->get<uint64_t>();
    if (number <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max())) {
      return static_cast<int64_t>(number);
    }
  } else if (field->is_number_integer()) {
    return field->get<int64_t>();
  } else if (field->is_string()) {
    int64_t number = 0;
    if (absl::SimpleAtoi(field->get_ref<const std::string&>(), &number)) return number;
  }
  return WrongType(name, "a 64-bit integer");
}

absl::StatusOr<std::string> BytesField(const json& object, const char* name) {
  absl::StatusOr<std::string> text = StringField(object, name);
  if (!text.ok()) return text;
  std::string bytes;
  if (!absl::Base64Unescape(*text, &bytes)) return WrongType(name, "base64");
  return bytes;
}

absl::StatusOr<json> ArrayField(const json& object, const char* name) {
  const auto field = object.find(name);
  if (field == object.end()) return json::array();
  if (!field->is_array()) return WrongType(name, "an array");
  return *field;
}

}  // namespace runshelf::platform_standin
