#include "tests/soak/abandonment_judge.h"

#include <fmt/format.h>

namespace runshelf::soak {
namespace {

// Time limit for propagating a caller's disconnect to the worker (user documentation: half a
// second).
constexpr Duration kCancelTimeLimit = std::chrono::milliseconds(500);
// Requests that may reach workers after the limit; the documentation allows "a few".
constexpr int kAllowedLate = 5;
// The share of requests that were not cancelled is checked from this sample size on.
constexpr int kMinSamples = 8;
constexpr int kAllowedShareDivisor = 4;  // One in four, i.e. a quarter.

}  // namespace

void AbandonmentJudge::OnLeft(const std::string& id, Instant at, bool repeatable) {
  left_[id] = {at, repeatable};
}

void AbandonmentJudge::OnBegan(const std::string& id, Instant at, bool in_touch) {
  const auto left = left_.find(id);
  if (left == left_.end() || !in_touch || at - left->second.at <= kCancelTimeLimit) return;
  if (++begun_late_ != kAllowedLate + 1) return;
  violations_.push_back(fmt::format(
      "gone: {} requests reached workers long after their callers left, last {}", begun_late_, id));
}

void AbandonmentJudge::OnWorkEnded(const std::string& id, Instant at, Instant would_last_until,
                                   bool in_touch) {
  const auto left = left_.find(id);
  if (left == left_.end() || !in_touch || !left->second.repeatable) return;
  const Instant noticed = left->second.at + kCancelTimeLimit;
  if (would_last_until <= noticed) return;
  ++cancellable_;
  if (at > noticed) ++not_cancelled_;
}

void AbandonmentJudge::Finish() {
  if (cancellable_ < kMinSamples || not_cancelled_ * kAllowedShareDivisor <= cancellable_) return;
  violations_.push_back(
      fmt::format("gone: workers went on with {} of {} requests", not_cancelled_, cancellable_));
}

}  // namespace runshelf::soak
