// Names of the header fields of docs/PROTOCOLS.md.
#pragma once

namespace runshelf::daemon {

inline constexpr char kClassHeader[] = "Runshelf-Class";
inline constexpr char kKeyHeader[] = "Runshelf-Key";
inline constexpr char kDeadlineHeader[] = "Runshelf-Deadline-Ms";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
inline constexpr char kAttemptHeader[] = "Runshelf-Attempt";
inline constexpr char kRepeatableHeader[] = "Runshelf-Repeatable";
inline constexpr char kVerdictHeader[] = "Runshelf-Verdict";
inline constexpr char kRequestIdHeader[] = "Runshelf-Request-Id";
inline constexpr char kRetryAfterHeader[] = "Retry-After";
inline constexpr char kRetryAfterMsHeader[] = "Runshelf-Retry-After-Ms";
inline constexpr char kServiceHeader[] = "Runshelf-Service";
inline constexpr char kSlotHeader[] = "Runshelf-Slot";
inline constexpr char kFencingTokenHeader[] = "Runshelf-Fencing-Token";
inline constexpr char kRefusedHeader[] = "Runshelf-Refused";
inline constexpr char kFailedHeader[] = "Runshelf-Failed";
inline constexpr char kLoadHeader[] = "Runshelf-Load";

// Values of Runshelf-Refused. All but the last: the request certainly did not run.
inline constexpr char kRefusedNotOwner[] = "not-owner";
inline constexpr char kRefusedOverloaded[] = "overloaded";
inline constexpr char kRefusedLeaving[] = "leaving";
inline constexpr char kRefusedDeadline[] = "deadline";
inline constexpr char kRefusedUnknownRepeat[] = "unknown-repeat";

// Further values of Runshelf-Refused that servers use.
inline constexpr char kRefusedDraining[] = "draining";
inline constexpr char kRefusedCancelled[] = "cancelled";

// Values of Runshelf-Failed: the request was handed to the server and may have run.
inline constexpr char kFailedConnectionLost[] = "connection-lost";
inline constexpr char kFailedTimedOut[] = "timed-out";

}  // namespace runshelf::daemon
