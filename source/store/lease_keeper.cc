#include "source/store/lease_keeper.h"

#include <algorithm>
#include <utility>

namespace runshelf::store {
namespace {

// The clock rates of this machine and of the store may differ by 1/50 (2 %).
constexpr int kClockRateDivisor = 50;
// Timers count whole milliseconds from the start of an event loop iteration and may fire this much
// early; such a renewal must not be postponed by another interval.
constexpr Duration kTimerRounding = std::chrono::milliseconds(2);

}  // namespace

LeaseKeeper::LeaseKeeper(event::EventLoop& loop, StoreClient& store, LeaseKeeperConfig config)
    : loop_(loop),
      store_(store),
      config_(std::move(config)),
      timer_(loop, [this] { Tick(); }),
      write_timer_(loop, [this] { WriteItem(); }) {}

void LeaseKeeper::Start() { Tick(); }

void LeaseKeeper::End() {
  ended_ = true;
  timer_.Stop();
  write_timer_.Stop();
  valid_until_ = Instant{};
  if (lease_ != 0) store_.EndLease(lease_);
  lease_ = 0;
}

void LeaseKeeper::OnStoreRestored() {
  if (ended_) return;
  if (lease_ != 0) {
    former_era_ = era_;
    former_valid_until_ = valid_until_;
  }
  OnLeaseLost();
}

Instant LeaseKeeper::ValidUntilIn(StoreEra era) const {
  if (lease_ != 0 && era == era_) return valid_until_;
  return era == former_era_ ? former_valid_until_ : Instant{};
}

void LeaseKeeper::SetValue(const std::string& value) {
  if (value == value_) return;
  value_ = value;
  if (!write_timer_.active()) write_timer_.Start(config_.coalesce);
}

void LeaseKeeper::Tick() {
  if (ended_) return;
  if (calling_) {
    timer_.Start(config_.retry_interval);
    return;
  }
  if (lease_ == 0) {
    TakeLease();
  } else {
    if (loop_.Now() - renewed_at_ + kTimerRounding >= config_.renewal_interval) Renew();
    WriteItem();
  }
  const bool settled = lease_ != 0 && !calling_ && announced();
  timer_.Start(settled ? config_.renewal_interval : config_.retry_interval);
}

void LeaseKeeper::RenewNow() {
  if (ended_ || calling_ || lease_ == 0) return;
  if (loop_.Now() - renewal_sent_at_ >= config_.retry_interval) Renew();
}

void LeaseKeeper::ResendRenewal() {
  if (RenewalPendingFor() > Duration(0)) Renew();
}

Duration LeaseKeeper::RenewalPendingFor() const {
  const bool awaits = !ended_ && calling_ && lease_ != 0;
  return awaits ? loop_.Now() - renewal_sent_at_ : Duration(0);
}

void LeaseKeeper::Extend(Instant sent, Duration time_to_live) {
  renewed_at_ = sent;
  const Duration usable = time_to_live - time_to_live / kClockRateDivisor - config_.safety_margin;
  valid_until_ = std::max(valid_until_, sent + usable);
}

void LeaseKeeper::TakeLease() {
  calling_ = true;
  const Instant sent = loop_.Now();
  store_.GrantLease(config_.time_to_live, [this, sent](absl::StatusOr<Lease> lease) {
    calling_ = false;
    if (ended_) return;
    // A lease granted in a former era no longer exists.
    if (!lease.ok() || lease->era != store_.era()) return;
    lease_ = lease->id;
    era_ = lease->era;
    time_to_live_ = lease->time_to_live;
    valid_until_ = Instant{};
    Extend(sent, time_to_live_);
    WriteItem();
  });
}

void LeaseKeeper::Renew() {
  calling_ = true;
  const Instant sent = loop_.Now();
  renewal_sent_at_ = sent;
  store_.KeepLease(lease_, [this, sent, generation = generation_](const absl::Status& status) {
    calling_ = false;
    if (ended_ || generation != generation_) return;
    if (status.ok()) {
      Extend(sent, time_to_live_);
      timer_.Start(config_.renewal_interval);
    } else if (absl::IsNotFound(status)) {
      OnLeaseLost();
    }
  });
}

void LeaseKeeper::OnLeaseLost() {
  ++generation_;
  lease_ = 0;
  written_lease_ = 0;
  valid_until_ = Instant{};
  timer_.Start(Duration(0));
}

void LeaseKeeper::WriteItem() {
  if (ended_ || lease_ == 0 || writing_ || announced() || value_.empty()) return;
  writing_ = true;
  const LeaseId lease = lease_;
  const std::string value = value_;
  // The condition prevents a write whose response was lost from being applied after a later write.
  Transaction transaction;
  transaction.purpose = "node_record";
  transaction.conditions.push_back({config_.key, item_revision_});
  transaction.puts.push_back({config_.key, value, lease});
  store_.Commit(transaction, [this, lease, value,
                              generation = generation_](absl::StatusOr<CommitResult> result) {
    writing_ = false;
    if (ended_ || generation != generation_) return;
    if (!result.ok()) {
      // The write may have been applied, or may still be: the value of the item is unknown.
      written_value_.clear();
      return;
    }
    if (result->outcome == CommitOutcome::kLeaseEnded) {
      OnLeaseLost();
      return;
    }
    if (result->outcome == CommitOutcome::kConflict) {
      item_revision_ = result->found.empty() ? 0 : result->found.front().revision;
      const bool former = !result->found.empty() && written_lease_ == 0;
      if (former && on_former_item_) on_former_item_(result->found.front());
      WriteItem();
      return;
    }
    item_revision_ = result->revision;
    const bool new_lease = written_lease_ != lease;
    written_lease_ = lease;
    written_value_ = value;
    if (new_lease && on_new_lease_) on_new_lease_();
    WriteItem();
  });
}

}  // namespace runshelf::store
