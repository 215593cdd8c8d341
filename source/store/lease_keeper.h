// Maintains one lease in the store and the item bound to it, and reports until when the lease is
// guaranteed to be valid.
#pragma once

#include <functional>
#include <string>

#include "source/event/event_loop.h"
#include "source/store/store_client.h"

namespace runshelf::store {

// Times of the lease and key of its item.
struct LeaseKeeperConfig {
  Duration time_to_live = std::chrono::seconds(8);
  Duration renewal_interval = std::chrono::seconds(2);
  Duration retry_interval = std::chrono::milliseconds(250);
  // Values set within this time of each other are written with one call.
  Duration coalesce = std::chrono::milliseconds(10);
  // Subtracted from the validity of the lease: the clocks of this machine and of the store may
  // differ in rate.
  Duration safety_margin = std::chrono::milliseconds(250);
  std::string key;  // Key of the item that announces this process.
};

// Renews the lease, acquires a new one when it has ended, and writes the item again whenever its
// value changes or the item was removed together with a lease.
class LeaseKeeper {
 public:
  LeaseKeeper(event::EventLoop& loop, StoreClient& store, LeaseKeeperConfig config);

  // Acquires the first lease and begins to renew it.
  void Start();
  // Renews the lease before the renewal is due, to check whether the store responds; at most once
  // per `retry_interval`.
  void RenewNow();
  // Sends another renewal if one is still unanswered, as its response may be lost.
  void ResendRenewal();
  // How long the pending renewal has been unanswered; zero if none is pending.
  Duration RenewalPendingFor() const;
  // Revokes the lease; the store removes its item immediately.
  void End();
  // To be called when the store was restored from a backup: the lease may be gone, and its id may
  // belong to another lease.
  void OnStoreRestored();
  // Sets the value of the item, which is written as soon as a lease is held.
  void SetValue(const std::string& value);
  // Called when a new lease was acquired and its item is written. State that depended on an earlier
  // lease must be read again before it is relied on.
  void set_on_new_lease(std::function<void()> callback) { on_new_lease_ = std::move(callback); }
  // Called with the item of an earlier process when it is found in place of this one's.
  void set_on_former_item(std::function<void(const Item&)> callback) {
    on_former_item_ = std::move(callback);
  }

  // The lease is valid at least until this time, counted from the sending of the last successful
  // renewal. Instant{} if there is no lease.
  Instant ValidUntil() const { return valid_until_; }
  // The same for the lease of this process that was granted in `era` of the store. After a restore
  // the lease of the former era still counts, for this process only, until it would have expired.
  Instant ValidUntilIn(StoreEra era) const;
  LeaseId lease() const { return lease_; }
  // When the latest successful grant or renewal was sent.
  Instant renewed_at() const { return renewed_at_; }
  // Satisfied while the item is the one this process wrote last, that is, while no other process
  // with the same key, such as an earlier or a later run of this node, has written it since.
  Condition ItemUnchanged() const { return {config_.key, item_revision_}; }
  // The store holds the latest value of the item under the current lease.
  bool announced() const {
    return lease_ != 0 && written_value_ == value_ && written_lease_ == lease_;
  }

 private:
  void Tick();
  void TakeLease();
  void Renew();
  void WriteItem();
  void OnLeaseLost();
  void Extend(Instant sent, Duration time_to_live);

  event::EventLoop& loop_;
  StoreClient& store_;
  LeaseKeeperConfig config_;
  event::Timer timer_;
  event::Timer write_timer_;
  std::function<void()> on_new_lease_;
  std::function<void(const Item&)> on_former_item_;
  LeaseId lease_ = 0;
  // Counts leases, as the store may reuse ids. Responses to calls of earlier leases are ignored.
  uint64_t generation_ = 0;
  StoreEra era_ = 0;  // Era of the latest lease.
  StoreEra former_era_ = 0;
  Instant former_valid_until_{};  // Validity of the lease of `former_era_`.
  LeaseId written_lease_ = 0;
  std::string value_;
  std::string written_value_;
  Revision item_revision_ = 0;  // Zero while the item is assumed not to exist.
  Duration time_to_live_{0};    // As granted by the store.
  Instant valid_until_{};
  Instant renewed_at_{};
  Instant renewal_sent_at_{};
  bool calling_ = false;
  bool writing_ = false;
  bool ended_ = false;
};

}  // namespace runshelf::store
