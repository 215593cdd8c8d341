// On the node that leads the state feed, checks whether the store still responds on the open
// connections, more often than the lease must be renewed: a watch on a dead connection cannot be
// distinguished from a watch without changes.
#pragma once

#include <functional>

#include "source/event/event_loop.h"
#include "source/store/lease_keeper.h"

namespace runshelf::sidecar {

// Times of the probes.
struct StoreProbeConfig {
  Duration interval = std::chrono::milliseconds(600);
  // Time without a response after which the connections count as dead.
  Duration answer_timeout = std::chrono::milliseconds(300);
  // Minimum time between two calls of `on_unresponsive`: otherwise each call to a slow store would
  // be sent twice.
  Duration min_report_interval = std::chrono::seconds(2);
};

// Sends probes periodically while needed, and reports when the store stops responding.
class StoreProbe {
 public:
  // `needed` returns whether this node leads the feed; `on_unresponsive` is called once for each
  // period without responses. The probes are renewals of the lease, the cheapest calls.
  StoreProbe(event::EventLoop& loop, store::LeaseKeeper& lease, std::function<bool()> needed,
             std::function<void()> on_unresponsive, StoreProbeConfig config = {});

  // Begins to send probes.
  void Start();

 private:
  void Probe();
  void CheckAnswer();

  event::EventLoop& loop_;
  store::LeaseKeeper& lease_;
  std::function<bool()> needed_;
  std::function<void()> on_unresponsive_;
  StoreProbeConfig config_;
  event::Timer probe_timer_;
  event::Timer check_timer_;
  bool unresponsive_ = false;
  Instant last_report_at_{};
};

}  // namespace runshelf::sidecar
