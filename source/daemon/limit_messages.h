// JSON form of the messages by which the table's limits are shared out over the fleet.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <variant>

#include "runshelf/admission/limit_shares.h"

namespace runshelf::daemon {

using LimitBody = std::variant<admission::ShareReport, admission::ShareGrant>;

struct LimitMessage {
  std::string group;  // Replica group; messages of others are ignored.
  LimitBody body;
};

// Whether `message` is one of these, told from its first bytes.
bool IsLimitMessage(const std::string& message);

std::string EncodeLimitMessage(const LimitMessage& message);

// kInvalidArgument for anything malformed; never throws, whatever the bytes are.
absl::StatusOr<LimitMessage> DecodeLimitMessage(const std::string& text);

}  // namespace runshelf::daemon
