// Requests as callers send them, and as daemons pass them on.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "runshelf/common/slot.h"
#include "runshelf/common/verdict.h"
#include "runshelf/routing/request_router.h"

namespace runshelf::sim {

struct CallerRequest {
  uint64_t operation = 0;  // What the caller wants done once.
  uint32_t sending = 1;    // The caller's first sending of it is 1.
  std::string service;
  std::string caller_class;
  std::optional<std::string> key;
  std::optional<std::string> idempotency_key;
  bool repeatable = false;
  Duration time_limit{0};

  // The value of Runshelf-Attempt: only a sending under an idempotency key can be a repeat.
  uint32_t Attempt() const { return idempotency_key ? sending : 1; }
};

// What the caller is told.
struct CallerAnswer {
  Verdict verdict = Verdict::kNotRun;
  std::optional<uint64_t> answered_operation;  // Echoed by the server, with kRan.
  Duration retry_after{0};
};

struct ForwardedRequest {
  uint64_t request_id = 0;
  CallerRequest request;
  std::optional<SlotNumber> slot;
  Duration time_left{0};
};

struct ForwardAnswer {
  routing::AttemptResult result;
  std::optional<uint64_t> answered_operation;
};

using CallerAnswerHandler = std::function<void(const CallerAnswer&)>;
using ForwardAnswerHandler = std::function<void(const ForwardAnswer&)>;

}  // namespace runshelf::sim
