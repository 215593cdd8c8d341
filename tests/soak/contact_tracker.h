// Knows which nodes were left alone, and since when. Promises that are bound by time hold only for
// those. Free of input and output; times are given by the caller and belong to one clock.
#pragma once

#include <cstddef>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

class ContactTracker {
 public:
  // `contact_window`: how long something must have been left alone.
  ContactTracker(size_t nodes, Duration contact_window)
      : contact_window_(contact_window), nodes_(nodes) {}

  // A fault hits a node, or the store, until it is ended as often as it was begun.
  void Begin(size_t node) { ++nodes_[node].active; }
  void End(size_t node, Instant now);
  void BeginStore() { ++store_.active; }
  void EndStore(Instant now);
  // Something hit a node, the store, or everything, at one moment.
  void Disturb(size_t node, Instant now) { nodes_[node].latest = now; }
  void DisturbAll(Instant now);

  // The node has been left alone since a contact window before `since`.
  bool Undisturbed(size_t node, Instant since) const { return Calm(nodes_[node], since); }
  bool StoreUndisturbed(Instant since) const { return Calm(store_, since); }
  // Since the latest fault that ended, or hit for a moment.
  Instant latest(size_t node) const { return nodes_[node].latest; }

 private:
  struct Trouble {
    int active = 0;
    Instant latest{};
  };

  bool Calm(const Trouble& trouble, Instant since) const {
    return trouble.active == 0 && since - trouble.latest > contact_window_;
  }

  Duration contact_window_;
  std::vector<Trouble> nodes_;
  Trouble store_;
};

}  // namespace runshelf::soak
