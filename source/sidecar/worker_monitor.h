// What this node believes of the worker beside it: identity, state, and whether it is alive.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
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
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// A worker's notice that it leaves binds every later life of this node, so it is written to the
// store before it is acknowledged.
class WorkerMonitor : public WorkerEvidence {
 public:
  struct Observer {
    // Identity, state or slots changed, or none was found after a start; `former_gone`: the former
    // worker certainly ended.
    std::function<void(bool former_gone)> on_changed;
    std::function<void()> on_confirmed;  // The worker is known again to be the one at its address.
    KeyLessor* lessor = nullptr;         // Must outlive the monitor.
  };

  WorkerMonitor(event::EventLoop& loop, http::ConnectionPool& pool, store::StoreClient& store,
                const WireFormat& wire, const Settings& settings, std::string drain_key,
                LogWriter& log, Observer observer);
  ~WorkerMonitor() override;

  // The drain record of this node, as the store holds it; `synchronized` once it is known whether
  // there is one.
  void OnDrainRecord(const std::string& worker_id, store::Revision revision);
  void OnSynchronized();
  // Health checks go to this path; none are made before it is known.
  void SetHealthPath(const std::string& path);

  // Answers a call of the worker.
  void HandleNotice(const http::ExchangePtr& exchange);

  const std::string& worker_id() const { return worker_id_; }
  uint32_t slots() const { return slots_; }
  WorkerState state() const;
  Instant cold_until() const { return cold_until_; }
  // Since when the worker is known to be leaving. Instant{} when an earlier life of this process
  // learnt it.
  Instant draining_since() const { return draining_since_; }

  // The process at the worker's address is the worker that is known: since the last doubt it said
  // so itself, in answer to something that was sent to that address afterwards, or with a heartbeat
  // that cannot have been sent before.
  bool confirmed() const { return !worker_id_.empty() && confirmed_at_ > doubted_at_; }
  // Another process may be at the worker's address by now: it is asked who it is.
  void Doubt();
  // Asks who is at the worker's address while that is not known.
  void AskIdentity();

  void OnWorkerAnswered(Instant sent) override;
  void OnWorkerUnreachable() override;
  void OnOtherWorker(const std::string& worker_id) override;

 private:
  void OnHeartbeat(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat);
  void OnLeave(const http::ExchangePtr& exchange, const WorkerLeave& leave);
  void Acknowledge(const http::ExchangePtr& exchange, const std::optional<KeyLease>& lease);
  void AcknowledgeHeartbeat(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat);
  bool IsNewest(const WorkerHeartbeat& heartbeat) const;
  // Keeps a heartbeat whose answer waits until more is known; at most one.
  void Defer(const http::ExchangePtr& exchange, const WorkerHeartbeat& heartbeat, bool noted);
  void ContinueDeferred();
  // Answers the deferred heartbeat with what is known now.
  void AnswerDeferred();
  void RecordDrain(const http::ExchangePtr& exchange, const std::string& worker_id,
                   std::function<void()> acknowledge);
  // `alive_at`: when the worker certainly was at its address; Instant{}: never, so far.
  void AdoptWorker(const std::string& worker_id, Instant alive_at);
  void Confirm(Instant alive_at);
  void MarkDraining();
  void MarkDead(const char* reason);
  void Probe();
  void OnProbe(const std::optional<http::Response>& response, http::ClientFailure failure);
  void OnProbeAnswer(const http::Response& response);
  void CheckSilence();

  event::EventLoop& loop_;
  http::ConnectionPool& pool_;
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
    bool noted = false;  // What it says was taken over; only the answer is missing.
  };
  std::optional<DeferredHeartbeat> deferred_;
  event::Timer deferred_timer_;
  std::unique_ptr<http::SimpleCall> probe_;
  std::string health_path_;
  std::string worker_id_;  // Empty while none is known to be alive.
  std::set<std::string> former_workers_;
  uint32_t slots_ = 0;
  int64_t sequence_ = -1;
  std::optional<int64_t> born_;  // Of the latest heartbeat.
  bool draining_ = false;
  Instant draining_since_{};
  Instant cold_until_{};
  Instant heard_at_{};  // The latest heartbeat or answer.
  Instant confirmed_at_{};
  Instant doubted_at_{};
  Instant probe_sent_at_{};
  uint32_t failed_probes_ = 0;   // In a row.
  uint32_t refused_probes_ = 0;  // The latest of those: nothing listens there, nothing is open.
  std::string recorded_drain_;   // Worker named by the drain record in the store.
  store::Revision drain_revision_ = 0;
  bool synchronized_ = false;
  bool seeking_ = true;  // Since the start of the process no worker was found, nor its absence.
};

}  // namespace runshelf::sidecar
