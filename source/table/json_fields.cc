#include "source/table/json_fields.h"

#include <fmt/format.h>

#include <limits>
#include <nlohmann/json.hpp>

namespace runshelf::table {
namespace {

absl::Status WrongField(const char* name, const char* expected) {
  return absl::InvalidArgumentError(fmt::format("member {} must be {}", name, expected));
}

const nlohmann::json* Find(const nlohmann::json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

}  // namespace

absl::StatusOr<nlohmann::json> ParseObject(std::string_view text, size_t max_size) {
  if (text.size() > max_size) {
    return absl::InvalidArgumentError(fmt::format("message of more than {} bytes", max_size));
  }
  nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
  if (object.is_discarded()) return absl::InvalidArgumentError("not JSON");
  if (!object.is_object()) return absl::InvalidArgumentError("not a JSON object");
  return object;
}

absl::StatusOr<int64_t> IntegerField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* field = Find(object, name);
  if (field == nullptr || !field->is_number_integer()) return WrongField(name, "an integer");
  if (field->is_number_unsigned() &&
      field->get<uint64_t>() > uint64_t{std::numeric_limits<int64_t>::max()}) {
    return WrongField(name, "a signed 64-bit integer");
  }
  return field->get<int64_t>();
}

absl::StatusOr<std::string> StringField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* field = Find(object, name);
  if (field == nullptr || !field->is_string()) return WrongField(name, "a string");
  return field->get<std::string>();
}

absl::StatusOr<bool> BooleanField(const nlohmann::json& object, const char* name) {
  const nlohmann::json* field = Find(object, name);
  if (field == nullptr) return false;
  if (!field->is_boolean()) return WrongField(name, "true or false");
  return field->get<bool>();
}

absl::StatusOr<CellKey> CellKeyFields(const nlohmann::json& object) {
  absl::StatusOr<std::string> service = StringField(object, "service");
  if (!service.ok()) return service.status();
  absl::StatusOr<std::string> caller_class = StringField(object, "class");
  if (!caller_class.ok()) return caller_class.status();
  CellKey key{*std::move(service), *std::move(caller_class)};
  const absl::Status status = Validate(key);
  if (!status.ok()) return status;
  return key;
}

void SetCellKeyFields(const CellKey& key, nlohmann::json& object) {
  object["service"] = key.service;
  object["class"] = key.caller_class;
}

absl::StatusOr<CellValue> CellValueFields(const nlohmann::json& object) {
  CellValue value;
  const absl::StatusOr<int64_t> weight = IntegerField(object, "weight");
  if (!weight.ok()) return weight.status();
  value.weight = *weight;
  const nlohmann::json* limit_field = Find(object, "limit");
  if (limit_field == nullptr) return WrongField("limit", "an integer or null");
  if (!limit_field->is_null()) {
    const absl::StatusOr<int64_t> limit = IntegerField(object, "limit");
    if (!limit.ok()) return limit.status();
    value.limit = *limit;
  }
  const absl::Status status = Validate(value);
  if (!status.ok()) return status;
  return value;
}

void SetCellValueFields(const CellValue& value, nlohmann::json& object) {
  object["weight"] = value.weight;
  object["limit"] = value.limit.has_value() ? nlohmann::json(*value.limit) : nlohmann::json();
}

absl::StatusOr<std::optional<CellValue>> OptionalValueFields(const nlohmann::json& object) {
  const absl::StatusOr<bool> deleted = BooleanField(object, "deleted");
  if (!deleted.ok()) return deleted.status();
  if (*deleted) return std::optional<CellValue>();
  const absl::StatusOr<CellValue> value = CellValueFields(object);
  if (!value.ok()) return value.status();
  return std::optional<CellValue>(*value);
}

void SetOptionalValueFields(const std::optional<CellValue>& value, nlohmann::json& object) {
  if (value.has_value()) {
    SetCellValueFields(*value, object);
  } else {
    object["deleted"] = true;
  }
}

}  // namespace runshelf::table
