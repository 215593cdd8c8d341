// Interface of one attempt to run a request at one worker, either the local one or one reached
// through its node.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "runshelf/common/clock.h"
#include "runshelf/common/verdict.h"
#include "source/http/message.h"
#include "source/sharding/shard_map.h"

namespace runshelf::sidecar {

// A request together with what the node next to the worker needs to schedule it.
struct AttemptRequest {
  // Without connection-specific headers; shared by all attempts of one request.
  std::shared_ptr<const http::Request> request;
  std::string request_id;
  std::string service;
  std::string worker_id;       // Expected worker; empty: any worker of the service.
  std::string caller_service;  // Service on the machine where the request originated.
  std::string caller_class;    // Column in the operators' table of limits and weights.
  std::string queue_class;     // Requests of one class have similar service times.
  uint32_t weight = 1;         // From the operators' table; higher is served first.
  Instant deadline;            // When the caller stops waiting.
  Instant answer_by;  // Refused if it cannot be answered by then: a later answer is worth little.
  std::optional<sharding::ShardKey> key;
  bool large_answer = false;  // The route's answers are large, so they are paced on the link.
  bool trial = false;         // Trial run of a quarantined request; see RequestQuarantine.
  // Worker ends under this request since which the receiving node has seen it complete; see
  // CrashRecord::ExcusedEnds.
  uint32_t excused_ends = 0;
};

// Why an attempt brought no complete answer.
enum class FailureReason {
  kUnreachable,    // No connection could be made to the node or the worker.
  kNoWorker,       // The node knows of no healthy worker that may run the request.
  kWrongWorker,    // The worker is not the expected one, or runs another service.
  kDraining,       // The worker is draining.
  kEvacuated,      // The worker's zone is evacuated.
  kStopping,       // The node is stopping, possibly before the request would complete.
  kNotOwner,       // The worker does not hold the request's key.
  kFull,           // Refused by the admission queue in front of the worker.
  kWarmingUp,      // The worker is cold and cannot take another request yet.
  kWorkerLimited,  // The worker is over the rate of requests that it states.
  kLimited,        // The caller class is over its rate limit in the operators' table.
  kWorkerRefused,  // The worker answered that it did not run the request.
  kExpired,        // The deadline passed; the verdict tells whether the request was sent.
  kCallerGone,     // The caller left before the request was sent.
  kBroken,         // The connection was lost after the request was sent.
  kIncomplete,     // The answer was cut off, or was no valid HTTP message.
  kUnstamped,      // A 2xx answer without the header by which the worker confirms the run.
  kQuarantined,    // The request is quarantined: workers ended while running it.
};

// Returns the name of the reason in peer messages and logs, such as "no-worker".
std::string_view FailureReasonName(FailureReason reason);
// Returns the reason with this name; nullopt if there is none.
std::optional<FailureReason> ParseFailureReason(std::string_view name);

// How an attempt failed, and whether the request may have run.
struct AttemptFailure {
  Verdict verdict = Verdict::kNotRun;
  FailureReason reason = FailureReason::kUnreachable;
  // The request was sent to a worker, which counts towards the maximum number of attempts.
  bool reached_worker = false;
  Duration retry_after{0};  // Suggested delay before a retry; zero: none suggested.
};

// Receives the answer. Exactly one of OnAnswerComplete and OnAttemptFailure is called, last. The
// attempt may be destroyed inside any call.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  virtual void OnAnswerHead(http::ResponseHead&& head) = 0;
  virtual void OnAnswerBody(std::string_view data) = 0;
  virtual void OnAnswerComplete() = 0;
  virtual void OnAttemptFailure(const AttemptFailure& failure) = 0;
  // Returns whether the caller no longer waits for the answer. Asked right before the request is
  // sent to a worker: when the process is short of CPU time, the closed connection may not have
  // been noticed yet.
  virtual bool CallerGone() const = 0;
};

// Destroying an attempt cancels it, also at the worker.
class Attempt {
 public:
  virtual ~Attempt() = default;
  // Starts the attempt; may call the observer before it returns.
  virtual void Begin() = 0;
  // Suspend and resume reading of the answer body, for backpressure.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

}  // namespace runshelf::sidecar
