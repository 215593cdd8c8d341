// JSON form of the messages between replicas, the log entries and the snapshots.
//
// Decoding accepts any JSON value: what does not describe a message gives kInvalidArgument, never
// an exception. Field names are short because heartbeats make up most of the control traffic.
// Opaque bytes travel as text when they are ASCII, as base64 otherwise.
#pragma once

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>

#include "runshelf/consensus/replica.h"

namespace runshelf::consensus {

nlohmann::json ToJson(const Message& message);
nlohmann::json ToJson(const LogEntry& entry);
nlohmann::json ToJson(const Snapshot& snapshot);

absl::StatusOr<Message> MessageFromJson(const nlohmann::json& json);
absl::StatusOr<LogEntry> LogEntryFromJson(const nlohmann::json& json);
absl::StatusOr<Snapshot> SnapshotFromJson(const nlohmann::json& json);

}  // namespace runshelf::consensus
