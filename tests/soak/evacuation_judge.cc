#include "tests/soak/evacuation_judge.h"

#include <fmt/format.h>

namespace runshelf::soak {

void EvacuationJudge::OnBegan(const std::string& zone, const std::string& id, Instant at,
                              bool in_touch) {
  const auto evacuated = evacuated_at_.find(zone);
  if (!in_touch || evacuated == evacuated_at_.end()) return;
  const Duration late = at - evacuated->second;
  if (late <= evacuation_timeout_) return;
  violations_.push_back(fmt::format("evacuation: {} began in {} {} ms after it was evacuated", id,
                                    zone, ToMilliseconds(late)));
}

}  // namespace runshelf::soak
