// A sidecar process: creates the components of one node and connects them.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "source/event/loop_monitor.h"
#include "source/http/call_set.h"
#include "source/http/client.h"
#include "source/http/server.h"
#include "source/sidecar/configuration_guard.h"
#include "source/sidecar/crash_history_record.h"
#include "source/sidecar/evacuated_zones.h"
#include "source/sidecar/former_grants.h"
#include "source/sidecar/handover_sender.h"
#include "source/sidecar/handover_writer.h"
#include "source/sidecar/inbound_handler.h"
#include "source/sidecar/ingress.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/lost_items.h"
#include "source/sidecar/node_metrics.h"
#include "source/sidecar/peer_directory.h"
#include "source/sidecar/request_quarantine.h"
#include "source/sidecar/settings.h"
#include "source/sidecar/shard_coordinator.h"
#include "source/sidecar/shard_directory.h"
#include "source/sidecar/shard_holder.h"
#include "source/sidecar/shard_store.h"
#include "source/sidecar/state_feed.h"
#include "source/sidecar/stop_schedule.h"
#include "source/sidecar/stop_sequence.h"
#include "source/sidecar/store_probe.h"
#include "source/sidecar/wire_format.h"
#include "source/sidecar/worker_gate.h"
#include "source/sidecar/worker_monitor.h"
#include "source/store/lease_keeper.h"
#include "source/store/prefix_watcher.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Not copyable. All methods must be called on the thread of its event loop.
class Sidecar : private ShardHolderContext, private store::StoreRelay {
 public:
  Sidecar(event::EventLoop& loop, Settings settings, const WireFormat& wire,
          store::StoreCodec& codec, Random& random, LogWriter& log);
  ~Sidecar() override;

  // Listens on all addresses of the settings and starts the node. kUnavailable: the message names
  // the address on which listening failed.
  absl::Status Start();
  // Completes pending requests, hands over the worker's keys, and calls `on_stopped`.
  void Stop(std::function<void()> on_stopped);
  // Applies the settings that may change at run time, which are the fleet's bounds. All other
  // settings keep their values from the start; changed addresses are logged as needing a restart.
  void Reload(const absl::StatusOr<Settings>& settings);
  // The node accepts new clients: it has a configuration and the state, and is not stopping.
  bool ready() const;
  // Version of the configuration in force; zero: none is known.
  int64_t configuration_version() const {
    return configuration_ == nullptr ? 0 : configuration_->version();
  }
  // This node distributes the state of the store to the other nodes.
  bool leads_feed() const { return feed_.leading(); }
  const Ingress& ingress() const { return ingress_; }
  const PeerDirectory& peers() const { return peers_; }
  const Settings& settings() const { return settings_; }

 private:
  // ShardHolderContext
  Instant AuthorityUntil() const override;
  store::Condition LatestRunCondition() const override { return lease_.ItemUnchanged(); }
  WorkerProof VerifyWorker() override {
    monitor_.ProbeIdentity();
    return monitor_.proof();
  }
  bool WorkerRuns() const override { return monitor_.RunsNow(); }
  bool WorkerHasIncarnationId() const override { return monitor_.HasIncarnationId(); }
  void EnsureWorkerConnection() override { monitor_.OnWorkerUnreachable(); }
  void InvalidateWorkerProof(const char* reason) override { monitor_.InvalidateProof(reason); }
  std::vector<sharding::WorkerId> ChooseSuccessors(size_t shard_count) override;
  sharding::WorkerId WorkerOf(const std::string& node) override;
  bool ReportHandover(const HandoverReport& report,
                      const std::function<void(bool written)>& callback) override {
    return handover_sender_.Send(report, callback);
  }
  // StoreRelay
  std::optional<event::Endpoint> ChoosePeer() override;
  void MarkForRelay(http::Request* request) override;

  absl::Status Listen(http::Server* server, const std::optional<event::Endpoint>& endpoint,
                      const char* name);
  // Sets the limits of the servers that do not depend on the configuration.
  void LimitServers();
  void OnOverload(http::OverloadAction action);
  void HandleReadiness(const http::ExchangePtr& exchange);
  void OnUnexpectedAnswer(const http::UnexpectedAnswer& answer);
  void HandleMetrics(const http::ExchangePtr& exchange);
  void OnConfigurationItem(const store::Item& item);
  // `service`: the worker's; nullptr when the configuration lacks it.
  void ApplyColdStart(const routes::Service* service);
  void ApplyLimits(const routes::ClientLimits& limits);
  // The item of an evacuated zone was written or removed.
  void OnEvacuationItem(const std::string& key, bool present);
  void OnEvacuationsSynchronized();
  void UpdateConfigured();
  void UpdateEvacuations();
  void OnZoneEvacuated(const std::string& zone, bool evacuated);
  void OnStateItem(const store::Item& item);
  void LogRefusedItem(const store::Item& item, const char* reason);
  void OnStateRemoved(const std::string& key);
  // The store was restored from a backup, with an older version of the state.
  void OnStateEraBegan(const store::EraChange& change);
  // Whether the fleet may have lost records of ended workers has changed.
  void OnMemoryChanged();
  // An item of the quarantine was written. A watch may have delivered it before the response to the
  // write.
  void OnQuarantineWritten(const store::Item& item);
  void OnStateSynchronized();
  void ChangeService(const std::string& service);
  void ApplyService();
  // Whether the worker's service has keys that this process cannot manage.
  bool ServiceNeedsRestart() const;
  void OnWorkerChanged(bool former_gone);
  // An earlier process of this node wrote this record; its lease has not ended.
  void OnFormerRecord(const store::Item& item);
  void OnHealthAnswer(Instant sent_at, const http::Headers& headers);
  void OnWorkerEnded(const std::string& worker_id);
  // Sends the record of a worker's end to all other nodes directly, without the store.
  void BroadcastWorkerEnd(const std::string& worker_end);
  // What clients and other nodes have not read yet of their answers.
  http::UnsentAnswers UnsentAnswers() const;
  // This node's share of the rate limit that the operators' table sets for the caller class;
  // nullopt: no limit.
  std::optional<double> LocalRateLimit(const std::string& caller_class);
  void Announce();
  void AnnounceStop();
  bool ShouldReleaseKeys() const;
  void EndLease();
  void OnStoreRestored(store::StoreEra former, store::StoreEra present);
  // The store no longer responds on the open connections.
  void OnStoreUnresponsive();
  void OnWatchUnanswered(const store::PrefixWatcher& watcher, const store::UnansweredWatch& watch);
  bool StoreAnswers();
  // Reads the whole state from the store, for the first time or again.
  void ReadState();
  void OnTick();
  void LogTraffic();
  void LogStoreCalls();
  void OnLoopTurn(Duration turn);

  event::EventLoop& loop_;
  Settings settings_;
  const WireFormat& wire_;
  Random& random_;
  LogWriter& log_;
  StopSchedule stop_schedule_;
  // Service of the parts that manage keys: that of the settings when this process started.
  std::string keyed_service_;
  uint64_t incarnation_;
  http::ConnectionPool pool_;
  // Connections for grants and releases. A call without a response closes its connection; the
  // connections of `pool_`, on which the worker answers requests, stay open and show that it runs.
  http::ConnectionPool order_pool_;
  store::StoreClient store_;
  PeerDirectory peers_;
  ShardDirectory shard_directory_;
  TableOverrides table_;
  http::CallSet worker_end_calls_;
  RequestQuarantine quarantine_;
  WorkerGate gate_;
  WorkerMonitor monitor_;
  ShardStore shard_store_;
  FormerGrants former_grants_;
  HandoverWriter handover_writer_;
  HandoverSender handover_sender_;
  ShardHolder holder_;
  ShardCoordinator coordinator_;
  store::LeaseKeeper lease_;
  LostItemWriter lost_items_;
  CrashHistoryRecord memory_;
  store::PrefixWatcher configuration_watcher_;
  store::PrefixWatcher state_watcher_;
  store::PrefixWatcher evacuation_watcher_;
  std::vector<store::PrefixWatcher*> watchers_;  // All of the above.
  StateFeed feed_;
  EvacuatedZones evacuations_;
  NodeMetrics metrics_;
  StoreProbe store_probe_;
  ConfigurationGuard configuration_guard_;
  event::LoopMonitor loop_monitor_;
  Ingress ingress_;
  InboundHandler inbound_handler_;
  http::ServerResources server_resources_;
  http::Server outbound_;
  http::Server inbound_;
  http::Server readiness_;
  http::Server control_plane_;
  http::Server metrics_server_;
  event::Timer tick_;
  event::Timer state_read_timer_;
  StopSequence stop_sequence_;
  std::shared_ptr<const routes::RoutingConfiguration> configuration_;
  // Lease under which the state was last read. The node acts as owner of keys only while this is
  // the current lease.
  store::LeaseId confirmed_lease_ = 0;
  store::LeaseId lease_to_confirm_ = 0;
  bool may_have_forgotten_ = false;
  Instant last_tick_at_{};
  Instant load_reported_at_{};  // Last report of the load of the worker's keys.
  sharding::ServiceTimeMeter service_times_;
  Instant traffic_logged_at_{};
  uint64_t logged_store_calls_ = 0;  // Renewals excluded.
};

}  // namespace runshelf::sidecar
