#include "source/coordination/load_tracker.h"

#include <algorithm>
#include <cmath>

namespace runshelf::coordination {
namespace {

// Time constant of the smoothing: long enough that chance does not move slots.
constexpr double kSmoothingSeconds = 3.0;

// Every slot counts as at least this much, so that an idle service is balanced by slots.
constexpr double kBaseRequestsPerSecond = 1.0;

// Slots whose smoothed rate falls below this are forgotten.
constexpr double kNegligibleRequestsPerSecond = 0.05;

double SecondsBetween(Instant from, Instant to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void LoadTracker::Clear() { services_.clear(); }

void LoadTracker::OnReport(Instant now, const std::string& service,
                           const std::vector<SlotRange>& owned, double requests_per_second,
                           const std::vector<SlotLoad>& hottest_slots) {
  std::map<SlotNumber, double> reported;
  double reported_sum = 0;
  for (const SlotLoad& load : hottest_slots) {
    reported[load.slot] = load.requests_per_second;
    reported_sum += load.requests_per_second;
  }
  const std::vector<SlotNumber> slots = FromRanges(owned);
  if (slots.empty()) return;
  // Slots outside the report share what it leaves.
  const double others = static_cast<double>(slots.size()) - static_cast<double>(reported.size());
  const double rest = others > 0 ? std::max(0.0, requests_per_second - reported_sum) / others : 0.0;
  ServiceRates& rates = services_[service];
  for (const SlotNumber slot : slots) {
    const auto found = reported.find(slot);
    const double sample = found == reported.end() ? rest : found->second;
    SlotRate& rate = rates.slots[slot];
    const double elapsed = rate.updated == Instant{} ? 0 : SecondsBetween(rate.updated, now);
    const double weight = 1 - std::exp(-elapsed / kSmoothingSeconds);
    rate.requests_per_second += weight * (sample - rate.requests_per_second);
    rate.updated = now;
  }
}

std::map<std::string, ownership::ServiceLoad> LoadTracker::Loads() const {
  std::map<std::string, ownership::ServiceLoad> loads;
  for (const auto& [service, rates] : services_) {
    ownership::ServiceLoad& load = loads[service];
    load.rest_per_slot = kBaseRequestsPerSecond;
    for (const auto& [slot, rate] : rates.slots) {
      if (rate.requests_per_second < kNegligibleRequestsPerSecond) continue;
      load.measured[slot] = rate.requests_per_second + kBaseRequestsPerSecond;
    }
  }
  return loads;
}

}  // namespace runshelf::coordination
