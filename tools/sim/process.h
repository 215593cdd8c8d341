// A simulated operating-system process: it can be paused, resumed, killed and started again.
//
// While it is paused nothing runs in it; what arrived meanwhile runs when it resumes, in order.
// What was scheduled by an earlier run of the process never runs in a later one.
#pragma once

#include <cstdint>
#include <deque>

#include "tools/sim/event_queue.h"

namespace runshelf::sim {

class Process {
 public:
  explicit Process(EventQueue& queue) : queue_(queue) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  bool alive() const { return alive_; }
  bool paused() const { return paused_; }
  bool running() const { return alive_ && !paused_; }
  uint64_t run() const { return run_; }

  void Start();
  void Kill();
  void Pause();
  void Resume();

  // Runs `handler` in this run of the process: at once, or when it resumes. Drops it when dead.
  void Post(Handler handler);

  // A timer of this run.
  void After(Duration delay, Handler handler);

  // Wraps `handler` so that it is posted to this run of the process, whenever it is called.
  Handler Bind(Handler handler);

 private:
  void DrainBacklog();

  EventQueue& queue_;
  std::deque<Handler> backlog_;
  bool alive_ = false;
  bool paused_ = false;
  uint64_t run_ = 0;
};

}  // namespace runshelf::sim
