#include "tests/soak/supervised_process.h"

#include <signal.h>

#include <algorithm>

namespace runshelf::soak {
namespace {

// The platform sends SIGKILL at most this long after the grace period.
constexpr Duration kKillSlack = std::chrono::milliseconds(100);

}  // namespace

bool SupervisedProcess::Start() {
  terminated_at_.reset();
  killed_ = false;
  running_ = process_.Start();
  if (running_) ++life_;
  return running_;
}

void SupervisedProcess::Kill(Instant now, Duration down) {
  start_at_ = std::max(start_at_, now + down);
  down_ = Duration(0);
  killed_ = true;
  process_.Signal(SIGKILL);
}

bool SupervisedProcess::Terminate(Instant now, Duration down) {
  if (!running_ || killed_ || terminated_at_.has_value()) return false;
  terminated_at_ = now;
  down_ = down;
  process_.Signal(SIGTERM);
  return true;
}

void SupervisedProcess::Pause() {
  paused_ = true;
  process_.Signal(SIGSTOP);
}

void SupervisedProcess::Resume() {
  paused_ = false;
  process_.Signal(SIGCONT);
}

void SupervisedProcess::HangUp() {
  if (running_) process_.Signal(SIGHUP);
}

SupervisedProcess::Event SupervisedProcess::Watch(Instant now) {
  if (running_ && process_.Running()) {
    const bool late =
        terminated_at_.has_value() && now - *terminated_at_ > grace_period_ + kKillSlack;
    if (late && !killed_) {
      killed_ = true;
      process_.Signal(SIGKILL);
    }
    return Event::kNone;
  }
  if (running_) {
    running_ = false;
    start_at_ = std::max(start_at_, now + down_);
    down_ = Duration(0);
    // A process that receives SIGTERM before it has installed its handlers is killed by the signal.
    const int exit = process_.last_exit();
    const bool stopped = terminated_at_.has_value() && (exit == 0 || exit == -SIGTERM);
    const bool asked = killed_ || stopped;
    return asked ? Event::kEnded : Event::kUnexpectedExit;
  }
  if (now < start_at_) return Event::kNone;
  return Start() ? Event::kStarted : Event::kNone;
}

}  // namespace runshelf::soak
