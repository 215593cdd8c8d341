// Performs the planned stop of a node: waits for running requests, until their answers have been
// read, and for the handover of its keys, refuses requests that are still queued at the end, and
// logs what it waited for and what it cut off.
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

// The components of a node that a stop uses. All must outlive the sequence.
struct StopContext {
  event::EventLoop& loop;
  StopSchedule& schedule;
  Ingress& ingress;
  const InboundHandler& inbound_handler;
  WorkerGate& gate;
  const ShardHolder& holder;
  const store::StoreClient& store;
  LogWriter& log;
  // What clients and other nodes have not read yet of their answers.
  std::function<http::UnsentAnswers()> unsent_answers;
};

// Not thread-safe: must be used on the thread of its event loop.
class StopSequence {
 public:
  struct Observer {
    // The state that the node announces may have changed.
    std::function<void()> on_progress;
    // Waiting is over; the process ends a moment later.
    std::function<void()> on_ending;
  };

  StopSequence(const StopContext& context, Observer observer);

  // Starts the stop. Calls `on_stopped` when the process may exit.
  void Begin(std::function<void()> on_stopped);

 private:
  void Continue();
  void End();
  RequestCounts UnderWay() const;
  // Whether nothing is left that the stop waits for.
  bool Idle() const;
  void LogWaiting(Instant now);

  StopContext context_;
  Observer observer_;
  std::function<void()> on_stopped_;
  event::Timer poll_timer_;
  event::Timer end_timer_;
  Instant logged_at_{};
};

}  // namespace runshelf::sidecar
