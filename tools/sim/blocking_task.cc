#include "tools/sim/blocking_task.h"

namespace runshelf::sim {

BlockingTask::BlockingTask(EventQueue& queue, Duration delay,
                           std::function<void(BlockingTask&)> body)
    : queue_(queue), thread_([this, body = std::move(body)] {
        run_task_.acquire();
        if (!abandoned_) {
          body(*this);
        }
        ended_ = true;
        run_simulation_.release();
      }) {
  queue_.After(delay, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      Resume();
    }
  });
}

BlockingTask::~BlockingTask() {
  alive_.reset();
  abandoned_ = true;
  if (!ended_) {
    Resume();
  }
  thread_.join();
}

void BlockingTask::Sleep(Duration duration) {
  Await<bool>(
      [this, duration](std::function<void(bool)> done) {
        queue_.After(duration, [done = std::move(done)] { done(true); });
      },
      false);
}

void BlockingTask::Resume() {
  run_task_.release();
  run_simulation_.acquire();
}

void BlockingTask::SwitchToSimulation() {
  run_simulation_.release();
  run_task_.acquire();
}

}  // namespace runshelf::sim
