#include "source/daemon/admission_gate.h"

#include <algorithm>
#include <chrono>

namespace runshelf::daemon {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(5);
constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(20);

}  // namespace

AdmissionGate::AdmissionGate(const Clock& clock, const admission::AdmissionConfig& config)
    : clock_(clock), queue_(config), tick_thread_([this] { TickLoop(); }) {}

AdmissionGate::~AdmissionGate() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    stop_changed_.notify_all();
  }
  tick_thread_.join();
}

AdmissionOutcome AdmissionGate::Wait(const std::string& caller_class, uint32_t weight,
                                     Instant deadline, transport::PeerWatch caller) {
  std::unique_lock lock(mutex_);
  const uint64_t id = ++next_id_;
  Waiter waiter;
  waiters_.emplace(id, &waiter);
  Apply(queue_.Offer(clock_.Now(), {id, caller_class, weight, deadline}));
  const auto is_decided = [&] { return waiter.started || waiter.refused.has_value(); };
  while (!waiter.decided.wait_for(lock, kCallerCheckInterval, is_decided)) {
    // A request that was started meanwhile cannot be cancelled here.
    if (caller.Closed() && queue_.Cancel(id)) {
      waiters_.erase(id);
      return CallerGone{};
    }
  }
  waiters_.erase(id);
  if (waiter.started) {
    return Started{id};
  }
  return *waiter.refused;
}

void AdmissionGate::Complete(uint64_t id, admission::Completion completion, Duration service_time) {
  const std::lock_guard lock(mutex_);
  Apply(queue_.OnCompleted(clock_.Now(), id, completion, service_time));
}

void AdmissionGate::SetCapacity(uint32_t slots) {
  const std::lock_guard lock(mutex_);
  Apply(queue_.SetCapacity(clock_.Now(), slots));
}

void AdmissionGate::SetCold() {
  const std::lock_guard lock(mutex_);
  cold_ = true;
  queue_.SetCold(clock_.Now());
}

void AdmissionGate::Drain() {
  const std::lock_guard lock(mutex_);
  queue_.Drain();
}

bool AdmissionGate::Idle() const {
  const std::lock_guard lock(mutex_);
  return queue_.idle();
}

routing::TargetLoad AdmissionGate::Load() const {
  const std::lock_guard lock(mutex_);
  routing::TargetLoad load;
  load.running = static_cast<uint32_t>(queue_.running());
  load.queued = static_cast<uint32_t>(queue_.queued());
  load.slots = queue_.ConcurrencyLimit(clock_.Now());
  load.cold = cold_ && load.slots < queue_.slots();
  return load;
}

void AdmissionGate::Apply(const admission::AdmissionChanges& changes) {
  for (const uint64_t id : changes.started) {
    Waiter& waiter = *waiters_.at(id);
    waiter.started = true;
    waiter.decided.notify_one();
  }
  for (const admission::Refusal& refusal : changes.refused) {
    Waiter& waiter = *waiters_.at(refusal.id);
    waiter.refused = refusal;
    waiter.decided.notify_one();
  }
}

void AdmissionGate::TickLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    stop_changed_.wait_for(lock, kTickInterval);
    if (queue_.queued() > 0) {
      Apply(queue_.Tick(clock_.Now()));
    }
  }
}

}  // namespace runshelf::daemon
