// The JSON mapping of the messages of etcd's v3 API: requests to types, results to JSON.
//
// Keys and values are base64, 64-bit integers are strings, and fields with default values may be
// left out. Only the subset that docs/PROTOCOLS.md names is understood; the rest is refused with
// kInvalidArgument rather than ignored.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <nlohmann/json.hpp>

#include "tools/platform_standin/revision_store.h"

namespace runshelf::platform_standin {

struct WatchRequest {
  KeyRange range;
  int64_t start_revision = 0;  // Zero: from the next change on.
};

struct LeaseGrantRequest {
  int64_t time_to_live_s = 0;
};

absl::StatusOr<KeyRange> DecodeRange(const nlohmann::json& request);
absl::StatusOr<Transaction> DecodeTransaction(const nlohmann::json& request);
absl::StatusOr<LeaseGrantRequest> DecodeLeaseGrant(const nlohmann::json& request);
absl::StatusOr<int64_t> DecodeLeaseId(const nlohmann::json& request);
absl::StatusOr<int64_t> DecodeCompaction(const nlohmann::json& request);
absl::StatusOr<WatchRequest> DecodeWatch(const nlohmann::json& request);

nlohmann::json EncodeHeader(int64_t revision);
nlohmann::json EncodeRange(const ItemRange& range);
nlohmann::json EncodeTransaction(const TransactionResult& result);
nlohmann::json EncodeEvents(const EventBatch& batch);

}  // namespace runshelf::platform_standin
