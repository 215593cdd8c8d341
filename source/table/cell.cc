#include "runshelf/table/cell.h"

#include <fmt/format.h>

#include <algorithm>

namespace runshelf::table {
namespace {

constexpr size_t kEditIdLength = 32;

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') || IsDigit(character) || character == '-';
}

bool IsHexadecimalDigit(char character) {
  return (character >= 'a' && character <= 'f') || IsDigit(character);
}

absl::Status ValidateName(std::string_view part, std::string_view name) {
  if (IsValidName(name)) return absl::OkStatus();
  return absl::InvalidArgumentError(
      fmt::format("{} must be 1 to {} characters of a-z, 0-9 and '-'", part, kMaxNameLength));
}

absl::Status ValidateNumber(std::string_view part, int64_t number, int64_t lowest,
                            int64_t highest) {
  if (number >= lowest && number <= highest) return absl::OkStatus();
  return absl::InvalidArgumentError(
      fmt::format("{} {} is out of range {} to {}", part, number, lowest, highest));
}

}  // namespace

std::string CellKey::ToString() const { return fmt::format("{}/{}", service, caller_class); }

std::string CellValue::ToString() const {
  if (!limit.has_value()) return fmt::format("weight {}, no limit", weight);
  return fmt::format("weight {}, limit {}", weight, *limit);
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

bool IsValidEditId(std::string_view edit_id) {
  return edit_id.size() == kEditIdLength &&
         std::all_of(edit_id.begin(), edit_id.end(), IsHexadecimalDigit);
}

absl::Status Validate(const CellKey& key) {
  absl::Status status = ValidateName("service", key.service);
  if (status.ok()) status = ValidateName("class", key.caller_class);
  return status;
}

absl::Status Validate(const CellValue& value) {
  absl::Status status = ValidateNumber("weight", value.weight, kMinWeight, kMaxWeight);
  if (status.ok() && value.limit.has_value()) {
    status = ValidateNumber("limit", *value.limit, kMinLimit, kMaxLimit);
  }
  return status;
}

}  // namespace runshelf::table
