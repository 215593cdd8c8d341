// Spaces out attempts at something that has no substitute and refuses or cannot be reached.
#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "runshelf/common/clock.h"

namespace runshelf::routing {

struct ProbePacerConfig {
  Duration interval_min = std::chrono::milliseconds(5);  // After a failure; doubles with each.
  Duration interval_max = std::chrono::milliseconds(50);
};

// After a failure, lets one of all waiting requests through in each interval until one succeeds, so
// that a lost owner costs a few probes and not one per waiting request. Deterministic; not
// thread-safe.
template <typename Key>
class ProbePacer {
 public:
  explicit ProbePacer(const ProbePacerConfig& config) : config_(config) {}

  void OnSuccess(const Key& key) {
    if (!states_.empty()) states_.erase(key);
  }

  void OnFailure(Instant now, const Key& key) {
    State& state = states_[key];
    state.interval = std::clamp(state.interval * 2, config_.interval_min, config_.interval_max);
    state.next_probe = now + state.interval;
  }

  // Returns nullopt when the caller may try now, otherwise the instant to ask again.
  std::optional<Instant> AskToTry(Instant now, const Key& key) {
    const auto found = states_.find(key);
    if (found == states_.end()) return std::nullopt;
    State& state = found->second;
    if (now < state.next_probe) return state.next_probe;
    state.next_probe = now + state.interval;
    return std::nullopt;
  }

  void Clear() { states_.clear(); }

 private:
  struct State {
    Duration interval{0};
    Instant next_probe{};
  };

  ProbePacerConfig config_;
  std::map<Key, State> states_;  // Only of keys whose latest attempt failed.
};

}  // namespace runshelf::routing
