// Single-threaded event loop for the connections, timers and signals of a sidecar process.
//
// A thin layer over libuv. All objects belong to the thread that runs the loop, and all callbacks
// run on it. An object may be destroyed from any callback, including its own.
#pragma once

#include <uv.h>

#include <functional>

#include "runshelf/common/clock.h"

namespace runshelf::event {

// Owns the libuv loop. Must outlive every timer, stream and listener created on it.
class EventLoop : public Clock {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Reads a steady clock that also advances while the process is stopped or the machine is
  // suspended: the node's lease at the store expires in that time, and so must everything that
  // depends on it. Timers do not advance during a suspension.
  Instant Now() const override;

  // Runs until Stop is called.
  void Run();
  void Stop();

  uv_loop_t* raw() { return &loop_; }

 private:
  uv_loop_t loop_;
};

// Calls back once or periodically. Destroying the timer stops it.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Starts or restarts the timer. If `repeating`, it fires every `delay`.
  void Start(Duration delay, bool repeating = false);
  void Stop();
  // Whether the timer is running.
  bool active() const;

 private:
  struct Handle;
  Handle* handle_;  // Deleted by the close callback on the loop.
};

// Calls back each time the signal is received.
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
