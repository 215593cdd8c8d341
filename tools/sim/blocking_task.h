// Runs code that blocks (the table editor, which is written for a thread of its own) inside the
// simulation, in virtual time.
//
// The task has its own thread, but only one of simulation and task ever runs: each hands over to
// the other and waits. So the run stays repeatable.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <semaphore>
#include <thread>
#include <utility>

#include "tools/sim/event_queue.h"

namespace runshelf::sim {

class BlockingTask {
 public:
  // Starts `body` after `delay`. The task must not outlive `queue`.
  BlockingTask(EventQueue& queue, Duration delay, std::function<void(BlockingTask&)> body);
  // Makes every Await of the body return its fallback, and waits for the body to end.
  ~BlockingTask();

  BlockingTask(const BlockingTask&) = delete;
  BlockingTask& operator=(const BlockingTask&) = delete;

  // To be called by the body. Calls `start` with a function that ends the wait with a result.
  template <typename Result>
  Result Await(const std::function<void(std::function<void(Result)>)>& start, Result fallback) {
    if (abandoned_) {
      return fallback;
    }
    auto result = std::make_shared<std::optional<Result>>();
    start([this, result, alive = std::weak_ptr<bool>(alive_)](Result value) {
      if (!alive.expired()) {
        *result = std::move(value);
        Resume();
      }
    });
    SwitchToSimulation();
    return result->has_value() ? std::move(**result) : std::move(fallback);
  }

  // To be called by the body.
  void Sleep(Duration duration);
  bool abandoned() const { return abandoned_; }

 private:
  void Resume();
  void SwitchToSimulation();

  EventQueue& queue_;
  std::binary_semaphore run_task_{0};
  std::binary_semaphore run_simulation_{0};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool abandoned_ = false;
  bool ended_ = false;
  std::thread thread_;
};

}  // namespace runshelf::sim
