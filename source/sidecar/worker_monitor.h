// What this node believes of the worker beside it: identity, state, and whether it is alive.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "source/event/event_loop.h"
#include "source/http/client.h"
#include "source/http/server.h"
#include "source/sidecar/key_lessor.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/node_record.h"
#include "source/sidecar/settings.h"
#include "source/sidecar/wire_format.h"
#include "source/sidecar/worker_gate.h"
#include "source/sidecar/worker_proof.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// A worker's notice that it leaves binds every later life of this node, so it is written to the
// store before it is acknowledged.
class WorkerMonitor : public WorkerObserver {
 public:
  struct Observer {
    // Identity, state or slots changed, or none was found after a start; `former_gone`: the former
    // worker certainly ended.
    std::function<void(bool former_gone)> on_changed;
    std::function<void()> on_confirmed;  // The worker is known again to be the one at its address.
    // A worker certainly ended; may be told more than once.
    std::function<void(const std::string& worker_id)> on_ended;
    KeyLessor* lessor = nullptr;  // Must outlive the monitor.
  };

  // `order_pool`: of the other connections to the worker.
  WorkerMonitor(event::EventLoop& loop, http::ConnectionPool& pool,
                http::ConnectionPool& order_pool, store::StoreClient& store, const WireFormat& wire,
                const Settings& settings, std::string drain_key, LogWriter& log, Observer observer);
  ~WorkerMonitor() override;

  // The drain record of this node, as the store holds it; `synchronized` once it is known whether
  // there is one.
  void OnDrainRecord(const std::string& worker_id, store::Revision revision);
  void OnSynchronized();
  // The store came back from an older copy of its data, which may lack the drain record.
  void OnStoreRestored();
  // Health checks go to this path; none are made before it is known.
  void SetHealthPath(const std::string& path);

  // Answers a call of the worker.
  void HandleNotice(const http::ExchangePtr& exchange);

  // Names the incarnation of the worker.
  const std::string& worker_id() const { return worker_id_; }
  uint32_t slots() const { return slots_; }
  WorkerState state() const;
  Instant cold_until() const { return cold_until_; }
  // Since when the worker is known to be leaving. Instant{} when an earlier life of this process
  // learnt it.
  Instant draining_since() const { return draining_since_; }

  // What is known since the last doubt of the process at the worker's address.
  WorkerProof proof() const;
  // Another process may be at the worker's address by now: it is asked who it is.
  void InvalidateProof(const char* reason);
  // Asks who is at the worker's address while that is not known.
  void ProbeIdentity();
  // The worker's identity is known well enough to give it keys. Somebody at its address who stated
  // it may be an incarnation that has not told its own yet.
  bool IdentityIsComplete() const;
  // Incarnations of the worker may state one identity, as far as is known.
  bool HasIncarnationId() const { return wire_.StatedIdentity(worker_id_) != worker_id_; }
  // The incarnation runs at this moment: a connection to it is open and alive.
  bool RunsNow() const;

  void OnWorkerAnswered(Instant sent, Instant connection_made) override;
  void OnWorkerUnreachable() override;
  void OnUnstampedSuccess(const std::string& request_id, bool on_reused_connection) override;
  void OnOtherWorker(const std::string& stated_identity) override;
  uint64_t unstamped_successes() const { return unstamped_successes_; }

 private:
  void OnHeartbeat(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat);
  void OnLeave(const http::ExchangePtr& exchange, const WorkerLeave& leave);
  void Acknowledge(const http::ExchangePtr& exchange, const std::optional<KeyLease>& lease);
  void AcknowledgeHeartbeat(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat);
  bool IsNewest(const WorkerHeartbeat& heartbeat) const;
  // A former incarnation speaks, or a message of it came late.
  bool IsOfFormerWorker(const WorkerHeartbeat& heartbeat);
  // The identity with which a worker that does not tell its incarnation is known here.
  std::string Resolve(const std::string& worker_id) const;
  // `worker_id` tells the incarnation of the present worker, which was not known.
  bool CompletesIdentity(const std::string& worker_id) const {
    return worker_id != worker_id_ && worker_id_ == wire_.StatedIdentity(worker_id);
  }
  bool RecordedDraining() const;
  bool Confirmed() const { return !worker_id_.empty() && confirmed_at_ > proof_invalidated_at_; }
  // Keeps a heartbeat whose answer waits until more is known; at most one.
  void Defer(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat, bool processed);
  void ContinueDeferred();
  // Answers the deferred heartbeat with what is known now.
  void AnswerDeferred();
  void RecordDrain(const http::ExchangePtr& exchange, const std::string& worker_id,
                   std::function<void()> acknowledge);
  void WriteDrain(const std::string& worker_id, std::function<void(bool recorded)> callback);
  void WriteDrainAgain(const std::string& worker_id);
  // How the identity of a worker became known.
  enum class Source {
    kNotice,   // The worker told it.
    kAddress,  // Whoever is at its address stated it; the incarnation may be missing.
  };
  // `alive_at`: when the worker certainly was at its address; Instant{}: never, so far.
  void AdoptWorker(const std::string& worker_id, Instant alive_at, Source source);
  void NoteAnswer();
  void Confirm(Instant alive_at);
  void ConfirmIncarnation(Instant alive_at);
  void MarkDraining();
  void MarkDead(const char* reason);
  void Probe();
  void OnProbe(const std::optional<http::Response>& response, http::ClientFailure failure,
               Instant connection_made);
  void OnProbeAnswer(const http::Response& response, Instant connection_made);
  // The connections to the worker were closed by its side, and it has not been heard since.
  bool ConnectionsEnded() const;
  void CheckSilence();

  event::EventLoop& loop_;
  http::ConnectionPool& pool_;
  http::ConnectionPool& order_pool_;
  store::StoreClient& store_;
  const WireFormat& wire_;
  const Settings& settings_;
  std::string drain_key_;
  LogWriter& log_;
  Observer observer_;
  event::Timer probe_timer_;
  event::Timer silence_timer_;
  struct DeferredHeartbeat {
    http::ExchangePtr exchange;
    WorkerHeartbeat heartbeat;
    bool processed = false;  // What it says was taken over; only the answer is missing.
  };
  std::optional<DeferredHeartbeat> deferred_;
  event::Timer deferred_timer_;
  event::Timer drain_timer_;
  std::unique_ptr<http::SimpleCall> probe_;
  std::string health_path_;
  std::string worker_id_;  // Empty while none is known to be alive.
  // Incarnations that another one has replaced, with the latest heartbeat that came of each since
  // the present one was heard last.
  struct FormerWorker {
    Instant heard_at{};
    int64_t sequence = 0;
  };
  std::map<std::string, FormerWorker> former_workers_;
  uint32_t slots_ = 0;
  int64_t sequence_ = -1;
  Instant answered_at_{};  // When the heartbeat with that sequence was answered.
  bool draining_ = false;
  Instant draining_since_{};
  Instant cold_until_{};
  Instant heard_at_{};                // The latest heartbeat or answer.
  Source source_ = Source::kAddress;  // Of the identity.
  Instant adopted_at_{};
  Instant confirmed_at_{};           // Somebody stated the worker's identity.
  Instant incarnation_proven_at_{};  // This incarnation was certainly the one at its address.
  Instant proof_invalidated_at_{};
  Instant probe_sent_at_{};
  uint32_t failed_probes_ = 0;   // In a row.
  uint32_t refused_probes_ = 0;  // The latest of those: nothing listens there, nothing is open.
  std::string recorded_drain_;   // Worker named by the drain record in the store.
  store::Revision drain_revision_ = 0;
  uint64_t unstamped_successes_ = 0;
  bool synchronized_ = false;
  bool initial_search_ =
      true;  // Since the start of the process no worker was found, nor its absence.
};

}  // namespace runshelf::sidecar
