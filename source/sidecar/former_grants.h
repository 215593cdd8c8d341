// Tracks whether key grants from earlier eras of the store may still be valid.
//
// No grant outlasts the lease of the node that issued it, and leases of earlier eras were last
// renewed before the store was restored. All such grants have therefore expired once a lease taken
// in the present era, with the maximum duration, has expired. One item with such a lease measures
// this time for the whole fleet, so that a process that starts in the meantime need not wait for
// the full time again.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "source/event/event_loop.h"
#include "source/sidecar/log_writer.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Key prefix of the items, followed by the era.
constexpr std::string_view kFormerGrantsPrefix = "runshelf/former-grants/";

// Not thread-safe: must be used on the thread of its event loop.
class FormerGrants {
 public:
  // `max_lease`: the longest lease of a node.
  FormerGrants(event::EventLoop& loop, store::StoreClient& store, LogWriter& log,
               Duration max_lease);

  static bool IsItemKey(std::string_view key) { return key.starts_with(kFormerGrantsPrefix); }

  // Applies an item from the store.
  void OnItem(const store::Item& item);
  // An item was removed or expired. Returns true if that means that the grants have expired.
  bool OnRemoved(const std::string& key);
  // The state is that of `era` from now on. Items that disappear with an earlier era have not
  // expired.
  void OnEraBegan(store::StoreEra era);

  // Starts to measure the time unless that has been done, because keys cannot be assigned until the
  // grants have expired.
  void Measure();
  // Whether grants of earlier eras may still be valid.
  bool MayBeInForce(Instant now) const;

 private:
  std::string KeyOfPresentEra() const;
  void Write(const store::Lease& lease);

  store::StoreClient& store_;
  event::EventLoop& loop_;
  LogWriter& log_;
  Duration max_lease_;
  std::optional<store::StoreEra> measured_era_;  // Era whose item is in the store.
  std::optional<store::StoreEra> ended_era_;     // Era whose item has expired.
  Instant requested_at_{};                       // Time of the latest lease request for the item.
};

}  // namespace runshelf::sidecar
