// Protects against serving requests by an outdated configuration after this process stood still,
// for example because it was stopped, suspended or short of processor time.
#pragma once

#include <functional>

#include "source/event/event_loop.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/standstill_detector.h"
#include "source/store/prefix_watcher.h"

namespace runshelf::sidecar {

// After a standstill, asks the store whether the copy of the configuration is current. Until it
// answers, requests must wait. A node that gets no answer serves by what it has: while the store is
// unavailable, no change can be acknowledged. Not thread-safe.
class ConfigurationGuard {
 public:
  // `max_standstill`: longer standstills make the copy doubtful. All references must outlive the
  // guard.
  ConfigurationGuard(event::EventLoop& loop, store::PrefixWatcher& configuration, LogWriter& log,
                     Duration max_standstill);

  void set_max_standstill(Duration max_standstill) { detector_.set_threshold(max_standstill); }
  // Called when the copy is current again after it was doubtful.
  void set_on_current(std::function<void()> callback) { on_current_ = std::move(callback); }
  // To be called in each iteration of the event loop, before it waits for events.
  void OnLoopIteration();
  // Number of standstills so far.
  uint64_t standstills() const { return standstills_; }
  // Whether requests may be served by the copy. Also detects a standstill that ended in this
  // iteration of the loop.
  bool IsCurrent();

 private:
  void CheckForStandstill();
  void AskStore();
  void OnAnswer(bool current);
  void End(const char* outcome);

  event::EventLoop& loop_;
  store::PrefixWatcher& configuration_;
  LogWriter& log_;
  StandstillDetector detector_;
  std::function<void()> on_current_;
  event::Timer retry_timer_;
  bool doubtful_ = false;
  uint64_t standstills_ = 0;
  uint64_t inquiry_ = 0;  // Answers to earlier inquiries are ignored.
  Instant doubtful_since_{};
};

}  // namespace runshelf::sidecar
