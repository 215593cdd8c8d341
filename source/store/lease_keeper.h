// Holds one lease in the store and the items bound to it, and tells until when the lease is
// certainly in force.
#pragma once

#include <functional>
#include <string>

#include "source/event/event_loop.h"
#include "source/store/store_client.h"

namespace runshelf::store {

struct LeaseKeeperConfig {
  Duration time_to_live = std::chrono::seconds(8);
  Duration renewal_interval = std::chrono::seconds(2);
  Duration retry_interval = std::chrono::milliseconds(250);
  // Values that are set within this time of each other cost one call.
  Duration coalesce = std::chrono::milliseconds(10);
  // Subtracted from every bound: the clocks of this machine and the store may differ in rate.
  Duration safety_margin = std::chrono::milliseconds(250);
  std::string key;  // Of the item that announces this process.
};

// Renews the lease, takes a new one when it is over, and writes the item again whenever its value
// changes or it went with a lease.
class LeaseKeeper {
 public:
  LeaseKeeper(event::EventLoop& loop, StoreClient& store, LeaseKeeperConfig config);

  void Start();
  // Renews the lease before it is due, to learn whether the store answers; not more often than
  // failed calls are repeated.
  void RenewNow();
  // Renews once more while the answer to a renewal is awaited, which may never come.
  void ResendRenewal();
  // For which the answer to a renewal is awaited now; zero when none is.
  Duration RenewalPendingFor() const;
  // Ends the lease: its item goes at once.
  void End();
  // The store came back from an older copy of its data: the lease may be gone, and its id
  // another's.
  void OnStoreRestored();
  // The value of the item; written as soon as a lease is held.
  void SetValue(const std::string& value);
  // A new lease was taken and its item is written: what depended on an earlier one must be read
  // again before it is relied on.
  void set_on_new_lease(std::function<void()> callback) { on_new_lease_ = std::move(callback); }

  // The lease is in force at least until then: counted from before the last renewal was sent.
  // Instant{} when there is none.
  Instant ValidUntil() const { return valid_until_; }
  // The same for a lease of this process that was granted in `era` of the store. The one of the era
  // before runs on as far as this process alone is concerned.
  Instant ValidUntilIn(StoreEra era) const;
  LeaseId lease() const { return lease_; }
  // When the latest call that the store granted or renewed the lease for was sent.
  Instant renewed_at() const { return renewed_at_; }
  // Holds while the item is the one that this process wrote last: another process with the same
  // key, an earlier or a later life of this one, has not written since.
  Condition ItemUnchanged() const { return {config_.key, item_revision_}; }
  // The item with the value set last is in the store under the lease in force.
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
  LeaseId lease_ = 0;
  uint64_t generation_ =
      0;              // Of the lease: ids may come again. Answers of earlier ones are ignored.
  StoreEra era_ = 0;  // Of the lease held last.
  StoreEra former_era_ = 0;
  Instant former_valid_until_{};  // Of the lease of that era.
  LeaseId written_lease_ = 0;
  std::string value_;
  std::string written_value_;
  Revision item_revision_ = 0;  // Zero while the item is believed absent.
  Duration time_to_live_{0};    // As the store granted it.
  Instant valid_until_{};
  Instant renewed_at_{};
  Instant renewal_sent_at_{};
  bool calling_ = false;
  bool writing_ = false;
  bool ended_ = false;
};

}  // namespace runshelf::store
