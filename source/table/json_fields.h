// Checked access to the members of JSON objects from untrusted senders.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "runshelf/table/cell.h"

namespace runshelf::table {

// Parses `text` to an object. kInvalidArgument when it is longer than `max_size` bytes, not JSON,
// or not an object.
absl::StatusOr<nlohmann::json> ParseObject(std::string_view text, size_t max_size);

// Each returns the member of the object, or kInvalidArgument when it is missing or of another type.
absl::StatusOr<int64_t> IntegerField(const nlohmann::json& object, const char* name);
absl::StatusOr<std::string> StringField(const nlohmann::json& object, const char* name);
// A missing member is false.
absl::StatusOr<bool> BooleanField(const nlohmann::json& object, const char* name);

// Members "service" and "class", checked by Validate.
absl::StatusOr<CellKey> CellKeyFields(const nlohmann::json& object);
void SetCellKeyFields(const CellKey& key, nlohmann::json& object);

// Members "weight" and "limit" (null: no limit), checked by Validate.
absl::StatusOr<CellValue> CellValueFields(const nlohmann::json& object);
void SetCellValueFields(const CellValue& value, nlohmann::json& object);

// Members of CellValueFields, or "deleted":true when the value is absent.
absl::StatusOr<std::optional<CellValue>> OptionalValueFields(const nlohmann::json& object);
void SetOptionalValueFields(const std::optional<CellValue>& value, nlohmann::json& object);

}  // namespace runshelf::table
