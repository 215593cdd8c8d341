// One attempt to have a request run by one worker, whether its node is this one or another.
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

// What the node beside the worker needs to know of a request.
struct AttemptRequest {
  // Without headers that pertain to one connection; shared by all attempts of one request.
  std::shared_ptr<const http::Request> request;
  std::string request_id;
  std::string service;
  std::string worker_id;       // The worker that is meant; empty: whichever is there.
  std::string caller_service;  // Of the machine where the request began.
  std::string caller_class;    // Column of the operators' table.
  std::string queue_class;     // Requests of one take about as long as each other.
  uint32_t weight = 1;         // Of the table's cell: higher is served first.
  Instant deadline;            // The caller stops waiting.
  Instant answer_by;           // Later than this an answer is worth little: refuse instead.
  std::optional<sharding::ShardKey> key;
  bool large_answer = false;  // Answers of the route are large: they are paced on the link.
  bool trial = false;         // Of a request in quarantine; see RequestQuarantine.
  uint32_t excused_ends = 0;  // Of workers, under requests like it; see CrashRecord.
};

enum class FailureReason {
  kUnreachable,    // No connection to the node or the worker.
  kNoWorker,       // The node knows of no worker that is well.
  kWrongWorker,    // Another worker than the one meant is there.
  kDraining,       // The worker is leaving.
  kStopping,       // The node is about to end, maybe before the request would be over.
  kNotOwner,       // The worker does not hold the key.
  kFull,           // Refused by the queue in front of the worker.
  kLimited,        // Over the limit of the table's cell.
  kWorkerRefused,  // The worker itself said that it did not run the request.
  kExpired,        // The deadline passed before the request was sent.
  kCallerGone,     // The caller left before the request was sent.
  kBroken,         // The connection was lost after the request was sent.
  kIncomplete,     // The answer broke off, or was no answer.
  kUnstamped,      // A success for which the worker does not vouch.
  kQuarantined,    // Workers ended under requests like this one.
};

std::string_view FailureReasonName(FailureReason reason);
std::optional<FailureReason> ParseFailureReason(std::string_view name);

struct AttemptFailure {
  Verdict verdict = Verdict::kNotRun;
  FailureReason reason = FailureReason::kUnreachable;
  // The request was sent to a worker, which counts against the bound on attempts.
  bool reached_worker = false;
  Duration retry_after{0};  // Zero: no advice.
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
  // The caller no longer waits for the answer. Asked right before the request is sent to a worker:
  // in a process that is short of processor time the news may lie unread behind the request.
  virtual bool CallerGone() const = 0;
};

// Destroying an attempt cancels it, at the worker too.
class Attempt {
 public:
  virtual ~Attempt() = default;
  // Starts the attempt; may call the observer before it returns.
  virtual void Begin() = 0;
  // Stops and restarts the flow of the answer's body.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

}  // namespace runshelf::sidecar
