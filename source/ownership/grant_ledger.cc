#include "runshelf/ownership/grant_ledger.h"

#include <algorithm>
#include <cmath>

namespace runshelf::ownership {

GrantLedger::GrantLedger(Duration grant_duration, double clock_rate_margin)
    : duration_with_margin_(static_cast<int64_t>(
          std::ceil(static_cast<double>(grant_duration.count()) * (1 + clock_rate_margin)))) {}

void GrantLedger::BeginLeadership(Instant now) {
  expiry_.clear();
  expiry_of_unknown_ = now + duration_with_margin_;
}

void GrantLedger::OnIssued(Instant now, const InstanceId& instance) {
  Instant& expiry = expiry_[instance];
  expiry = std::max(expiry, now + duration_with_margin_);
}

Instant GrantLedger::ExpiryOf(const InstanceId& instance) const {
  const auto found = expiry_.find(instance);
  if (found == expiry_.end()) return expiry_of_unknown_;
  return std::max(found->second, expiry_of_unknown_);
}

}  // namespace runshelf::ownership
