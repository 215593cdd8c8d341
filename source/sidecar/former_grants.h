// Tells whether grants of keys from former eras of the store may still be in force.
//
// No grant outlasts the lease of the node that gave it, and leases of former eras were renewed
// before the store came back. So they have ended once a lease that was taken in the present era,
// and lasts as long, has run out. One item under such a lease measures that time for the whole
// fleet: a process that starts meanwhile does not wait for the same time again.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "source/event/event_loop.h"
#include "source/sidecar/log_writer.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Keys of the items; the era follows.
constexpr std::string_view kFormerGrantsPrefix = "runshelf/former-grants/";

class FormerGrants {
 public:
  // `max_lease`: the longest lease of a node.
  FormerGrants(event::EventLoop& loop, store::StoreClient& store, LogWriter& log,
               Duration max_lease);

  static bool IsItemKey(std::string_view key) { return key.starts_with(kFormerGrantsPrefix); }

  void OnItem(const store::Item& item);
  // True when it tells that the grants have ended.
  bool OnRemoved(const std::string& key);
  // The state is that of this era from here on: what is gone with the former one has not run out.
  void OnEraBegan(store::StoreEra era);

  // Keys wait for the end of these grants: the time is to be measured from now on at the latest.
  void Measure();
  bool MayBeInForce(Instant now) const;

 private:
  std::string KeyOfPresentEra() const;
  void Write(const store::Lease& lease);

  store::StoreClient& store_;
  event::EventLoop& loop_;
  LogWriter& log_;
  Duration max_lease_;
  std::optional<store::StoreEra> measured_era_;  // The item of this era is in the store.
  std::optional<store::StoreEra> ended_era_;     // The item of this era has run out.
  Instant requested_at_{};                       // For the item, the latest time.
};

}  // namespace runshelf::sidecar
