// Lets threads share an IdempotencyCache: a repeat waits for the sending that runs.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "runshelf/common/clock.h"
#include "runshelf/common/verdict.h"
#include "runshelf/routing/idempotency_cache.h"
#include "runshelf/transport/peer_watch.h"

namespace runshelf::daemon {

// What became of the sending that a repeat waited for.
struct EarlierResult {
  Verdict verdict = Verdict::kMayHaveRun;
  std::shared_ptr<const routing::RecordedAnswer> answer;  // With kRan, unless too large.
};

// Safe for use by several threads at once.
class RepeatGuard {
 public:
  RepeatGuard(const Clock& clock, const routing::IdempotencyConfig& config);

  // With kAttach, call WaitForEarlier; with kRun, call Complete in the end, whatever happens.
  routing::BeginResult Begin(const routing::IdempotentRequest& request);

  // Waits until the running sending ends; nullopt when the deadline passes or `caller` is gone.
  std::optional<EarlierResult> WaitForEarlier(const routing::IdempotentRequest& request,
                                              Instant deadline, transport::PeerWatch caller);

  void Complete(const std::string& key, Verdict verdict,
                const std::shared_ptr<const routing::RecordedAnswer>& answer);

 private:
  const Clock& clock_;
  std::mutex mutex_;
  std::condition_variable completed_;
  routing::IdempotencyCache cache_;
  // By request id of each attached request; empty until its earlier sending has ended.
  std::unordered_map<std::string, std::optional<EarlierResult>> attached_;
};

}  // namespace runshelf::daemon
