#include "tests/soak/cold_start_judge.h"

#include <fmt/format.h>

#include <algorithm>

namespace runshelf::soak {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

}  // namespace

void ColdStartJudge::OnBegan(const std::string& worker, Instant sent_at, Instant at) {
  const auto cold = cold_until_.find(worker);
  if (cold == cold_until_.end() || at >= cold->second) return;
  std::vector<Arrival>& arrivals = arrivals_[worker];
  std::erase_if(arrivals, [at](const Arrival& arrival) { return arrival.at <= at - kSecond; });
  arrivals.push_back({sent_at, at});
  const auto counted = static_cast<size_t>(
      std::count_if(arrivals.begin(), arrivals.end(),
                    [at](const Arrival& arrival) { return arrival.sent_at > at - kSecond; }));
  if (counted <= most_per_second_) return;
  violations_.push_back(
      fmt::format("cold: {} got {} requests within a second, {} ms before it is warm", worker,
                  counted, ToMilliseconds(cold->second - at)));
  arrivals.clear();
}

}  // namespace runshelf::soak
