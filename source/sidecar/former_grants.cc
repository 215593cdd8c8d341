#include "source/sidecar/former_grants.h"

#include <absl/strings/numbers.h>

#include "source/sidecar/part_configs.h"

namespace runshelf::sidecar {
namespace {

// Longer than the time-out of a call to the store.
constexpr Duration kRetryInterval = std::chrono::seconds(2);
constexpr std::string_view kValue = "in force until this item's lease ends";

}  // namespace

FormerGrants::FormerGrants(event::EventLoop& loop, store::StoreClient& store, LogWriter& log,
                           Duration max_lease)
    : store_(store), loop_(loop), log_(log), max_lease_(max_lease) {}

std::string FormerGrants::KeyOfPresentEra() const {
  return KeyOf(kFormerGrantsPrefix, std::to_string(store_.era()));
}

// The item may belong to an era that the store client has not reported yet.
void FormerGrants::OnItem(const store::Item& item) {
  store::StoreEra era = 0;
  if (!absl::SimpleAtoi(NameAfter(item.key, kFormerGrantsPrefix), &era)) return;
  if (!measured_era_.has_value() || era > *measured_era_) measured_era_ = era;
}

bool FormerGrants::OnRemoved(const std::string& key) {
  if (measured_era_ != store_.era() || key != KeyOfPresentEra()) return false;
  ended_era_ = measured_era_;
  log_.Write(LogLevel::kInfo, "former_grants_ended", {{"era", store_.era()}});
  return true;
}

void FormerGrants::OnEraBegan(store::StoreEra era) {
  if (measured_era_.has_value() && *measured_era_ < era) measured_era_.reset();
}

bool FormerGrants::MayBeInForce(Instant now) const {
  return ended_era_ != store_.era() && now < store_.era_since() + max_lease_;
}

void FormerGrants::Measure() {
  const Instant now = loop_.Now();
  if (measured_era_ == store_.era() || !MayBeInForce(now)) return;
  if (requested_at_ != Instant{} && now - requested_at_ < kRetryInterval) return;
  requested_at_ = now;
  store_.GrantLease(max_lease_, [this](const absl::StatusOr<store::Lease>& lease) {
    const bool fits = lease.ok() && lease->era == store_.era() && lease->time_to_live >= max_lease_;
    if (fits && measured_era_ != store_.era()) Write(*lease);
  });
}

void FormerGrants::Write(const store::Lease& lease) {
  const std::string key = KeyOfPresentEra();
  store::Transaction transaction;
  transaction.purpose = "former_grants";
  transaction.conditions.push_back({key, 0});
  transaction.puts.push_back({key, std::string(kValue), lease.id});
  store_.Commit(transaction, [this, lease](const absl::StatusOr<store::CommitResult>& result) {
    const bool committed = result.ok() && result->outcome == store::CommitOutcome::kCommitted;
    log_.Write(LogLevel::kInfo, "former_grants_measured",
               {{"era", lease.era}, {"committed", committed}});
  });
}

}  // namespace runshelf::sidecar
