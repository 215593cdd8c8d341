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

void DrainJudge::OnBeganAfterStatement(const BegunRequest& request) {
  const auto passed_on = passed_on_.find({request.worker, request.machine});
  if (passed_on == passed_on_.end()) return;
  const Instant told_at = passed_on->second;
  if (request.sent_at - told_at <= drain_timeout_ || request.machine_disturbed_at >= told_at)
    return;
  violations_.push_back(fmt::format(
      "drain: {} began {}, sent {} ms after machine {} passed on that it leaves", request.worker,
      request.id, ToMilliseconds(request.sent_at - told_at), request.machine));
}

}  // namespace runshelf::soak
