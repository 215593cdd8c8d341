// JSON form of the messages between daemons, and of the group record.
#pragma once

#include <absl/status/statusor.h>

#include <string>

#include "runshelf/coordination/messages.h"

namespace runshelf::coordination {

// Encodings that nlohmann/json offers. Daemons speak kJson; the others are measured by the scale
// run.
enum class Encoding { kJson, kCbor, kMessagePack };

std::string EncodeEnvelope(const Envelope& envelope, Encoding encoding = Encoding::kJson);

// kInvalidArgument for anything malformed; never throws, whatever the bytes are.
absl::StatusOr<Envelope> DecodeEnvelope(const std::string& bytes,
                                        Encoding encoding = Encoding::kJson);

std::string EncodeGroupRecord(const GroupRecord& record);
absl::StatusOr<GroupRecord> DecodeGroupRecord(const std::string& text);

}  // namespace runshelf::coordination
