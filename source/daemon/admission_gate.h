// Lets threads wait for their turn in an AdmissionQueue.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>

#include "runshelf/admission/admission_queue.h"
#include "runshelf/common/clock.h"
#include "runshelf/routing/target_load.h"
#include "runshelf/transport/peer_watch.h"

namespace runshelf::daemon {

// The caller may hand its request to the server and must call Complete with `id`.
struct Started {
  uint64_t id = 0;
};

// The one who waited is gone; the request was never handed to the server.
struct CallerGone {};

using AdmissionOutcome = std::variant<Started, admission::Refusal, CallerGone>;

// Safe for use by several threads at once.
class AdmissionGate {
 public:
  // `clock` must outlive the gate.
  AdmissionGate(const Clock& clock, const admission::AdmissionConfig& config);
  ~AdmissionGate();

  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;

  // Blocks until the request may start, is refused, or `caller` is gone.
  AdmissionOutcome Wait(const std::string& caller_class, uint32_t weight, Instant deadline,
                        transport::PeerWatch caller);

  void Complete(uint64_t id, admission::Completion completion, Duration service_time);

  void SetCapacity(uint32_t slots);
  void SetCold();
  void Drain();

  // Nothing waits and nothing runs.
  bool Idle() const;

  routing::TargetLoad Load() const;

 private:
  // One waiting thread.
  struct Waiter {
    bool started = false;
    std::optional<admission::Refusal> refused;
    std::condition_variable decided;
  };

  void Apply(const admission::AdmissionChanges& changes);
  void TickLoop();

  const Clock& clock_;
  mutable std::mutex mutex_;
  std::condition_variable stop_changed_;
  admission::AdmissionQueue queue_;
  std::unordered_map<uint64_t, Waiter*> waiters_;
  uint64_t next_id_ = 0;
  bool cold_ = false;
  bool stopping_ = false;
  std::thread tick_thread_;
};

}  // namespace runshelf::daemon
