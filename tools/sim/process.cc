#include "tools/sim/process.h"

#include <utility>

namespace runshelf::sim {

void Process::Start() {
  ++run_;
  alive_ = true;
  paused_ = false;
  backlog_.clear();
}

void Process::Kill() {
  alive_ = false;
  paused_ = false;
  backlog_.clear();
}

void Process::Pause() {
  if (alive_) {
    paused_ = true;
  }
}

void Process::Resume() {
  if (!paused_) {
    return;
  }
  paused_ = false;
  DrainBacklog();
}

void Process::Post(Handler handler) {
  if (!alive_) {
    return;
  }
  if (paused_) {
    backlog_.push_back(std::move(handler));
    return;
  }
  handler();
}

void Process::After(Duration delay, Handler handler) {
  queue_.After(delay, Bind(std::move(handler)));
}

Handler Process::Bind(Handler handler) {
  return [this, run = run_, handler = std::move(handler)] {
    if (run == run_) {
      Post(handler);
    }
  };
}

void Process::DrainBacklog() {
  while (running() && !backlog_.empty()) {
    Handler handler = std::move(backlog_.front());
    backlog_.pop_front();
    handler();
  }
}

}  // namespace runshelf::sim
