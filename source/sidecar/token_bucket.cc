#include "source/sidecar/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace runshelf::sidecar {
namespace {

// Memory of refused requests. Those who are refused return within about this time.
constexpr Duration kRefusalMemory = std::chrono::seconds(1);

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration FromSeconds(double seconds) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void TokenBucket::Configure(Instant now, double rate, double capacity) {
  tokens_ = std::min(TokensAt(now), capacity);
  filled_at_ = now;
  rate_ = rate;
  capacity_ = capacity;
}

void TokenBucket::Drain(Instant now, double owed) {
  tokens_ = -owed;
  filled_at_ = now;
}

double TokenBucket::TokensAt(Instant now) const {
  return std::min(capacity_, tokens_ + Seconds(now - filled_at_) * rate_);
}

Duration TokenBucket::TimeToToken(Instant now) const {
  const double missing = 1 - TokensAt(now);
  return missing <= 0 ? Duration(0) : FromSeconds(missing / rate_);
}

void TokenBucket::Take(Instant now) {
  tokens_ = TokensAt(now) - 1;
  filled_at_ = now;
}

Duration RefusalBacklog::Add(Instant now, double rate) {
  refused_lately_ *= std::exp(-Seconds(now - refused_at_) / Seconds(kRefusalMemory));
  refused_at_ = now;
  const Duration behind_others = FromSeconds(refused_lately_ / rate);
  refused_lately_ += 1;
  return behind_others;
}

}  // namespace runshelf::sidecar
