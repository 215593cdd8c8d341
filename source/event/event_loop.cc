#include "source/event/event_loop.h"

#include <utility>

namespace runshelf::event {

EventLoop::EventLoop() {
  uv_loop_init(&loop_);
  uv_loop_configure(&loop_, UV_METRICS_IDLE_TIME);  // Required by LoopMonitor.
}

EventLoop::~EventLoop() {
  // Closed handles are freed by their close callbacks, which run in further iterations of the loop.
  while (uv_loop_close(&loop_) == UV_EBUSY) {
    if (uv_run(&loop_, UV_RUN_NOWAIT) == 0 && uv_loop_close(&loop_) != UV_EBUSY) return;
    if (uv_loop_alive(&loop_) == 0) return;
  }
}

Instant EventLoop::Now() const { return SystemClock().Now(); }

void EventLoop::Run() { uv_run(&loop_, UV_RUN_DEFAULT); }

void EventLoop::Stop() { uv_stop(&loop_); }

struct Timer::Handle {
  uv_timer_t timer{};
  std::function<void()> callback;
  bool closed = false;
};

Timer::Timer(EventLoop& loop, std::function<void()> callback) : handle_(new Handle) {
  handle_->callback = std::move(callback);
  uv_timer_init(loop.raw(), &handle_->timer);
  handle_->timer.data = handle_;
}

Timer::~Timer() {
  handle_->closed = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->timer),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

void Timer::Start(Duration delay, bool repeating) {
  auto rounded = std::chrono::ceil<std::chrono::milliseconds>(delay).count();
  const auto milliseconds = static_cast<uint64_t>(rounded < 0 ? 0 : rounded);
  // libuv counts from the start of the present loop iteration, which may have been long ago.
  uv_update_time(handle_->timer.loop);
  uv_timer_start(
      &handle_->timer,
      [](uv_timer_t* timer) {
        auto* handle = static_cast<Handle*>(timer->data);
        if (!handle->closed) handle->callback();
      },
      milliseconds, repeating ? milliseconds : 0);
}

void Timer::Stop() { uv_timer_stop(&handle_->timer); }

bool Timer::active() const {
  return uv_is_active(reinterpret_cast<const uv_handle_t*>(&handle_->timer)) != 0;
}

struct SignalWatcher::Handle {
  uv_signal_t signal{};
  std::function<void()> callback;
};

SignalWatcher::SignalWatcher(EventLoop& loop, int signal_number, std::function<void()> callback)
    : handle_(new Handle) {
  handle_->callback = std::move(callback);
  uv_signal_init(loop.raw(), &handle_->signal);
  handle_->signal.data = handle_;
  uv_signal_start(
      &handle_->signal,
      [](uv_signal_t* signal, int) { static_cast<Handle*>(signal->data)->callback(); },
      signal_number);
}

SignalWatcher::~SignalWatcher() {
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->signal),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

}  // namespace runshelf::event
