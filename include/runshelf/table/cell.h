// One cell of the operators' table: what a caller class may get from a service.
#pragma once

#include <absl/status/status.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace runshelf::table {

constexpr size_t kMaxNameLength = 64;
constexpr int64_t kMinWeight = 1;
constexpr int64_t kMaxWeight = 1'000'000;
constexpr int64_t kMinLimit = 0;
constexpr int64_t kMaxLimit = 100'000'000;

// Names a cell: a row of the table is a service, a column is a caller class.
struct CellKey {
  std::string service;
  std::string caller_class;

  auto operator<=>(const CellKey&) const = default;  // NOLINT(modernize-use-nullptr): false alarm.

  // "service/class", for messages.
  std::string ToString() const;
};

struct CellValue {
  int64_t weight = kMinWeight;   // Callers with a higher weight are served first.
  std::optional<int64_t> limit;  // Requests per second across the fleet; absent means no limit.

  bool operator==(const CellValue&) const = default;

  // "weight 5, limit 100" or "weight 5, no limit", for messages.
  std::string ToString() const;
};

// Whether `name` may name a service or a caller class: 1 to 64 of a-z, 0-9 and '-'.
bool IsValidName(std::string_view name);

// Whether `edit_id` has the form that the editor draws: 32 lower-case hexadecimal digits.
bool IsValidEditId(std::string_view edit_id);

// kInvalidArgument, with a reason that names the part, when a name or a number is out of range.
absl::Status Validate(const CellKey& key);
absl::Status Validate(const CellValue& value);

}  // namespace runshelf::table
