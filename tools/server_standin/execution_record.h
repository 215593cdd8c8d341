// What a server remembers for the judge: every execution, and every grant that it accepted.
//
// One JSON object a line. Times are CLOCK_BOOTTIME, so the records of all servers of one machine
// lie on one timeline.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"

namespace runshelf::server_standin {

// One request that the server executed.
struct Execution {
  std::string service;
  std::string server;  // Name of the server that executed it.
  std::string request_id;
  std::string idempotency_key;  // Empty when the request had none.
  std::string key;              // Empty when the request had none.
  std::string method;
  std::string path;                   // With the query, as the server received it.
  std::optional<SlotNumber> slot;     // Absent when the request did not go by ownership.
  std::optional<FencingToken> token;  // Of the request; present when `slot` is.
  Instant at;                         // The instant for which ownership was checked.

  bool operator==(const Execution&) const = default;
};

// One grant that the server accepted. It holds until it expires or the next one replaces it.
struct AcceptedGrant {
  std::string service;
  std::string server;
  FencingToken token;
  std::vector<SlotRange> slots;
  Instant at;
  Instant expires_at;

  bool operator==(const AcceptedGrant&) const = default;
};

using RecordEntry = std::variant<Execution, AcceptedGrant>;

// Returns the entry as one JSON object without a line end.
std::string ToJsonLine(const RecordEntry& entry);

// The inverse of ToJsonLine. kInvalidArgument when `line` has another form.
absl::StatusOr<RecordEntry> ParseRecordLine(const std::string& line);

// The highest slot number that a grant may name.
constexpr SlotNumber kLargestSlot = (1U << 20U) - 1;

// Reads slot ranges of the form [[first,last],...], ascending and disjoint; nullopt otherwise.
std::optional<std::vector<SlotRange>> ParseSlotRanges(const nlohmann::json& array);

}  // namespace runshelf::server_standin
