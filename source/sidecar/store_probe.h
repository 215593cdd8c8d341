// Asks the store of the node that leads the feed whether it still answers on the connections that
// are open, more often than leases must be renewed: a watch on a connection that fell silent looks
// like one without changes.
#pragma once

#include <functional>

#include "source/event/event_loop.h"
#include "source/store/lease_keeper.h"

namespace runshelf::sidecar {

struct StoreProbeConfig {
  Duration interval = std::chrono::milliseconds(600);
  // Without an answer for this long the connections are taken for silent.
  Duration answer_timeout = std::chrono::milliseconds(300);
  // Between two silences that are told: a slow store would be asked twice all the time.
  Duration min_report_interval = std::chrono::seconds(2);
};

class StoreProbe {
 public:
  // `needed` tells whether this node leads; `on_unresponsive` is called once for each silence.
  // Renewals of the lease are the probes: they are the cheapest calls.
  StoreProbe(event::EventLoop& loop, store::LeaseKeeper& lease, std::function<bool()> needed,
             std::function<void()> on_unresponsive, StoreProbeConfig config = {});

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
