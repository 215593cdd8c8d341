// Reads the headers of a request that another daemon forwarded. Free of input and output.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"
#include "runshelf/transport/http_message.h"

namespace runshelf::daemon {

struct ForwardedRequest {
  std::string service;
  std::string caller_class;
  std::string request_id;
  std::optional<SlotNumber> slot;  // Present when the request goes by ownership.
  Duration time_left{0};
  std::optional<std::string> idempotency_key;
  uint32_t attempt = 1;
};

// kInvalidArgument when a header is missing or malformed.
absl::StatusOr<ForwardedRequest> ParseForwardedRequest(const transport::HttpRequest& request);

}  // namespace runshelf::daemon
