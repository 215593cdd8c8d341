#include "runshelf/admission/rate_limiter.h"

#include <algorithm>

namespace runshelf::admission {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kDemandForgotten = 0.01;  // Requests per second below which none is reported.

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

}  // namespace

RateDecision RateLimiter::Admit(Instant now, const std::string& service,
                                const std::string& caller_class, std::optional<double> limit) {
  if (!limit.has_value()) return {true, Duration::zero()};
  const auto [position, added] = buckets_.try_emplace(CellKey(service, caller_class));
  Bucket& bucket = position->second;
  // The floor was there before the first request of the cell.
  if (added) bucket.refilled_at = std::min(now, floor_since_);
  if (added) bucket.limit = *limit;
  Refill(now, bucket);
  bucket.limit = *limit;
  ++bucket.asked;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return {true, Duration::zero()};
  }
  if (bucket.share_until <= now) refused_without_share_ = true;
  return {false, RetryAfter(now, bucket)};
}

ShareReport RateLimiter::MakeReport(Instant now, uint64_t leader_term) {
  ShareReport report;
  report.instance = self_;
  report.leader_term = leader_term;
  report.sequence = ++sequence_;
  report.applied_sequence = applied_sequence_;
  report.floor_fraction = floor_until_ > now ? floor_fraction_ : 0;
  for (auto& [cell, bucket] : buckets_) {
    UpdateDemand(now, bucket);
    if (bucket.share > 0 && bucket.share_until > now) {
      report.held.push_back({cell.first, cell.second, bucket.share, bucket.share_until - now});
    }
    if (bucket.demand > kDemandForgotten) {
      report.demands.push_back({cell.first, cell.second, bucket.demand});
    }
  }
  last_report_ = now;
  refused_without_share_ = false;
  sent_reports_.emplace(sequence_, now);
  if (sent_reports_.size() > kSentReportsMax) sent_reports_.erase(sent_reports_.begin());
  return report;
}

bool RateLimiter::WantsEarlyReport(Instant now) const {
  if (!refused_without_share_) return false;
  return !last_report_.has_value() || now - *last_report_ >= config_.early_report_interval;
}

void RateLimiter::ApplyGrant(Instant now, const ShareGrant& grant) {
  const auto sent = sent_reports_.find(grant.sequence);
  if (sent == sent_reports_.end()) return;
  const Instant sent_at = sent->second;
  sent_reports_.erase(sent_reports_.begin(), std::next(sent));
  for (auto& [cell, bucket] : buckets_) {
    Refill(now, bucket);
    bucket.share = 0;
    bucket.share_until = Instant{};
  }
  if (floor_until_ <= now) floor_since_ = now;
  floor_fraction_ = grant.floor_fraction;
  floor_until_ = sent_at + grant.floor_valid_for;
  for (const CellShare& share : grant.shares) {
    const auto bucket = buckets_.find(CellKey(share.service, share.caller_class));
    if (bucket == buckets_.end()) continue;
    bucket->second.share = share.requests_per_second;
    bucket->second.share_until = sent_at + share.valid_for;
  }
  applied_sequence_ = grant.sequence;
}

double RateLimiter::Rate(Instant now, const std::string& service,
                         const std::string& caller_class) const {
  const auto bucket = buckets_.find(CellKey(service, caller_class));
  return bucket == buckets_.end() ? 0 : RateAt(now, bucket->second);
}

double RateLimiter::RateAt(Instant at, const Bucket& bucket) const {
  const double floor = at < floor_until_ ? floor_fraction_ * kFloorPart * bucket.limit : 0;
  const double most = (1 - kFloorPart) * bucket.limit;
  const double share = at < bucket.share_until ? std::min(bucket.share, most) : 0;
  return floor + share;
}

double RateLimiter::BurstOf(double rate) const {
  return std::max(1.0, rate * Seconds(config_.burst));
}

// Adds the integral of the rate since the last call; the rate only falls within it, where the share
// and the floor lapse.
void RateLimiter::Refill(Instant now, Bucket& bucket) const {
  while (bucket.refilled_at < now) {
    Instant until = now;
    for (const Instant lapse : {bucket.share_until, floor_until_}) {
      if (bucket.refilled_at < lapse && lapse < until) until = lapse;
    }
    const double rate = RateAt(bucket.refilled_at, bucket);
    bucket.tokens += rate * Seconds(until - bucket.refilled_at);
    bucket.refilled_at = until;
  }
  bucket.tokens = std::min(bucket.tokens, BurstOf(RateAt(now, bucket)));
}

Duration RateLimiter::RetryAfter(Instant now, const Bucket& bucket) const {
  const double rate = RateAt(now, bucket);
  const double missing = 1 - bucket.tokens;
  const double most = Seconds(config_.retry_after_max);
  const double seconds = rate <= 0 ? most : std::min(most, missing / rate);
  return Duration(static_cast<int64_t>(seconds * kMicrosecondsPerSecond) + 1);
}

void RateLimiter::UpdateDemand(Instant now, Bucket& bucket) const {
  const Duration interval = last_report_.has_value() ? now - *last_report_ : Duration::zero();
  // Early reports cover short intervals, which would exaggerate a single request.
  const double seconds = std::max(Seconds(interval), Seconds(config_.demand_interval_min));
  const double measured = static_cast<double>(bucket.asked) / seconds;
  bucket.demand += (measured - bucket.demand) * config_.demand_smoothing;
  bucket.asked = 0;
}

}  // namespace runshelf::admission
