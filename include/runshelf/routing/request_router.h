// Decides what becomes of one caller's request at the daemon that took it: which instance to try,
// when to try again, and when to give up with which answer.
//
// One object per request, free of input and output: the shell carries out each Step and reports
// what happened. A give-up is answered at once, never held back.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"
#include "runshelf/common/slot.h"
#include "runshelf/common/verdict.h"
#include "runshelf/routing/routing_snapshot.h"

namespace runshelf::routing {

// What the router needs to know of a request; checked and defaulted by the caller.
struct RequestInfo {
  std::string service;
  std::string caller_class;
  std::optional<std::string> key;              // Of the service's key space.
  std::optional<std::string> idempotency_key;  // The caller repeats the request under this key.
  bool repeatable = false;                     // Running twice does no harm.
  Instant deadline;
};

// How one attempt to forward the request ended.
enum class AttemptOutcome {
  kAnswered,        // A complete answer of the server; the verdict is kRan.
  kNotOwner,        // The instance does not hold the slot; certainly not run.
  kOverloaded,      // Refused for capacity: queue full, shedding or cold; certainly not run.
  kLeaving,         // The instance takes no new work; certainly not run.
  kDeadlinePassed,  // Refused because it could not be served in time; certainly not run.
  kConnectFailed,   // No byte was handed over; certainly not run.
  kConnectionLost,  // Bytes were handed over, no complete answer came; may have run.
  kTimedOut,        // As kConnectionLost; the attempt's time was over.
  kUnknownRepeat,   // The owner cannot tell whether an earlier attempt ran; may have run.
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kConnectionLost;
  Duration retry_after{0};  // As the instance asked, with kOverloaded.
};

// Returns what `outcome` says about the request.
Verdict VerdictOf(AttemptOutcome outcome);

// Forward the request to `target` and report an AttemptResult by `attempt_deadline`.
struct ForwardStep {
  RouteTarget target;
  std::optional<SlotNumber> slot;  // Present when the request goes by ownership.
  Instant attempt_deadline;
};

// Ask again at `until`, or when the routing snapshot has changed, whichever is first.
struct WaitStep {
  Instant until;
};

// Pass the server's answer through.
struct DeliverStep {};

// Answer the caller now with an error of the router's own.
struct GiveUpStep {
  int http_status = 503;
  Verdict verdict = Verdict::kNotRun;
  std::string reason;       // Stable identifier, for example "no_owner"; also logged.
  Duration retry_after{0};  // Sent as Retry-After, never zero.
};

using Step = std::variant<ForwardStep, WaitStep, DeliverStep, GiveUpStep>;

}  // namespace runshelf::routing
