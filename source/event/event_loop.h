// The single-threaded event loop that carries connections, timers and signals of a sidecar process.
//
// A thin layer over libuv. All objects here belong to the thread that runs the loop, and every
// callback is made on it. An object may be destroyed from any callback, including its own.
#pragma once

#include <uv.h>

#include <functional>

#include "runshelf/common/clock.h"

namespace runshelf::event {

// Owns the libuv loop. Must outlive every timer, stream and listener made on it.
class EventLoop : public Clock {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Reads a steady clock that also counts while the process is stopped or the machine is suspended:
  // meanwhile the node's lease runs out at the store, and what it may act on runs out with it.
  // Timers do not count the time of a suspension.
  Instant Now() const override;

  // Runs until Stop is called.
  void Run();
  void Stop();

  uv_loop_t* raw() { return &loop_; }

 private:
  uv_loop_t loop_;
};

// Calls back once or repeatedly. Destroying the timer stops it.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Starts or restarts the timer; one that is `repeating` fires every `delay`.
  void Start(Duration delay, bool repeating = false);
  void Stop();
  bool active() const;

 private:
  struct Handle;
  Handle* handle_;  // Freed by the loop after it was closed.
};

// Calls back for each arrival of one signal.
class SignalWatcher {
 public:
  SignalWatcher(EventLoop& loop, int signal_number, std::function<void()> callback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace runshelf::event
