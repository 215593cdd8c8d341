// Tracks the worker on this machine: its identity, its state and whether it is alive.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/http/server.h"
#include "source/sidecar/drain_record.h"
#include "source/sidecar/former_workers.h"
#include "source/sidecar/key_lessor.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/node_record.h"
#include "source/sidecar/service_members.h"
#include "source/sidecar/settings.h"
#include "source/sidecar/wire_format.h"
#include "source/sidecar/worker_gate.h"
#include "source/sidecar/worker_proof.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Handles the worker's heartbeats and leave notices, and probes its health check while it is not
// heard. A leave notice also applies after a restart of this process, so it is written to the store
// before it is acknowledged. Not thread-safe.
class WorkerMonitor : public WorkerObserver {
 public:
  struct Observer {
    // The worker's identity, state or slots changed, or no worker was found after the start.
    // `former_gone`: the former worker has certainly ended.
    std::function<void(bool former_gone)> on_changed;
    std::function<void()> on_confirmed;  // The worker at the address has been verified again.
    // Until when the worker is cold; Instant::max() while that is unknown.
    std::function<void(Instant cold_until)> on_cold_until;
    // The worker answered a health check that was sent at `sent_at`.
    std::function<void(Instant sent_at, const http::Headers& headers)> on_health_answer;
    // A worker has certainly ended; may be called more than once for the same worker.
    std::function<void(const std::string& worker_id)> on_ended;
    KeyLessor* lessor = nullptr;  // Must outlive the monitor.
  };

  // `pool` and `order_pool` hold the connections to the worker; `order_pool` those of grants and
  // releases. All references must outlive the monitor.
  WorkerMonitor(event::EventLoop& loop, http::ConnectionPool& pool,
                http::ConnectionPool& order_pool, store::StoreClient& store, const WireFormat& wire,
                const Settings& settings, std::string drain_key, LogWriter& log, Observer observer);
  ~WorkerMonitor() override;

  // Called with the drain record of this node whenever the store delivers one.
  void OnDrainRecord(const std::string& worker_id, store::Revision revision);
  // Called once the state has been read from the store, so that it is known whether there is a
  // drain record.
  void OnSynchronized();
  // The store was restored from an older copy of its data, which may lack the drain record.
  void OnStoreRestored();
  // While it is tracked how long the worker is cold, it is asked whenever that may have changed:
  // after it may have been restarted, and after ForgetColdState().
  void TrackColdState(bool tracked);
  // The worker may have turned cold unnoticed.
  void ForgetColdState();
  // A record of this node, of before its start, names this worker as one of its service.
  void OnRecordedWorker(const std::string& worker_id);
  // The settings were read again.
  void OnSettingsChanged();
  // The settings name another service: the worker of the former one is not used any more.
  void OnServiceChanged();
  // Sets the path of health checks; none are sent before it is known.
  void SetHealthPath(const std::string& path);

  // Handles and answers a heartbeat or leave notice of the worker.
  void HandleNotice(const http::ExchangePtr& exchange);

  // Identity of the worker, with its incarnation if known; empty while no worker is known.
  const std::string& worker_id() const { return worker_id_; }
  uint32_t slots() const { return slots_; }
  WorkerState state() const;
  // Since when the worker is known to be leaving; Instant{} when an earlier run of this process
  // learnt of it.
  Instant draining_since() const { return draining_since_; }

  // How far the process at the worker's address has been verified since the last invalidation.
  WorkerProof proof() const;
  // Discards the verification, as another process may be at the worker's address by now, and probes
  // its identity. `reason`: for the log.
  void InvalidateProof(const char* reason);
  // Probes the identity of the process at the worker's address unless it is verified.
  void ProbeIdentity();
  // Whether the worker's identity is complete enough to grant it keys. An identity that was learnt
  // from a health check may lack the incarnation, which only heartbeats and leave notices contain.
  bool IdentityIsComplete() const;
  // Whether the worker's id contains an incarnation besides the identity that it states in
  // responses, so that several incarnations may state the same identity.
  bool HasIncarnationId() const { return wire_.StatedIdentity(worker_id_) != worker_id_; }
  // Whether the incarnation is running now, as shown by an open connection with recent traffic.
  bool RunsNow() const;

  void OnWorkerAnswered(Instant sent, Instant connection_made) override;
  void OnWorkerUnreachable() override;
  // The worker closed an idle connection, or the connection broke.
  void OnIdleConnectionLost();
  void OnWorkerLeaving() override;
  void OnWorkerLimitChanged(std::optional<double> requests_per_second) override;
  void OnRefusedShareChanged(uint32_t percent) override;
  void OnUnstampedSuccess(const std::string& request_id, bool on_reused_connection) override;
  void OnOtherWorker(const std::string& stated_identity) override;
  uint64_t unstamped_successes() const { return unstamped_successes_; }

 private:
  struct DeferredHeartbeat {
    http::ExchangePtr exchange;
    WorkerHeartbeat heartbeat;
    bool processed = false;  // Its content has been applied; only the response is outstanding.
    // It comes from another worker than the present one, and the address is asked who is there.
    bool of_other_worker = false;
    // Together with an earlier one it shows that its sender is running.
    bool shows_running = false;
  };

  void OnHeartbeat(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat);
  // Whether the message comes from another worker than the one that is taken for present.
  bool IsOfOtherWorker(const std::string& worker_id) const;
  void OnHeartbeatOfOtherWorker(const http::ExchangePtr& exchange,
                                const WorkerHeartbeat& heartbeat);
  void ContinueHeartbeatOfOtherWorker();
  void AcknowledgeOtherWorker(const DeferredHeartbeat& deferred);
  void OnHeartbeatOfOtherService(const WorkerHeartbeat& heartbeat);
  void OnLeave(const http::ExchangePtr& exchange, const WorkerLeave& leave);
  void OnLeaveOfOtherWorker(const http::ExchangePtr& exchange, const std::string& worker_id);
  void Acknowledge(const http::ExchangePtr& exchange, const std::optional<KeyLease>& lease);
  void AcknowledgeHeartbeat(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat);
  bool IsNewest(const WorkerHeartbeat& heartbeat) const;
  // Whether the heartbeat comes from a former incarnation, or is a late message of one.
  bool IsOfFormerWorker(const WorkerHeartbeat& heartbeat);
  // The full id of the current worker if `worker_id` is its identity without the incarnation, else
  // `worker_id` itself.
  std::string Resolve(const std::string& worker_id) const;
  // Whether `worker_id` adds the incarnation to the identity of the current worker.
  bool CompletesIdentity(const std::string& worker_id) const {
    return worker_id != worker_id_ && worker_id_ == wire_.StatedIdentity(worker_id);
  }
  bool RecordedDraining() const;
  bool Confirmed() const { return !worker_id_.empty() && confirmed_at_ > proof_invalidated_at_; }
  // Delays the response to a heartbeat until more is known. At most one response is delayed.
  void Defer(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat, bool processed);
  void ContinueDeferred();
  // Answers the deferred heartbeat with the current state.
  void AnswerDeferred();
  void RecordDrain(const http::ExchangePtr& exchange, const std::string& worker_id,
                   std::function<void()> acknowledge);
  void WriteDrainRecord(const http::ExchangePtr& exchange, const std::string& worker_id,
                        std::function<void()> acknowledge);
  void OnDrainRecordKnown();
  // Where the identity of a worker was learnt.
  enum class Source {
    kNotice,   // From a heartbeat or leave notice of the worker.
    kAddress,  // From a response at the worker's address; the incarnation may be missing.
  };
  // `alive_at`: a time at which the worker was certainly at its address; Instant{} if none is
  // known.
  void AdoptWorker(const std::string& worker_id, Instant alive_at, Source source);
  // The process at the worker's address states the identity of another worker.
  void OnOtherIdentity(const std::string& stated_identity, Instant alive_at);
  // Another process is at the worker's address, and it is not known to be of this node's service.
  void MarkReplaced(const std::string& stated_identity);
  void NoteAnswer();
  void SetColdUntil(Instant cold_until);
  void OnHeartbeatColdState(const WorkerHeartbeat& heartbeat);
  void OnProbeColdState(const http::Response& response);
  bool ColdStateUnknown() const { return cold_until_ == Instant::max(); }
  bool NoConnectionOpen() const;
  void Confirm(Instant alive_at);
  void ConfirmIncarnation(Instant alive_at);
  void MarkDraining();
  void MarkDead(const char* reason);
  void Probe();
  void OnProbe(const std::optional<http::Response>& response, http::ClientFailure failure,
               Instant connection_made);
  void OnProbeFailed(bool refused);
  void OnProbeAnswer(const http::Response& response, Instant connection_made);
  // A health check was answered by a process that states this identity.
  void OnIdentifiedAnswer(const std::string& identity, const http::Response& response,
                          Instant connection_made);
  // Whether the worker's side has closed all connections and the worker was not heard since.
  bool ConnectionsEnded() const;
  Duration MaxSilence() const;
  bool IsSilent() const;
  void CheckSilence();

  event::EventLoop& loop_;
  http::ConnectionPool& pool_;
  http::ConnectionPool& order_pool_;
  const WireFormat& wire_;
  const Settings& settings_;
  LogWriter& log_;
  Observer observer_;
  event::Timer probe_timer_;
  event::Timer silence_timer_;
  std::optional<DeferredHeartbeat> deferred_;
  event::Timer deferred_timer_;
  DrainRecord drain_record_;
  std::unique_ptr<http::SimpleCall> probe_;
  std::string health_path_;
  std::string worker_id_;  // Empty while no worker is known to be alive.
  FormerWorkers former_workers_;
  ServiceMembers members_;
  uint32_t slots_ = 0;
  int64_t sequence_ = -1;
  Instant answered_at_{};  // When the heartbeat with that sequence was answered.
  bool draining_ = false;
  Instant draining_since_{};
  bool cold_state_tracked_ = false;
  Instant cold_until_{};               // Instant::max(): not known.
  Instant cold_state_forgotten_at_{};  // Since when it was not known.
  Instant heard_at_{};                 // Time of the latest heartbeat or response.
  Source source_ = Source::kAddress;   // Where worker_id_ was learnt.
  Instant adopted_at_{};
  Instant confirmed_at_{};           // Latest time at which its identity was stated at its address.
  Instant incarnation_proven_at_{};  // Latest time at which this incarnation was certainly there.
  Instant proof_invalidated_at_{};
  Instant probe_sent_at_{};
  uint32_t failed_probes_ = 0;   // Consecutive.
  uint32_t refused_probes_ = 0;  // Consecutive: connection refused and no connection open.
  uint64_t unstamped_successes_ = 0;
  bool synchronized_ = false;
  // Whether this process has neither found a worker since its start nor established its absence.
  bool initial_search_ = true;
};

}  // namespace runshelf::sidecar
