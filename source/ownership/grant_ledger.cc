#include "runshelf/ownership/grant_ledger.h"

#include <algorithm>
#include <cmath>

namespace runshelf::ownership {

GrantLedger::GrantLedger(Duration grant_duration, double clock_rate_margin)
    : duration_with_margin_(static_cast<int64_t>(
          std::ceil(static_cast<double>(grant_duration.count()) * (1 + clock_rate_margin)))) {}

void GrantLedger::BeginLeadership(Instant now) {
  expiry_.clear();
  suspended_expiry_.clear();
  expiry_of_unknown_ = now + duration_with_margin_;
}

void GrantLedger::OnSuspended(const InstanceId& instance, Instant learnt_at) {
  suspended_expiry_[instance] = learnt_at + duration_with_margin_;
}

void GrantLedger::Forget(const InstanceId& instance) {
  expiry_.erase(instance);
  suspended_expiry_.erase(instance);
}

void GrantLedger::OnIssued(Instant now, const InstanceId& instance) {
  Instant& expiry = expiry_[instance];
  expiry = std::max(expiry, now + duration_with_margin_);
}

Instant GrantLedger::ExpiryOf(const InstanceId& instance) const {
  Instant of_earlier_leaders = expiry_of_unknown_;
  const auto suspended = suspended_expiry_.find(instance);
  if (suspended != suspended_expiry_.end()) {
    of_earlier_leaders = std::min(of_earlier_leaders, suspended->second);
  }
  const auto issued = expiry_.find(instance);
  if (issued == expiry_.end()) return of_earlier_leaders;
  return std::max(issued->second, of_earlier_leaders);
}

}  // namespace runshelf::ownership
