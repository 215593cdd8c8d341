#include "runshelf/admission/limit_allocator.h"

#include <algorithm>
#include <cmath>

namespace runshelf::admission {
namespace {

// Part of what is left to demand that is split evenly while demand is below the limit, so that an
// instance whose callers begin to ask is not refused until its next report.
constexpr double kEvenPart = 0.5;
// Headroom over the reported demand while the demand of all is below the limit.
constexpr double kDemandHeadroom = 2;
// A demand that was not reported for this many renewals is forgotten.
constexpr int kRenewalsRemembered = 3;

double HeldShare(const ShareReport& report, const CellDemand& demand) {
  for (const CellShare& share : report.held) {
    const bool same = share.service == demand.service && share.caller_class == demand.caller_class;
    if (same) return share.requests_per_second;
  }
  return 0;
}

bool IsValid(double amount) { return std::isfinite(amount) && amount >= 0; }

}  // namespace

void OutstandingGrants::Add(uint64_t sequence, double amount, Instant expires_at) {
  // A newer grant that is larger and lasts longer makes an older one irrelevant.
  std::erase_if(grants_, [&](const Grant& grant) {
    return grant.amount <= amount && grant.expires_at <= expires_at;
  });
  grants_.push_back({sequence, amount, expires_at});
}

void OutstandingGrants::DropBefore(uint64_t sequence) {
  std::erase_if(grants_, [&](const Grant& grant) { return grant.sequence < sequence; });
}

void OutstandingGrants::DropExpired(Instant now) {
  std::erase_if(grants_, [&](const Grant& grant) { return grant.expires_at <= now; });
}

double OutstandingGrants::Largest() const {
  double largest = 0;
  for (const Grant& grant : grants_) largest = std::max(largest, grant.amount);
  return largest;
}

std::optional<ShareGrant> LimitAllocator::OnReport(Instant now, const ShareReport& report,
                                                   size_t known_instances,
                                                   const LimitLookup& limit_of) {
  if (report.leader_term != term_) return std::nullopt;
  FloorHolder& holder = floors_[report.instance];
  if (report.sequence <= holder.last_sequence) return std::nullopt;
  holder.last_sequence = report.sequence;
  ShareGrant grant;
  grant.sequence = report.sequence;
  grant.floor_fraction = FloorFor(now, report, std::max<size_t>(known_instances, 1));
  grant.floor_valid_for = config_.floor_valid_for;
  for (const CellDemand& demand : report.demands) {
    const std::optional<double> limit = limit_of(demand.service, demand.caller_class);
    if (!limit.has_value() || !IsValid(demand.requests_per_second)) continue;
    const double share = ShareFor(now, report, demand, *limit, known_instances);
    grant.shares.push_back({demand.service, demand.caller_class, share, config_.share_valid_for});
  }
  return grant;
}

double LimitAllocator::FloorFor(Instant now, const ShareReport& report, size_t known_instances) {
  const bool predecessor_lapsed = PredecessorLapsed(now, config_.floor_valid_for);
  double given_to_others = 0;
  for (auto& [instance, holder] : floors_) {
    holder.grants.DropExpired(now);
    if (instance != report.instance) given_to_others += holder.grants.Largest();
  }
  double fraction = 1.0 / static_cast<double>(known_instances);
  fraction = std::min(fraction, std::max(0.0, 1 - given_to_others));
  if (!predecessor_lapsed) fraction = std::min(fraction, report.floor_fraction);
  OutstandingGrants& own = floors_[report.instance].grants;
  own.DropBefore(report.applied_sequence);
  own.Add(report.sequence, fraction, now + WithMargin(config_.floor_valid_for));
  return fraction;
}

double LimitAllocator::ShareFor(Instant now, const ShareReport& report, const CellDemand& demand,
                                double limit, size_t known_instances) {
  const bool predecessor_lapsed = PredecessorLapsed(now, config_.share_valid_for);
  Cell& cell = cells_[CellKey(demand.service, demand.caller_class)];
  CellHolder& own = cell[report.instance];
  own.demand = std::min(demand.requests_per_second, limit);
  own.reported_at = now;
  own.grants.DropBefore(report.applied_sequence);
  double given_to_others = 0;
  double demand_of_all = 0;
  const Duration remembered = config_.renewal_interval * kRenewalsRemembered;
  for (auto& [instance, holder] : cell) {
    holder.grants.DropExpired(now);
    if (instance != report.instance) given_to_others += holder.grants.Largest();
    if (now - holder.reported_at <= remembered) demand_of_all += holder.demand;
  }
  const double pool = limit * (1 - kFloorPart);
  double share = 0;
  if (demand_of_all * kDemandHeadroom > pool) {
    share = pool * own.demand / demand_of_all;
  } else {
    const double even =
        pool * kEvenPart / static_cast<double>(std::max<size_t>(known_instances, 1));
    share = std::max(own.demand * kDemandHeadroom, even);
  }
  share = std::min(share, std::max(0.0, pool - given_to_others));
  if (!predecessor_lapsed) share = std::min(share, HeldShare(report, demand));
  own.grants.Add(report.sequence, share, now + WithMargin(config_.share_valid_for));
  return share;
}

void LimitAllocator::Tick(Instant now) {
  const Duration remembered = config_.renewal_interval * kRenewalsRemembered;
  for (auto& [key, cell] : cells_) {
    for (auto& [instance, holder] : cell) holder.grants.DropExpired(now);
    std::erase_if(cell, [&](const auto& entry) {
      return entry.second.grants.empty() && now - entry.second.reported_at > remembered;
    });
  }
  std::erase_if(cells_, [](const auto& entry) { return entry.second.empty(); });
  for (auto& [instance, holder] : floors_) holder.grants.DropExpired(now);
  std::erase_if(floors_, [](const auto& entry) { return entry.second.grants.empty(); });
}

bool LimitAllocator::PredecessorLapsed(Instant now, Duration valid_for) const {
  return !has_predecessor_ || now >= took_office_ + WithMargin(valid_for);
}

// How long a grant may be in force at its holder, on this machine's clock.
Duration LimitAllocator::WithMargin(Duration duration) const {
  const auto microseconds = static_cast<double>(duration.count());
  return Duration(static_cast<int64_t>(microseconds * (1 + config_.clock_rate_margin)) + 1);
}

}  // namespace runshelf::admission
