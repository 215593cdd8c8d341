#include "source/daemon/forwarded_request.h"

#include <charconv>

#include "source/daemon/request_headers.h"

namespace runshelf::daemon {
namespace {

constexpr uint32_t kMaxTimeLeftMs = 60'000;

std::optional<uint32_t> ParseNumber(const std::string& text) {
  uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

absl::Status Malformed(const char* name) {
  return absl::InvalidArgumentError(std::string("missing or malformed header ") + name);
}

}  // namespace

absl::StatusOr<ForwardedRequest> ParseForwardedRequest(const transport::HttpRequest& request) {
  ForwardedRequest parsed;
  parsed.request_id = request.headers.Find(kRequestIdHeader).value_or("");
  if (parsed.request_id.empty()) {
    return Malformed(kRequestIdHeader);
  }
  parsed.service = request.headers.Find(kServiceHeader).value_or("");
  parsed.caller_class = request.headers.Find(kClassHeader).value_or("");
  const auto time_left = ParseNumber(request.headers.Find(kDeadlineHeader).value_or(""));
  if (!time_left.has_value() || *time_left > kMaxTimeLeftMs) {
    return Malformed(kDeadlineHeader);
  }
  parsed.time_left = std::chrono::milliseconds(*time_left);
  if (const auto slot = request.headers.Find(kSlotHeader)) {
    parsed.slot = ParseNumber(*slot);
    if (!parsed.slot.has_value()) {
      return Malformed(kSlotHeader);
    }
  }
  const auto attempt = ParseNumber(request.headers.Find(kAttemptHeader).value_or("1"));
  if (!attempt.has_value()) {
    return Malformed(kAttemptHeader);
  }
  parsed.attempt = *attempt;
  parsed.idempotency_key = request.headers.Find(kIdempotencyKeyHeader);
  return parsed;
}

}  // namespace runshelf::daemon
