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
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"
#include "runshelf/common/slot.h"
#include "runshelf/common/verdict.h"
#include "runshelf/routing/router_state.h"
#include "runshelf/routing/routing_snapshot.h"
#include "runshelf/routing/target_load.h"

namespace runshelf::routing {

// What the router needs to know of a request; checked and defaulted by the caller.
struct RequestInfo {
  std::string service;
  std::string caller_class;
  std::optional<std::string> key;              // Only where the service is divided by key.
  std::optional<std::string> idempotency_key;  // The caller repeats the request under this key.
  uint32_t attempt = 1;     // 1 for the caller's first sending, 2 and up for its own repeats.
  bool repeatable = false;  // Running twice does no harm.
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
  Duration retry_after{0};         // As the instance asked, with kOverloaded.
  std::optional<TargetLoad> load;  // As the instance reported with its response, if it did.
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

struct RouterConfig {
  std::string own_zone;
  Duration backoff_min = std::chrono::milliseconds(5);   // First wait for an owner.
  Duration backoff_max = std::chrono::milliseconds(50);  // Waits double up to this.
  // A request with less time left than this is not forwarded: it could not be answered in time.
  Duration attempt_time_min = std::chrono::milliseconds(2);
  // Part of the remaining time that an attempt of a repeatable request may take, so that a frozen
  // instance leaves time for another attempt. Others may take all of it.
  double repeatable_attempt_share = 0.5;
  uint32_t attempts_max = 4;  // Of requests that go by load, the first one included.
  Duration retry_after_no_owner = std::chrono::milliseconds(500);
  Duration retry_after_default = std::chrono::milliseconds(1000);
};

// Routes one request. Requests with a key, and requests with only an idempotency key, go to the
// owner of the slot of that key; all others go to an instance chosen by load.
//
// Invariants:
//  - After an attempt that may have run, nothing is sent again unless the request is repeatable.
//  - A GiveUpStep with kNotRun is returned only if every attempt certainly did not run. Of a
//    caller's own repeat (attempt >= 2) it never is, since an earlier sending may have run.
// Broken by: a shell that reports a kNotRun outcome after bytes reached a server, or sends again by
// itself.
//
// Every call returns the next step; after DeliverStep or GiveUpStep the object is finished. Not
// thread-safe; shares RouterState with the other requests of the process, so the shell holds one
// lock during each call and during destruction.
class RequestRouter {
 public:
  // `config`, `state` and `random` must outlive the router.
  RequestRouter(RequestInfo info, const RouterConfig& config, RouterState& state, Random& random);
  ~RequestRouter();
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  Step Start(Instant now, const RoutingSnapshot& snapshot);

  // To be called once for each ForwardStep.
  Step OnAttemptResult(Instant now, const RoutingSnapshot& snapshot, const AttemptResult& result);

  // To be called after a WaitStep, when its time has come or the snapshot has changed.
  Step OnWaitOver(Instant now, const RoutingSnapshot& snapshot);

  // The slot whose owner takes the request; nullopt when it goes by load or the service is unknown.
  std::optional<SlotNumber> Slot(const RoutingSnapshot& snapshot) const;

  // Attempts forwarded so far.
  uint32_t attempts() const { return attempts_; }

 private:
  Step Next(Instant now, const RoutingSnapshot& snapshot);
  Step NextByOwner(Instant now, const ServiceRoutes& routes, SlotNumber slot);
  Step NextByLoad(Instant now, const ServiceRoutes& routes);
  Step Forward(Instant now, const RouteTarget& target, std::optional<SlotNumber> slot);
  Step WaitForOwner(Instant now, std::optional<Instant> not_before);
  Step AfterNotRun(Instant now, const RoutingSnapshot& snapshot, AttemptOutcome outcome);
  Step AfterMayHaveRun(Instant now, const RoutingSnapshot& snapshot, AttemptOutcome outcome);
  Step GiveUpTooLate() const;
  Step GiveUpAfterLastOutcome() const;
  Step GiveUp(int http_status, const std::string& reason, Duration retry_after) const;
  void EndAttempt(Instant now, const AttemptResult& result);
  Instant AttemptDeadline(Instant now) const;
  bool GoesByOwner() const;
  bool TooLate(Instant now) const;
  bool PayForResend(Instant now);
  void NoteOutcome(Instant now, const InstanceId& target);

  RequestInfo info_;
  const RouterConfig& config_;
  RouterState& state_;
  Random& random_;
  Duration backoff_;  // Next wait for an owner.
  uint32_t attempts_ = 0;
  bool may_have_run_;  // Some attempt, or an earlier sending of the caller, may have run.
  AttemptOutcome last_outcome_ = AttemptOutcome::kAnswered;
  Duration last_retry_after_{0};
  std::optional<InstanceId> in_progress_;  // Target of the attempt under way.
  SlotNumber slot_ = 0;                    // Of the latest attempt that went by ownership.
  std::vector<InstanceId> tried_;          // Targets of all attempts, in order.
};

}  // namespace runshelf::routing
