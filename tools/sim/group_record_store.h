// The group record as it lies in the platform's key-value service.
#pragma once

#include <optional>
#include <string>

#include "runshelf/coordination/message_json.h"

namespace runshelf::sim {

inline std::string GroupRecordKey(const std::string& group) { return "/runshelf/group/" + group; }

inline std::string EncodeStoredGroupRecord(const coordination::GroupRecord& record) {
  return coordination::EncodeGroupRecord(record);
}

inline std::optional<coordination::GroupRecord> DecodeStoredGroupRecord(const std::string& text) {
  const auto record = coordination::DecodeGroupRecord(text);
  return record.ok() ? std::optional(*record) : std::nullopt;
}

}  // namespace runshelf::sim
