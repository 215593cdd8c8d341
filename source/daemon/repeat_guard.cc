#include "source/daemon/repeat_guard.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace runshelf::daemon {
namespace {

constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(20);

}  // namespace

RepeatGuard::RepeatGuard(const Clock& clock, const routing::IdempotencyConfig& config)
    : clock_(clock), cache_(config) {}

routing::BeginResult RepeatGuard::Begin(const routing::IdempotentRequest& request) {
  const std::lock_guard lock(mutex_);
  routing::BeginResult result = cache_.Begin(clock_.Now(), request);
  if (result.outcome == routing::BeginOutcome::kAttach) {
    attached_.emplace(request.request_id, std::nullopt);
  }
  return result;
}

std::optional<EarlierResult> RepeatGuard::WaitForEarlier(const routing::IdempotentRequest& request,
                                                         Instant deadline,
                                                         transport::PeerWatch caller) {
  std::unique_lock lock(mutex_);
  const auto is_over = [&] { return attached_.at(request.request_id).has_value(); };
  while (!is_over() && clock_.Now() < deadline && !caller.Closed()) {
    completed_.wait_for(lock, std::min(kCallerCheckInterval, deadline - clock_.Now()), is_over);
  }
  if (!is_over()) {
    cache_.Detach(request.key, request.request_id);
  }
  std::optional<EarlierResult> result = std::move(attached_.at(request.request_id));
  attached_.erase(request.request_id);
  return result;
}

void RepeatGuard::Complete(const std::string& key, Verdict verdict,
                           const std::shared_ptr<const routing::RecordedAnswer>& answer) {
  const std::lock_guard lock(mutex_);
  for (const std::string& request_id : cache_.Complete(clock_.Now(), key, verdict, answer)) {
    const auto waiting = attached_.find(request_id);
    if (waiting != attached_.end()) {
      waiting->second = EarlierResult{verdict, answer};
    }
  }
  completed_.notify_all();
}

}  // namespace runshelf::daemon
