#include "tools/platform_standin/fault_injector.h"

#include <algorithm>

namespace runshelf::platform_standin {
namespace {

constexpr uint64_t kProbabilityScale = 1'000'000;

}  // namespace

void FaultInjector::Set(Instant now, const FaultSettings& settings) {
  const std::lock_guard lock(mutex_);
  settings_ = settings;
  rate_tokens_ = static_cast<double>(settings.rate_limit_per_second);
  rate_tokens_at_ = now;
}

FaultSettings FaultInjector::settings() const {
  const std::lock_guard lock(mutex_);
  return settings_;
}

FaultAction FaultInjector::Decide(Instant now, CallKind kind) {
  const std::lock_guard lock(mutex_);
  if (settings_.outage) {
    return settings_.outage_mode == OutageMode::kRefuse ? FaultAction::kRefuse
                                                        : FaultAction::kClose;
  }
  if (!TakeRateToken(now)) return FaultAction::kRateLimit;
  if (kind == CallKind::kRead) return FaultAction::kNone;
  if (settings_.lose_next_answers > 0) {
    --settings_.lose_next_answers;
    return FaultAction::kLoseAnswer;
  }
  const auto threshold =
      static_cast<uint64_t>(settings_.lose_answer_probability * kProbabilityScale);
  if (threshold > 0 && random_.Below(kProbabilityScale) < threshold) {
    return FaultAction::kLoseAnswer;
  }
  return FaultAction::kNone;
}

bool FaultInjector::TakeRateToken(Instant now) {
  if (settings_.rate_limit_per_second == 0) return true;
  const auto rate = static_cast<double>(settings_.rate_limit_per_second);
  const std::chrono::duration<double> elapsed = now - rate_tokens_at_;
  rate_tokens_ = std::min(rate, rate_tokens_ + rate * elapsed.count());
  rate_tokens_at_ = now;
  if (rate_tokens_ < 1) return false;
  rate_tokens_ -= 1;
  return true;
}

}  // namespace runshelf::platform_standin
