#include "source/sidecar/class_limiter.h"

#include <algorithm>

namespace runshelf::sidecar {
namespace {

// Capacity of a bucket, as the time in which it fills up at the rate of its class.
constexpr double kBurstSeconds = 0.1;
// Upper limit of the returned time, and the value for a rate of zero.
constexpr Duration kMaxWait = std::chrono::seconds(5);

}  // namespace

Duration ClassLimiter::Admit(Instant now, const std::string& caller_class, double rate) {
  if (rate <= 0) return kMaxWait;
  const auto [found, added] = buckets_.try_emplace(caller_class);
  Bucket& bucket = found->second;
  if (!added) {
    const double seconds = std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(std::max(1.0, rate * kBurstSeconds), bucket.tokens + seconds * rate);
  }
  bucket.refilled_at = now;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return Duration(0);
  }
  const auto wait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((1 - bucket.tokens) / rate));
  return std::clamp(wait, Duration(std::chrono::milliseconds(1)), kMaxWait);
}

}  // namespace runshelf::sidecar
