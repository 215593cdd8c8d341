// The grant of one instance, from the leader's reply to the server beside the daemon.
//
// A slot may be served only while all of this holds: the leader's last accepted reply says that
// this instance owns it, the grant has not run out on this machine's clock, the server has accepted
// the grant, and no release of the slot has been ordered. A process that was paused finds the
// grant expired when it asks again, because every question carries `now`.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"

namespace runshelf::ownership {

// What is given to the server; replaces what it had.
struct HeldGrant {
  FencingToken token;
  Instant expires_at;
  std::vector<SlotRange> slots;

  bool operator==(const HeldGrant&) const = default;
};

// An order of the leader to give up slots.
struct Release {
  uint64_t release_id = 0;
  std::vector<SlotRange> ranges;
};

class GrantHolder {
 public:
  // Takes over the leader's reply: `slots` are all that this instance owns at `version`, `releases`
  // all that it has to give up; slots of releases that are no longer listed are served again.
  void OnRenewed(Instant expires_at, const FencingToken& version, std::vector<SlotRange> slots,
                 std::vector<Release> releases);

  // The grant that the server should have now: what is owned, less released slots without requests
  // in progress. nullopt when the server already has it or nothing was ever granted.
  std::optional<HeldGrant> NextPush() const;

  // `grant` is being sent to the server, perhaps again; it may accept it at any time from now on.
  void OnPushed(const HeldGrant& grant);

  // The server has accepted `grant`. Without effect for a grant that was not pushed to the present
  // process of the server.
  void OnAccepted(Instant now, const HeldGrant& grant);

  // Nothing may be served until the next renewal; the server may still believe in what it was sent.
  void Revoke();

  // The server holds nothing any more: its process has ended, or its last grant has run out.
  void OnServerEmpty();

  // Until when the server may believe in a grant that was sent to it.
  Instant LastPushedExpiry() const { return last_pushed_expiry_; }

  std::optional<FencingToken> Enter(Instant now, SlotNumber slot);
  void Leave(SlotNumber slot);
  std::optional<Instant> HeldSince(Instant now, SlotNumber slot) const;

  // Ids of releases whose slots have no request in progress and are not in any grant that the
  // server may still believe in.
  std::vector<uint64_t> FulfilledReleases(Instant now) const;

  // Slots that may be served at `now`.
  std::vector<SlotRange> ServingSlots(Instant now) const;
  Instant ExpiresAt() const { return accepted_.expires_at; }
  bool HasRequestsInProgress() const { return !in_progress_.empty(); }

 private:
  bool IsUnanswered(const HeldGrant& grant) const;
  bool IsReleasing(SlotNumber slot) const;
  bool MayServe(Instant now, SlotNumber slot) const;
  bool ServerMayHold(Instant now, const std::vector<SlotRange>& ranges) const;
  void RebuildTarget();

  FencingToken version_;
  std::vector<SlotRange> owned_;
  std::vector<Release> releases_;
  Instant expires_at_;
  uint64_t revision_ = 0;  // Changes of the target at the same version.

  HeldGrant target_;                   // What the server should have.
  HeldGrant accepted_;                 // What it is known to have.
  std::vector<HeldGrant> unanswered_;  // Sent and not known to be accepted or superseded.
  Instant last_pushed_expiry_;

  std::map<SlotNumber, uint32_t> in_progress_;
  std::map<SlotNumber, Instant> held_since_;
};

}  // namespace runshelf::ownership
