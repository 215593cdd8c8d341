// Decides which calls of the stand-in platform fail, and how.
#pragma once

#include <cstdint>
#include <mutex>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"

namespace runshelf::platform_standin {

// What callers meet during an outage.
enum class OutageMode {
  kRefuse,  // A refusal: the call certainly had no effect.
  kClose,   // The connection is closed without an answer, and without effect.
};

struct FaultSettings {
  bool outage = false;
  OutageMode outage_mode = OutageMode::kRefuse;
  Duration delay{0};                   // Waited before each call takes effect.
  double lose_answer_probability = 0;  // Of writes: they take effect, but no answer is sent.
  uint64_t lose_next_answers = 0;      // So many writes from now on lose their answer.
  uint64_t rate_limit_per_second = 0;  // Calls beyond it are refused; zero means no limit.
};

enum class FaultAction { kNone, kRefuse, kClose, kRateLimit, kLoseAnswer };

enum class CallKind { kRead, kWrite };

// Safe to call from any thread.
class FaultInjector {
 public:
  explicit FaultInjector(uint64_t seed) : random_(seed) {}

  // Replaces the settings and fills up the rate limit's budget.
  void Set(Instant now, const FaultSettings& settings);
  FaultSettings settings() const;

  // Decides the fate of one call to the key-value service.
  FaultAction Decide(Instant now, CallKind kind);

 private:
  bool TakeRateToken(Instant now);

  mutable std::mutex mutex_;
  SeededRandom random_;  // Guarded by mutex_, like all below.
  FaultSettings settings_;
  double rate_tokens_ = 0;  // Calls that may be made now; a burst of one second at most.
  Instant rate_tokens_at_;
};

}  // namespace runshelf::platform_standin
