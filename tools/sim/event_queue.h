// The simulation's agenda: handlers run in order of virtual time, those of one instant in the order
// in which they were scheduled. Nothing else decides the order, so a run is repeatable.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "tools/sim/virtual_time.h"

namespace runshelf::sim {

using Handler = std::function<void()>;

class EventQueue {
 public:
  TrueTime Now() const { return now_; }

  // Runs `handler` at `time`, or now when `time` has passed.
  void At(TrueTime time, Handler handler);
  void After(Duration delay, Handler handler) { At(now_ + delay, std::move(handler)); }

  // Runs everything up to and including `end`, and leaves Now() there.
  void RunUntil(TrueTime end);

  uint64_t handled() const { return handled_; }

 private:
  struct Event {
    TrueTime time;
    uint64_t sequence;
    Handler handler;
  };

  // Orders the heap so that the earliest event is on top.
  static bool Later(const Event& left, const Event& right);

  std::vector<Event> heap_;
  TrueTime now_{};
  uint64_t next_sequence_ = 0;
  uint64_t handled_ = 0;
};

}  // namespace runshelf::sim
