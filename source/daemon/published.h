// The newest immutable snapshot of something, handed from one thread to many.
#pragma once

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

namespace runshelf::daemon {

// Safe for use by several threads at once.
template <typename Snapshot>
class Published {
 public:
  explicit Published(std::shared_ptr<const Snapshot> initial) : current_(std::move(initial)) {}

  void Publish(std::shared_ptr<const Snapshot> snapshot) {
    const std::lock_guard lock(mutex_);
    if (snapshot == current_) {
      return;
    }
    current_ = std::move(snapshot);
    changed_.notify_all();
  }

  std::shared_ptr<const Snapshot> Current() const {
    const std::lock_guard lock(mutex_);
    return current_;
  }

  // Waits until the snapshot is no longer `known`, at most for `limit`.
  void WaitForChange(const std::shared_ptr<const Snapshot>& known,
                     std::chrono::microseconds limit) const {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, limit, [&] { return current_ != known; });
  }

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::shared_ptr<const Snapshot> current_;
};

}  // namespace runshelf::daemon
