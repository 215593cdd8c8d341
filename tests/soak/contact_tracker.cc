#include "tests/soak/contact_tracker.h"

namespace runshelf::soak {

void ContactTracker::End(size_t node, Instant now) {
  --nodes_[node].active;
  nodes_[node].latest = now;
}

void ContactTracker::EndStore(Instant now) {
  --store_.active;
  store_.latest = now;
}

void ContactTracker::DisturbAll(Instant now) {
  for (Disturbance& node : nodes_) node.latest = now;
  store_.latest = now;
}

}  // namespace runshelf::soak
