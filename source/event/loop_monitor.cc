#include "source/event/loop_monitor.h"

#include <utility>

namespace runshelf::event {

struct LoopMonitor::Handle {
  uv_prepare_t prepare{};
  std::function<void(Duration)> on_iteration;
  uint64_t iteration_started_at = 0;  // In nanoseconds; zero: before the first iteration.
  uint64_t idle_at_start = 0;         // Total idle time of the loop by then, in nanoseconds.

  void OnBeforeWait() {
    const uint64_t now = uv_hrtime();
    const uint64_t idle = uv_metrics_idle_time(prepare.loop);
    const uint64_t elapsed = now - iteration_started_at;
    const uint64_t waited = idle - idle_at_start;
    const bool measured = iteration_started_at != 0;
    iteration_started_at = now;
    idle_at_start = idle;
    if (!measured || !on_iteration) return;
    const uint64_t worked = elapsed > waited ? elapsed - waited : 0;
    on_iteration(std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(worked)));
  }
};

LoopMonitor::LoopMonitor(EventLoop& loop, std::function<void(Duration)> on_iteration)
    : handle_(new Handle) {
  handle_->on_iteration = std::move(on_iteration);
  uv_prepare_init(loop.raw(), &handle_->prepare);
  handle_->prepare.data = handle_;
  uv_prepare_start(&handle_->prepare, [](uv_prepare_t* prepare) {
    static_cast<Handle*>(prepare->data)->OnBeforeWait();
  });
  // The handle must not keep the loop alive.
  uv_unref(reinterpret_cast<uv_handle_t*>(&handle_->prepare));
}

LoopMonitor::~LoopMonitor() {
  handle_->on_iteration = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->prepare),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

}  // namespace runshelf::event
