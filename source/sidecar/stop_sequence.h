// Ends a node as planned: waits for what runs and for its keys to be handed over, refuses what
// still waits at the end, and says what it waited for and what it had to cut.
#pragma once

#include <functional>

#include "source/event/event_loop.h"
#include "source/sidecar/inbound_handler.h"
#include "source/sidecar/ingress.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/request_counts.h"
#include "source/sidecar/shard_holder.h"
#include "source/sidecar/stop_schedule.h"
#include "source/sidecar/worker_gate.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// The parts of a node that a stop watches. All outlive the sequence.
struct StopContext {
  event::EventLoop& loop;
  StopSchedule& schedule;
  Ingress& ingress;
  const InboundHandler& inbound_handler;
  WorkerGate& gate;
  const ShardHolder& holder;
  const store::StoreClient& store;
  LogWriter& log;
};

class StopSequence {
 public:
  struct Observer {
    // What the node announces of itself may have changed.
    std::function<void()> on_progress;
    // Nothing is waited for any more; the process ends a moment later.
    std::function<void()> on_ending;
  };

  StopSequence(const StopContext& context, Observer observer);

  // Calls `on_stopped` when the process may end.
  void Begin(std::function<void()> on_stopped);

 private:
  void Continue();
  void End();
  RequestCounts UnderWay() const;
  void LogWaiting(Instant now);

  StopContext context_;
  Observer observer_;
  std::function<void()> on_stopped_;
  event::Timer poll_timer_;
  event::Timer end_timer_;
  Instant logged_at_{};
};

}  // namespace runshelf::sidecar
