// What a caller saw of one HTTP request: the load tool writes it, the report judges it.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/common/verdict.h"

namespace runshelf::load {

// One sending of a call. A call is one piece of work of a caller; it is sent again under its
// idempotency key, so several attempts may share a call.
struct AttemptRecord {
  std::string call;      // Unique; part of the path, so that executions can be traced to it.
  uint32_t attempt = 1;  // 1 for the first sending.
  std::string service;
  std::string caller_class;
  std::string key;              // Empty when the service is not divided by key.
  std::string idempotency_key;  // Empty when the call has none.
  bool repeatable = false;
  bool warm_up = false;  // Sent before the measured load: judged, but not measured.
  bool direct = false;   // Sent to a server itself, without a daemon.
  std::string endpoint;  // "ip:port" that the attempt was sent to.
  Instant scheduled_at;  // When the open loop meant to send it.
  Instant sent_at;
  Instant done_at;
  int status = 0;                  // HTTP status; 0 when no complete answer came.
  std::optional<Verdict> verdict;  // As told by the answer; absent without an answer.
  std::string error;               // Identifier told by the router, or the caller's own failure.
  std::string request_id;          // As told by the answer.
  std::string wrong_answer;        // Why the answer is not complete or not the caller's own.

  bool operator==(const AttemptRecord&) const = default;

  // The answer was a success, complete and the caller's own.
  bool Succeeded() const { return status >= 200 && status < 300 && wrong_answer.empty(); }

  // Latency as the caller sees it: late sending counts against the system.
  Duration Latency() const { return done_at - scheduled_at; }
};

// Failures that the caller itself observed, values of AttemptRecord::error.
constexpr char kErrorConnectFailed[] = "caller_connect_failed";  // No byte was sent.
constexpr char kErrorConnectionLost[] = "caller_connection_lost";
constexpr char kErrorTimeout[] = "caller_timeout";
constexpr char kErrorAbandoned[] = "caller_abandoned";  // The caller closed before the answer.

// Returns the record as one JSON object without a line end.
std::string ToJsonLine(const AttemptRecord& record);

// The inverse of ToJsonLine. kInvalidArgument when `line` has another form.
absl::StatusOr<AttemptRecord> ParseAttemptLine(const std::string& line);

}  // namespace runshelf::load
