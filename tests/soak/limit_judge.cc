#include "tests/soak/limit_judge.h"

#include <fmt/format.h>

namespace runshelf::soak {
namespace {

constexpr Duration kPeriod = std::chrono::seconds(4);
// A machine is bound this long after it passed on an answer with the limit.
constexpr Duration kNoticeTime = std::chrono::milliseconds(500);
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedRequests = 5;

}  // namespace

void LimitJudge::OnLimitChanged(const std::string& worker, double rate, Instant at) {
  limits_.erase(worker);
  if (rate > 0) limits_[worker] = {rate, at, {}, {}};
}

void LimitJudge::OnPassedOn(const std::string& worker, size_t machine, Instant at) {
  const auto found = limits_.find(worker);
  if (found != limits_.end()) found->second.passed_on_at.try_emplace(machine, at);
}

void LimitJudge::OnBegan(const std::string& worker, size_t machine, Instant at,
                         Instant disturbed_at) {
  const auto found = limits_.find(worker);
  if (found == limits_.end()) return;
  Limit& limit = found->second;
  const auto passed_on = limit.passed_on_at.find(machine);
  if (passed_on == limit.passed_on_at.end() || at - passed_on->second < kNoticeTime) return;
  if (disturbed_at >= passed_on->second) {
    // The machine is bound again once it passes on another answer.
    limit.passed_on_at.erase(passed_on);
    return;
  }
  limit.counted.push_back(at);
  while (at - limit.counted.front() > kPeriod) limit.counted.pop_front();
  const double allowed =
      limit.rate * std::chrono::duration<double>(kPeriod).count() * kToleratedFactor +
      kToleratedRequests;
  if (at - limit.first_stated_at < contact_window_) return;
  if (static_cast<double>(limit.counted.size()) <= allowed) return;
  violations_.push_back(fmt::format("limit: {} got {} requests within {} ms at {:.1f} a second",
                                    worker, limit.counted.size(), ToMilliseconds(kPeriod),
                                    limit.rate));
  limit.counted.clear();
}

}  // namespace runshelf::soak
