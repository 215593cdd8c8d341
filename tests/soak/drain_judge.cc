#include "tests/soak/drain_judge.h"

#include <fmt/format.h>

namespace runshelf::soak {

void DrainJudge::OnBegan(const std::string& worker, const std::string& id, Instant at,
                         bool in_touch) {
  const auto left = acknowledged_.find(worker);
  if (!in_touch || left == acknowledged_.end() || at - left->second <= drain_timeout_) return;
  violations_.push_back(fmt::format("drain: {} began {} {} ms after its leaving was acknowledged",
                                    worker, id, ToMilliseconds(at - left->second)));
}

}  // namespace runshelf::soak
