// The leader's record of how long each instance may still believe that it owns its slots.
//
// Invariant: at the instant ExpiryOf(i) on the leader's clock, every grant that was ever issued to
// i has run out on i's own clock, as long as no two clocks differ in rate by more than the margin.
// It holds because a grant lasts `grant_duration` from before its renewal was sent, and the leader
// counts from when it received that renewal, which is later. A new leader does not know what its
// predecessor issued, but the predecessor issued nothing after its lease had ended, which was
// before the new leader's term began: so it assumes that everybody was renewed at that moment.
#pragma once

#include <map>

#include "runshelf/common/clock.h"
#include "runshelf/common/instance_id.h"

namespace runshelf::ownership {

class GrantLedger {
 public:
  GrantLedger(Duration grant_duration, double clock_rate_margin);

  // Forgets everything: leadership begins at `now`.
  void BeginLeadership(Instant now);

  // This replica learnt at `learnt_at`, before its leadership, that `instance` is suspended: no
  // leader has granted it anything since.
  void OnSuspended(const InstanceId& instance, Instant learnt_at);

  // A renewal received at `now` is answered with a grant.
  void OnIssued(Instant now, const InstanceId& instance);

  // Until when a grant of `instance` may be in force, on this machine's clock.
  Instant ExpiryOf(const InstanceId& instance) const;

  // Drops what is recorded for an instance whose expiry has passed.
  void Forget(const InstanceId& instance);

 private:
  Duration duration_with_margin_;
  Instant expiry_of_unknown_;
  std::map<InstanceId, Instant> expiry_;            // Of grants issued by this leader.
  std::map<InstanceId, Instant> suspended_expiry_;  // Of earlier grants of suspended instances.
};

}  // namespace runshelf::ownership
