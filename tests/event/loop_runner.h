// Runs an event loop until a condition holds or a time limit expires.
#pragma once

#include <functional>

#include "source/event/event_loop.h"

namespace runshelf::event {

// Returns whether `done` became true within `limit`.
inline bool RunUntil(EventLoop& loop, const std::function<bool()>& done,
                     Duration limit = std::chrono::seconds(5)) {
  const Instant end = loop.Now() + limit;
  Timer poll(loop, [&] {
    if (done() || loop.Now() >= end) loop.Stop();
  });
  poll.Start(std::chrono::milliseconds(1), /*repeating=*/true);
  if (!done()) loop.Run();
  return done();
}

// Runs the loop for `time`.
inline void RunFor(EventLoop& loop, Duration time) {
  RunUntil(
      loop, [] { return false; }, time);
}

}  // namespace runshelf::event
