// The only way to the worker of this machine: queue, checks and the connections to it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "runshelf/admission/admission_queue.h"
#include "runshelf/routing/target_load.h"
#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/sidecar/attempt.h"
#include "source/sidecar/class_limiter.h"
#include "source/sidecar/interrupted_requests.h"
#include "source/sidecar/request_quarantine.h"
#include "source/sidecar/wire_format.h"

namespace runshelf::sidecar {

// Tells whether the worker may be sent requests for a key now.
class KeyAuthority {
 public:
  virtual ~KeyAuthority() = default;
  // The service of the worker is divided by key; nullopt while no configuration tells.
  virtual std::optional<bool> Sharded() const = 0;
  virtual bool MaySend(Instant now, sharding::ShardKey key) const = 0;
  // A request for the key asks for a slot; for measuring load. What is refused counts as well: an
  // overloaded worker is the one whose load must be known.
  virtual void OnKeyOffered(sharding::ShardKey key) = 0;
  // The worker said that it does not hold the key.
  virtual void OnKeyRefused(sharding::ShardKey key) = 0;
};

// What the gate learns about the worker, from its answers.
class WorkerObserver {
 public:
  virtual ~WorkerObserver() = default;
  // The worker answered a request that was sent to it at `sent`, and to no other, on a connection
  // that was made at `connection_made`.
  virtual void OnWorkerAnswered(Instant sent, Instant connection_made) = 0;
  // No connection could be made, or one was lost.
  virtual void OnWorkerUnreachable() = 0;
  // The answer to a request is a success for which the worker does not vouch.
  virtual void OnUnstampedSuccess(const std::string& request_id, bool on_reused_connection) = 0;
  // A worker that states another identity is at the address.
  virtual void OnOtherWorker(const std::string& stated_identity) = 0;
};

class WorkerGate {
 public:
  WorkerGate(event::EventLoop& loop, http::ConnectionPool& pool, const WireFormat& wire,
             event::Endpoint worker);
  ~WorkerGate();
  WorkerGate(const WorkerGate&) = delete;
  WorkerGate& operator=(const WorkerGate&) = delete;

  void set_key_authority(KeyAuthority* authority) { key_authority_ = authority; }
  void set_worker_observer(WorkerObserver* observer) { worker_observer_ = observer; }

  // Requests a second that a caller class may send to this worker; nullopt: as many as it likes.
  using RateSource = std::function<std::optional<double>(const std::string& caller_class)>;
  void set_rate_source(RateSource source) { rate_source_ = std::move(source); }

  void set_quarantine(RequestQuarantine* quarantine) { quarantine_ = quarantine; }

  // Another worker, or none (an empty identity), is beside this node.
  void SetWorker(const std::string& worker_id, const std::string& service, uint32_t slots);
  // A draining worker gets nothing new, and what waits is refused; but for requests with keys,
  // which it may be sent until `keys_until` while they are being handed over.
  void SetDraining(bool draining, Instant keys_until);
  // The process ends: what waits is refused, and everything that comes.
  void Close();
  void SetColdUntil(Instant cold_until) { cold_until_ = cold_until; }

  // No other worker may run the request: its key decides.
  bool RequiresKeyOwner(const AttemptRequest& request) const;
  std::unique_ptr<Attempt> Submit(const AttemptRequest& request, AttemptObserver* observer);

  routing::TargetLoad load() const;
  // Smoothed time that a request holds a slot; zero until one was measured.
  Duration ServiceTime() const { return queue_.ServiceTime(); }
  const std::string& worker_id() const { return worker_id_; }
  // True while the worker is at work on the request with this id, as far as the gate knows.
  bool IsRunning(const std::string& request_id) const { return running_ids_.contains(request_id); }
  size_t running() const { return queue_.running(); }
  // The worker has ended: the requests that were at work in it then. Each is told once.
  std::vector<InterruptedRequest> TakeInFlight(const std::string& worker_id) {
    return interrupted_.TakeInFlight(loop_.Now(), worker_id);
  }

 private:
  class GateAttempt;

  void Offer(GateAttempt* attempt);
  RequestFingerprint FingerprintOfAttempt(const AttemptRequest& request) const;
  // In quarantine, and no trial; or a suspect that is at work in the worker. The node that took the
  // request may not know of it.
  bool Quarantined(const AttemptRequest& request) const;
  bool IsRunningAtWorker(const RequestFingerprint& fingerprint) const;
  void RecordCompletedRun(const AttemptRequest& request, int status);
  // Zero: the class is below its limit, and one request of it was counted.
  Duration RateLimitDelay(const std::string& caller_class);
  void Apply(const admission::AdmissionChanges& changes);
  void OnSlotFree(uint64_t id, admission::Completion completion, Duration service_time);
  void Withdraw(uint64_t id, bool sent, Duration service_time);
  // Why a request may not be sent to the worker now; nullopt: it may.
  std::optional<FailureReason> RejectionReason(const AttemptRequest& request) const;
  void RefuseWaiting();
  void EraseRunning(const std::string& request_id);
  // The connection on which the request was sent at `sent_at` went without its answer.
  void RecordInterrupted(const AttemptRequest& request, Instant sent_at, bool by_caller);
  void ScheduleTick();

  event::EventLoop& loop_;
  http::ConnectionPool& pool_;
  const WireFormat& wire_;
  event::Endpoint worker_;
  KeyAuthority* key_authority_ = nullptr;
  WorkerObserver* worker_observer_ = nullptr;
  RateSource rate_source_;
  RequestQuarantine* quarantine_ = nullptr;
  ClassLimiter limiter_;
  std::string worker_id_;
  std::string service_;
  uint32_t slots_ = 0;
  bool draining_ = false;
  bool closed_ = false;
  Instant drain_keys_until_{};
  Instant cold_until_{};
  admission::AdmissionQueue queue_;
  event::Timer tick_;
  std::unordered_map<uint64_t, GateAttempt*> attempts_;  // Waiting or sent.
  std::unordered_multiset<std::string> running_ids_;     // Of the requests that were sent.
  InterruptedRequests interrupted_;
  uint64_t next_id_ = 1;
};

}  // namespace runshelf::sidecar
