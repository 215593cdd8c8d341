// Tracks which nodes are free of faults, and since when. Guarantees with a time limit are checked
// only for those. Performs no I/O; callers pass all times, which must come from one clock.
#pragma once

#include <cstddef>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

class ContactTracker {
 public:
  // `contact_window`: time without faults after which a node or the store counts as undisturbed.
  ContactTracker(size_t nodes, Duration contact_window)
      : contact_window_(contact_window), nodes_(nodes) {}

  // A fault affects a node, or the store, until each Begin has been matched by an End.
  void Begin(size_t node) { ++nodes_[node].active; }
  void End(size_t node, Instant now);
  void BeginStore() { ++store_.active; }
  void EndStore(Instant now);
  // Records a momentary disturbance of one node, or of all nodes and the store.
  void Disturb(size_t node, Instant now) { nodes_[node].latest = now; }
  void DisturbAll(Instant now);

  // True if no fault is active and the last one ended more than a contact window before `since`.
  bool Undisturbed(size_t node, Instant since) const { return FaultFree(nodes_[node], since); }
  bool StoreUndisturbed(Instant since) const { return FaultFree(store_, since); }
  // Time of the node's last momentary disturbance or end of a fault.
  Instant latest(size_t node) const { return nodes_[node].latest; }

 private:
  struct Disturbance {
    int active = 0;
    Instant latest{};
  };

  bool FaultFree(const Disturbance& disturbance, Instant since) const {
    return disturbance.active == 0 && since - disturbance.latest > contact_window_;
  }

  Duration contact_window_;
  std::vector<Disturbance> nodes_;
  Disturbance store_;
};

}  // namespace runshelf::soak
