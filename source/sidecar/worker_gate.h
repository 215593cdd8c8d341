// Admission gate in front of the local worker. Every request to the worker passes through it: the
// gate checks whether the worker may run the request, queues it for a slot and sends it.
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
#include "source/sidecar/refusal_meter.h"
#include "source/sidecar/request_quarantine.h"
#include "source/sidecar/wire_format.h"
#include "source/sidecar/worker_rate_limiter.h"

namespace runshelf::sidecar {

// Decides whether the local worker may be sent requests for a shard key.
class KeyAuthority {
 public:
  virtual ~KeyAuthority() = default;
  // True if the worker's service is sharded by key; nullopt until a configuration is known.
  virtual std::optional<bool> Sharded() const = 0;
  // True if the worker holds `key` at `now`, so that requests for it may be sent.
  virtual bool MaySend(Instant now, sharding::ShardKey key) const = 0;
  // Called for each request for `key` that asks for a slot, to measure the load of the key. Refused
  // requests count too; otherwise the load of an overloaded worker would be underestimated.
  virtual void OnKeyOffered(sharding::ShardKey key) = 0;
  // Called when the worker rejects a request because it does not hold `key`.
  virtual void OnKeyRefused(sharding::ShardKey key) = 0;
};

// Receives what the gate learns about the worker from its answers and connections.
class WorkerObserver {
 public:
  virtual ~WorkerObserver() = default;
  // The expected worker, not another one at its address, answered a request that was sent at `sent`
  // on a connection established at `connection_made`.
  virtual void OnWorkerAnswered(Instant sent, Instant connection_made) = 0;
  // A connection to the worker could not be established, or was lost.
  virtual void OnWorkerUnreachable() = 0;
  // The worker stated in an answer that it is leaving.
  virtual void OnWorkerLeaving() = 0;
  // The rate of requests that the worker accepts has changed; nullopt: no limit.
  virtual void OnWorkerLimitChanged(std::optional<double> requests_per_second) = 0;
  // The worker began or ceased to refuse a share of its requests although it has free slots;
  // `percent` is zero when it ceased.
  virtual void OnRefusedShareChanged(uint32_t percent) = 0;
  // A 2xx answer lacks the header by which the worker confirms that it ran the request.
  virtual void OnUnstampedSuccess(const std::string& request_id, bool on_reused_connection) = 0;
  // The worker at the address reports a different identity.
  virtual void OnOtherWorker(const std::string& stated_identity) = 0;
};

// Not thread-safe: belongs to the thread of `loop`.
class WorkerGate {
 public:
  WorkerGate(event::EventLoop& loop, http::ConnectionPool& pool, const WireFormat& wire,
             event::Endpoint worker);
  ~WorkerGate();
  WorkerGate(const WorkerGate&) = delete;
  WorkerGate& operator=(const WorkerGate&) = delete;

  // Each of these is optional and must stay valid while the gate is in use. Without a key
  // authority, keys are not checked; without a quarantine, no request counts as a suspect.
  void set_key_authority(KeyAuthority* authority) { key_authority_ = authority; }
  void set_worker_observer(WorkerObserver* observer) { worker_observer_ = observer; }

  // Returns the rate limit of a caller class at this worker in requests per second; nullopt: no
  // limit.
  using RateSource = std::function<std::optional<double>(const std::string& caller_class)>;
  void set_rate_source(RateSource source) { rate_source_ = std::move(source); }

  void set_quarantine(RequestQuarantine* quarantine) { quarantine_ = quarantine; }

  // Sets the local worker; an empty `worker_id` means that there is none. A change of identity
  // closes idle connections and refuses queued requests that the new worker may not run.
  void SetWorker(const std::string& worker_id, const std::string& service, uint32_t slots);
  // While the worker drains, new and queued requests are refused. If the service is sharded,
  // requests for keys that the worker holds are still sent until `keys_until`, while the keys are
  // handed over.
  void SetDraining(bool draining, Instant keys_until);
  // While the worker's zone is evacuated, new and queued requests are refused, as for a draining
  // worker.
  void SetEvacuated(bool evacuated, Instant keys_until);
  // Refuses all queued and later requests because the process is stopping. Requests that were sent
  // continue.
  void Close();
  // The worker is cold until `cold_until`; Instant::max() while that is unknown. Until then its
  // requests are limited by the limits for cold workers, and `load()` reports it as cold.
  void SetColdUntil(Instant cold_until) {
    rate_limiter_.cold_start().SetColdUntil(loop_.Now(), cold_until);
  }
  void SetColdStartLimits(const ColdStartLimits& limits) {
    rate_limiter_.cold_start().SetLimits(loop_.Now(), limits);
  }
  // The worker answered a call that was sent at `sent_at` with these headers. Its requests are
  // limited to the rate that it states there, if any.
  void OnWorkerLimit(Instant sent_at, const http::Headers& headers);
  // The rate in force, in requests per second; nullopt: the worker states none.
  std::optional<double> worker_limit() const { return rate_limiter_.stated().rate(); }
  // Without a configuration, the node knows neither the limits for cold workers nor whether its
  // zone may be used: all requests are refused. A gate that is not told otherwise has one.
  void SetConfigured(bool configured) { configured_ = configured; }

  // True if only the owner of the request's key may run it.
  bool RequiresKeyOwner(const AttemptRequest& request) const;
  // Creates an attempt at the local worker; nothing is queued or sent before Attempt::Begin().
  // `observer` and the gate must outlive the attempt.
  std::unique_ptr<Attempt> Submit(const AttemptRequest& request, AttemptObserver* observer);

  // Running and queued requests, slots and cold start, as other nodes use them for routing. While
  // the worker states a limit, `slots` is the number that the limit keeps busy.
  routing::TargetLoad load() const;
  // Smoothed time for which a request holds a slot; zero until the first measurement.
  Duration ServiceTime() const { return queue_.ServiceTime(); }
  // Requests per second that the worker completes with all slots busy, or accepts if that is less;
  // zero until the first measurement.
  double Capacity() const;
  const std::string& worker_id() const { return worker_id_; }
  // True while a sent request with this id has neither been answered nor given up. The worker may
  // still be running a request that was given up.
  bool IsRunning(const std::string& request_id) const { return running_ids_.contains(request_id); }
  size_t running() const { return queue_.running(); }
  // Returns the requests that were running in a worker whose process ended; each is returned once.
  std::vector<InterruptedRequest> TakeInFlight(const std::string& worker_id) {
    return interrupted_.TakeInFlight(loop_.Now(), worker_id);
  }

 private:
  class GateAttempt;

  // The worker ran a request, or refused it with free slots.
  void RecordAnswer(bool refused_with_room);
  // Puts the attempt into the admission queue; it may be sent or refused at once.
  void Offer(GateAttempt* attempt);
  RequestFingerprint FingerprintOfAttempt(const AttemptRequest& request) const;
  // True if the request must not be sent: it is quarantined and not a trial, or it is a suspect of
  // which another copy is running. Checked here as well because the node that received the
  // request from the caller may not know of the quarantine yet.
  bool Quarantined(const AttemptRequest& request) const;
  bool IsRunningAtWorker(const RequestFingerprint& fingerprint) const;
  // Tells the quarantine that the request ran to an answer. A 504 proves nothing: the deadline may
  // have cut the run off.
  void RecordCompletedRun(const AttemptRequest& request, int status);
  // Returns zero and counts one request when the class is below its rate limit, else the time until
  // the next request of the class may be sent.
  Duration RateLimitDelay(const std::string& caller_class);
  // Sends or refuses the attempts that the queue has decided on.
  void Apply(const admission::AdmissionChanges& changes);
  void OnSlotFree(uint64_t id, admission::Completion completion, Duration service_time);
  // Removes a cancelled or expired attempt from its slot or from the queue.
  void Withdraw(uint64_t id, bool sent, Duration service_time);
  // Returns why the request may not be sent to the worker now; nullopt if it may.
  std::optional<FailureReason> RejectionReason(const AttemptRequest& request) const;
  // Refuses the queued requests that may no longer be sent.
  void RefuseWaiting();
  // Refuses the queued requests that exceed the worker's limit.
  void RefuseAboveLimit();
  void RefuseQueued(uint64_t id, FailureReason reason, Duration retry_after);
  // Number of slots that the worker's limit keeps busy, at most all.
  uint32_t UsableSlots() const;
  void EraseRunning(const std::string& request_id);
  // Records that the connection closed before the answer was complete. `by_caller`: closed on this
  // side, so that the worker may still be running the request.
  void RecordInterrupted(const AttemptRequest& request, Instant sent_at, bool by_caller);
  // Runs the queue's periodic check while requests are queued.
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
  WorkerRateLimiter rate_limiter_;
  RefusalMeter refusals_;
  std::string worker_id_;
  std::string latest_identity_;  // Of the latest known worker, without its incarnation.
  std::string service_;
  uint32_t slots_ = 0;
  bool draining_ = false;
  bool evacuated_ = false;
  bool closed_ = false;
  bool configured_ = true;
  Instant drain_keys_until_{};
  Instant evacuation_keys_until_{};
  admission::AdmissionQueue queue_;
  event::Timer tick_;
  std::unordered_map<uint64_t, GateAttempt*> attempts_;  // Queued or sent, by attempt id.
  std::unordered_multiset<std::string> running_ids_;     // Request ids that were sent.
  InterruptedRequests interrupted_;
  uint64_t next_id_ = 1;
};

}  // namespace runshelf::sidecar
