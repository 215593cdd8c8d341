#include "source/sidecar/sidecar.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "source/sidecar/part_configs.h"
#include "source/sidecar/peer_protocol.h"
#include "source/store/shared_read.h"

namespace runshelf::sidecar {
namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
// The state must be read under the node's lease, so reading it before the lease is acquired would
// require a second read. If there is no lease after this time (several calls to the store at 4 ms
// each), the state is read without one.
constexpr Duration kStateReadDelay = std::chrono::milliseconds(400);
// A node begins to lead the feed only if the store answered it within this time.
constexpr Duration kMaxAnswerAgeOfLeader = std::chrono::milliseconds(700);
constexpr double kPercent = 100;
// A standstill of a quarter of the time that a change may take leaves room for the change to reach
// this node before, and to be asked for afterwards.
constexpr int kStandstillsPerConfigurationTimeout = 4;
// Longer than the event loop waits for events: the timer of the state feed ends each wait sooner.
constexpr Duration kMinStandstill = std::chrono::milliseconds(500);
constexpr Duration kTickInterval = std::chrono::seconds(1);
// Interval of the "traffic" log lines.
constexpr Duration kTrafficLogInterval = std::chrono::seconds(5);
// Event loop iterations of at least this duration are logged, as health checks and beacons are
// delayed by as much.
constexpr Duration kLongTurn = std::chrono::milliseconds(250);
// Time between ticks after which the process counts as suspended, so that all its data may be
// stale.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(2500);

Duration MaxStandstill(Duration configuration_timeout) {
  return std::max(kMinStandstill, configuration_timeout / kStandstillsPerConfigurationTimeout);
}

}  // namespace

Sidecar::Sidecar(event::EventLoop& loop, Settings settings, const WireFormat& wire,
                 store::StoreCodec& codec, Random& random, LogWriter& log)
    : loop_(loop),
      settings_(std::move(settings)),
      wire_(wire),
      random_(random),
      log_(log),
      stop_schedule_(settings_.bounds),
      keyed_service_(settings_.worker_service),
      incarnation_(random.Next() >> 1U),
      pool_(loop),
      order_pool_(loop),
      store_(loop, pool_, codec, StoreConfig(settings_)),
      peers_(settings_.node_name, settings_.zone, settings_.regions),
      worker_end_calls_(loop, pool_),
      quarantine_(loop, store_, wire, random, log, settings_.node_name),
      gate_(loop, pool_, wire, settings_.worker),
      monitor_(loop, pool_, order_pool_, store_, wire, settings_,
               KeyOf(kDrainPrefix, settings_.node_name), log,
               {[this](bool former_gone) { OnWorkerChanged(former_gone); },
                [this] { holder_.OnWorkerConfirmed(); },
                [this](Instant cold_until) { gate_.SetColdUntil(cold_until); },
                [this](Instant sent_at, const http::Headers& headers) {
                  OnHealthAnswer(sent_at, headers);
                },
                [this](const std::string& worker_id) { OnWorkerEnded(worker_id); }, &holder_}),
      shard_store_(store_, settings_.worker_service),
      former_grants_(loop, store_, log, LeaseConfig(settings_).time_to_live),
      handover_writer_(loop, shard_store_, settings_.worker_service, log),
      handover_sender_(loop, pool_, peers_, handover_writer_, settings_.node_name,
                       settings_.worker_service),
      holder_(loop, order_pool_, wire, shard_store_, former_grants_, *this, random, log,
              HolderConfig(settings_)),
      coordinator_(loop, peers_, shard_store_, former_grants_, log, CoordinatorConfig(settings_)),
      lease_(loop, store_, LeaseConfig(settings_)),
      lost_items_(loop, store_, random, log),
      memory_(
          {loop, store_, random, log, settings_.first_start, [this] { return feed_.leading(); }}),
      configuration_watcher_(
          loop, store_, WatchConfig(wire.ConfigurationKey()),
          {[this](const store::Item& item) { OnConfigurationItem(item); }, nullptr, nullptr,
           [this](const store::ChangeSet& changes) {
             feed_.OnChanges(configuration_watcher_, changes);
           },
           nullptr,
           [this](const store::UnansweredWatch& watch) {
             OnWatchUnanswered(configuration_watcher_, watch);
           }}),
      state_watcher_(
          loop, store_, WatchConfig(std::string(kStatePrefix)),
          {[this](const store::Item& item) { OnStateItem(item); },
           [this](const std::string& key) { OnStateRemoved(key); },
           [this] { OnStateSynchronized(); },
           [this](const store::ChangeSet& changes) { feed_.OnChanges(state_watcher_, changes); },
           [this](const store::EraChange& change) { OnStateEraBegan(change); },
           [this](const store::UnansweredWatch& watch) {
             OnWatchUnanswered(state_watcher_, watch);
           }}),
      evacuation_watcher_(
          loop, store_, WatchConfig(wire.EvacuationPrefix()),
          {[this](const store::Item& item) { OnEvacuationItem(item.key, /*present=*/true); },
           [this](const std::string& key) { OnEvacuationItem(key, /*present=*/false); },
           [this] { OnEvacuationsSynchronized(); },
           [this](const store::ChangeSet& changes) {
             feed_.OnChanges(evacuation_watcher_, changes);
           },
           [this](const store::EraChange&) { evacuations_.OnStoreRestored(loop_.Now()); },
           [this](const store::UnansweredWatch& watch) {
             OnWatchUnanswered(evacuation_watcher_, watch);
           }}),
      watchers_{&configuration_watcher_, &state_watcher_, &evacuation_watcher_},
      feed_(loop,
            std::make_unique<NetworkFeedTransport>(loop, pool_, settings_.ip_address,
                                                   BeaconPort(settings_)),
            peers_, watchers_, log, FeedConfig(settings_)),
      store_probe_(
          loop, lease_, [this] { return feed_.leading(); }, [this] { OnStoreUnresponsive(); }),
      configuration_guard_(loop, configuration_watcher_, log,
                           MaxStandstill(settings_.bounds.configuration_timeout)),
      loop_monitor_(loop, [this](Duration turn) { OnLoopTurn(turn); }),
      ingress_(IngressContext{loop, pool_, wire, settings_, peers_, shard_directory_, table_,
                              quarantine_, gate_, log, metrics_, random, stop_schedule_}),
      inbound_handler_(loop, gate_, store_, feed_, quarantine_, handover_writer_, log,
                       stop_schedule_, settings_.link_bytes_per_second),
      server_resources_(loop, ServerResourceLimits(settings_)),
      outbound_(loop, [this](const http::ExchangePtr& exchange) { ingress_.Handle(exchange); }),
      inbound_(loop,
               [this](const http::ExchangePtr& exchange) { inbound_handler_.Handle(exchange); }),
      readiness_(loop, [this](const http::ExchangePtr& exchange) { HandleReadiness(exchange); }),
      control_plane_(
          loop, [this](const http::ExchangePtr& exchange) { monitor_.HandleNotice(exchange); }),
      metrics_server_(loop, [this](const http::ExchangePtr& exchange) { HandleMetrics(exchange); }),
      tick_(loop, [this] { OnTick(); }),
      state_read_timer_(loop, [this] { ReadState(); }),
      stop_sequence_(StopContext{loop, stop_schedule_, ingress_, inbound_handler_, gate_, holder_,
                                 store_, log, [this] { return UnsentAnswers(); }},
                     {[this] { AnnounceStop(); },
                      [this] {
                        EndLease();
                        outbound_.StopListening();
                      }}) {
  gate_.SetConfigured(false);
  gate_.set_key_authority(&holder_);
  gate_.set_worker_observer(&monitor_);
  gate_.set_quarantine(&quarantine_);
  memory_.set_on_changed([this] { OnMemoryChanged(); });
  quarantine_.set_end_broadcaster(
      [this](const std::string& message) { BroadcastWorkerEnd(message); });
  quarantine_.set_on_written([this](const store::Item& item) { OnQuarantineWritten(item); });
  gate_.set_rate_source(
      [this](const std::string& caller_class) { return LocalRateLimit(caller_class); });
  for (http::ConnectionPool* pool : {&pool_, &order_pool_}) {
    pool->set_on_idle_lost([this](const event::Endpoint& endpoint) {
      if (endpoint != settings_.worker) return;
      holder_.OnWorkerConnectionLost();
      monitor_.OnIdleConnectionLost();
    });
    pool->set_on_unexpected_answer(
        [this](const http::UnexpectedAnswer& answer) { OnUnexpectedAnswer(answer); });
  }
  store_.set_relay(this);
  store_.set_on_direct_lost([this] {
    for (store::PrefixWatcher* watcher : watchers_) {
      // A following watcher has no watch at the store that could be lost.
      if (!watcher->following()) watcher->Refresh();
    }
  });
  store_.set_on_reachable_changed([this](bool reachable) {
    log_.Write(LogLevel::kWarning, reachable ? "store_regained" : "store_lost",
               {{"store_calls", store_.calls()}});
    if (!reachable) return;
    for (store::PrefixWatcher* watcher : watchers_) watcher->RetryNow();
  });
  store_.set_on_restored([this](store::StoreEra former, store::StoreEra present) {
    OnStoreRestored(former, present);
  });
  feed_.set_on_transfer([this](const StateTransfer& transfer) {
    metrics_.OnStateTransfer(transfer.succeeded, transfer.bytes, transfer.took);
  });
  outbound_.set_may_overlap(
      [this](const http::RequestHead& head) { return ingress_.MayOverlap(head); });
  ingress_.set_configuration_is_behind([this] { return feed_.IsBehind(wire_.ConfigurationKey()); });
  ingress_.set_configuration_is_current([this] { return configuration_guard_.IsCurrent(); });
  configuration_guard_.set_on_current([this] { ingress_.OnConfigurationCurrent(); });
  feed_.set_store_answers([this] { return StoreAnswers(); });
  peers_.set_on_stop_notice([this](const std::string& node) {
    log_.Write(LogLevel::kInfo, "peer_stopping",
               {{"node", node}, {"store_reachable", store_.reachable()}});
  });
  lease_.set_on_new_lease([this] {
    lease_to_confirm_ = lease_.lease();
    log_.Write(LogLevel::kInfo, "lease_taken", {{"lease", lease_.lease()}});
    ReadState();
  });
  lease_.set_on_former_item([this](const store::Item& item) { OnFormerRecord(item); });
  coordinator_.set_on_committed([this] { holder_.OnMapChanged(); });
  handover_writer_.set_on_committed([this] { holder_.OnMapChanged(); });
  coordinator_.set_report_source([this](sharding::LoadReport* report) {
    const Instant now = loop_.Now();
    holder_.meter().EndPeriod(now - load_reported_at_);
    load_reported_at_ = now;
    holder_.meter().Fill(report);
    report->slots = monitor_.slots();
    report->service_seconds = service_times_.seconds();
  });
  coordinator_.set_load_sampler([this] {
    const Instant now = loop_.Now();
    const double capacity = gate_.Capacity();
    service_times_.Sample(now, capacity > 0 ? monitor_.slots() / capacity : 0);
    if (!holder_.meter().HasJumped(now - load_reported_at_)) return false;
    holder_.meter().Restart();
    load_reported_at_ = now;
    return true;
  });
}

Sidecar::~Sidecar() = default;

absl::Status Sidecar::Listen(http::Server* server, const std::optional<event::Endpoint>& endpoint,
                             const char* name) {
  if (!endpoint.has_value()) return absl::OkStatus();
  const int result = server->Listen(*endpoint);
  if (result == 0) return absl::OkStatus();
  return absl::UnavailableError(std::string("cannot listen on ") + name + " " +
                                endpoint->ToString() + ": " + uv_strerror(result));
}

absl::Status Sidecar::Start() {
  LimitServers();
  for (const absl::Status& status :
       {Listen(&outbound_, settings_.outbound, "outbound"),
        Listen(&inbound_, settings_.inbound, "inbound"),
        Listen(&readiness_, settings_.readiness, "readiness"),
        Listen(&control_plane_, settings_.control_plane, "control_plane"),
        Listen(&metrics_server_, settings_.metrics, "metrics")}) {
    if (!status.ok()) return status;
  }
  log_.Write(LogLevel::kInfo, "started",
             {{"node", settings_.node_name},
              {"zone", settings_.zone},
              {"service", settings_.worker_service},
              {"incarnation", incarnation_},
              {"first_start", settings_.first_start}});
  last_tick_at_ = loop_.Now();
  load_reported_at_ = last_tick_at_;
  tick_.Start(kTickInterval);
  store::StartWithSharedRead(store_, {&configuration_watcher_, &evacuation_watcher_});
  Announce();
  lease_.Start();
  state_read_timer_.Start(kStateReadDelay);
  feed_.Start();
  store_probe_.Start();
  return absl::OkStatus();
}

// Everything written since the backup is lost, including leases. Watchers that follow another node
// receive the current state from it. The state is read again in any case when this node acquires a
// new lease.
void Sidecar::OnStoreRestored(store::StoreEra former, store::StoreEra present) {
  log_.Write(LogLevel::kWarning, "store_restored", {{"former_era", former}, {"era", present}});
  lease_.OnStoreRestored();
  lease_to_confirm_ = 0;
  confirmed_lease_ = 0;
  monitor_.OnStoreRestored();
  quarantine_.OnStoreRestored();
  for (store::PrefixWatcher* watcher : watchers_) {
    if (!watcher->following()) watcher->Refresh();
  }
}

void Sidecar::OnStoreUnresponsive() {
  log_.Write(LogLevel::kInfo, "store_connections_silent", {{"store_calls", store_.calls()}});
  store_.CloseIdleConnections();
  lease_.ResendRenewal();
  for (store::PrefixWatcher* watcher : watchers_) watcher->RestartWatch();
}

void Sidecar::OnWatchUnanswered(const store::PrefixWatcher& watcher,
                                const store::UnansweredWatch& watch) {
  log_.Write(LogLevel::kInfo, "store_watch_unanswered",
             {{"prefix", watcher.prefix()},
              {"after", store::RevisionText(watch.after)},
              {"waited_ms", ToMilliseconds(watch.waited)},
              {"asked_again", watch.asked_again},
              {"leading", feed_.leading()}});
  // If the store is not slow, the connection is dead, and other connections may be too. Idle
  // connections are closed by now, so no later call would detect a dead connection of the other
  // watch.
  if (!store_.answers_promptly()) return;
  for (store::PrefixWatcher* other : watchers_) {
    if (other != &watcher) other->RestartWatch();
  }
}

// A node that the store does not answer must not take over the feed: it would notice the next
// changes as late as the former leader, while its beacons tell the others that they miss nothing.
// It asks, and leads once it was answered. A leader is judged by StoreProbe.
bool Sidecar::StoreAnswers() {
  if (!store_.direct_path_works()) return false;
  if (feed_.leading()) return true;
  const bool watch_unanswered =
      std::any_of(watchers_.begin(), watchers_.end(),
                  [](const store::PrefixWatcher* watcher) { return watcher->store_is_silent(); });
  const bool answered = loop_.Now() - store_.answered_directly_at() < kMaxAnswerAgeOfLeader;
  if (!answered) lease_.RenewNow();
  return answered && !watch_unanswered;
}

void Sidecar::ReadState() {
  state_read_timer_.Stop();
  if (state_watcher_.started()) {
    state_watcher_.Refresh();
  } else {
    state_watcher_.Start();
  }
}

void Sidecar::Reload(const absl::StatusOr<Settings>& settings) {
  if (!settings.ok()) {
    log_.Write(LogLevel::kError, "reload_refused",
               {{"reason", std::string(settings.status().message())}});
    return;
  }
  const bool same_addresses =
      settings->outbound == settings_.outbound && settings->inbound == settings_.inbound &&
      settings->worker == settings_.worker && settings->store == settings_.store;
  settings_.bounds = settings->bounds;
  monitor_.OnSettingsChanged();
  if (settings->worker_service != settings_.worker_service) ChangeService(settings->worker_service);
  configuration_guard_.set_max_standstill(MaxStandstill(settings_.bounds.configuration_timeout));
  if (configuration_ != nullptr) {
    ApplyColdStart(configuration_->FindService(settings_.worker_service));
  }
  log_.Write(same_addresses ? LogLevel::kInfo : LogLevel::kWarning, "reloaded",
             {{"bounds", "applied"},
              {"addresses", same_addresses ? "unchanged" : "changed; restart required"}});
}

// The parts that manage the keys of a service belong to the one that this process was started with.
void Sidecar::ChangeService(const std::string& service) {
  const std::string former = std::exchange(settings_.worker_service, service);
  monitor_.OnServiceChanged();
  if (configuration_ != nullptr) ApplyService();
  log_.Write(LogLevel::kWarning, "service_changed",
             {{"former", former},
              {"service", service},
              {"keys", ServiceNeedsRestart() ? "restart required" : "not affected"}});
  Announce();
}

bool Sidecar::ServiceNeedsRestart() const {
  if (settings_.worker_service == keyed_service_ || configuration_ == nullptr) return false;
  const routes::Service* service = configuration_->FindService(settings_.worker_service);
  return service != nullptr && service->sharded;
}

bool Sidecar::ready() const {
  return !stop_schedule_.begun() && configuration_ != nullptr && state_watcher_.synchronized();
}

void Sidecar::HandleReadiness(const http::ExchangePtr& exchange) {
  exchange->Respond(
      wire_.IsReadinessCheck(exchange->request()) && ready() ? kOk : kServiceUnavailable, {}, "");
}

void Sidecar::OnUnexpectedAnswer(const http::UnexpectedAnswer& answer) {
  metrics_.OnUnexpectedAnswer(answer.kind);
  log_.Write(LogLevel::kWarning, "unexpected_answer",
             {{"kind", std::string(http::NameOf(answer.kind))},
              {"from", answer.endpoint.ToString()},
              {"connection_age_ms", ToMilliseconds(answer.connection_age)},
              {"requests", answer.requests},
              {"purpose", std::string(answer.purpose)},
              {"purpose_before", std::string(answer.purpose_before)},
              {"expected_id", answer.expected_id},
              {"found_id", answer.found_id}});
}

void Sidecar::HandleMetrics(const http::ExchangePtr& exchange) {
  NodeGauges gauges;
  gauges.load = gate_.load();
  gauges.worker_limit = gate_.worker_limit();
  gauges.configuration_version = configuration_version();
  gauges.shard_map_revision = shard_store_.revision();
  gauges.keys_in_demand = coordinator_.keys_in_demand();
  gauges.store_reachable = store_.reachable();
  gauges.store_era = store_.era();
  gauges.evacuated_zones = peers_.evacuated_zones().size();
  gauges.service_needs_restart = ServiceNeedsRestart();
  gauges.zone_evacuated = peers_.IsEvacuated(settings_.zone);
  gauges.ready = ready();
  gauges.live_nodes = peers_.live_nodes();
  gauges.paced_answers = inbound_handler_.pacer_backlog();
  gauges.unsent_answers = UnsentAnswers();
  gauges.request_memory = server_resources_.memory()->used();
  gauges.request_memory_limit = server_resources_.memory()->limit();
  gauges.accepted_connections = server_resources_.connections();
  gauges.overload = server_resources_.counts();
  gauges.requests_under_way = ingress_.UnderWay() + inbound_handler_.UnderWay();
  gauges.stopping = stop_schedule_.begun();
  gauges.store_calls = store_.calls();
  gauges.store_calls_by_cause = store_.calls_by_cause();
  gauges.connections_opened = pool_.opened() + order_pool_.opened();
  gauges.grants_sent = holder_.grants_sent();
  gauges.unstamped_successes = monitor_.unstamped_successes();
  gauges.retries = ingress_.retries();
  gauges.quarantined_requests = quarantine_.quarantined();
  gauges.quarantine_refusals = quarantine_.refusals();
  gauges.overlaps = outbound_.overlap_counts();
  gauges.standstills = configuration_guard_.standstills();
  gauges.quarantine_trials = quarantine_.trials();
  gauges.log_lines_dropped = log_.dropped();
  gauges.freshness = feed_.FreshnessOfState();
  gauges.since_peer_beacon = feed_.TimeSinceLastBeacon();
  http::Headers headers;
  headers.Add("Content-Type", "text/plain; version=0.0.4");
  exchange->Respond(kOk, headers, metrics_.Serialize(gauges));
}

http::UnsentAnswers Sidecar::UnsentAnswers() const {
  return outbound_.unsent_answers() + inbound_.unsent_answers();
}

std::optional<double> Sidecar::LocalRateLimit(const std::string& caller_class) {
  const table::CellValue* cell = table_.Find(settings_.worker_service, caller_class);
  if (cell == nullptr || !cell->limit.has_value()) return std::nullopt;
  const size_t nodes =
      std::max<size_t>(1, peers_.ServingNodes(loop_.Now(), settings_.worker_service));
  return static_cast<double>(*cell->limit) / static_cast<double>(nodes);
}

void Sidecar::Announce() {
  NodeRecord record;
  record.node = settings_.node_name;
  record.incarnation = incarnation_;
  if (settings_.inbound.has_value()) record.inbound = *settings_.inbound;
  record.zone = settings_.zone;
  record.service = settings_.worker_service;
  record.worker_id = monitor_.worker_id();
  record.slots = monitor_.slots();
  record.worker_state = monitor_.state();
  record.takes_keys = holder_.WorkerCanReceiveKeys() && !ServiceNeedsRestart() &&
                      !peers_.IsEvacuated(settings_.zone) &&
                      (monitor_.IdentityIsComplete() || !holder_.OwnersHaveIncarnationIds());
  record.processor_percent = static_cast<uint32_t>(settings_.processor_cores * kPercent);
  record.link_megabits = LinkMegabits(settings_);
  record.stopping = stop_schedule_.Announced(loop_.Now());
  lease_.SetValue(record.Serialize());
}

// Announces the stop in the store and to this node's own choice of workers. Other nodes also learn
// of it from responses.
void Sidecar::AnnounceStop() {
  Announce();
  std::optional<StopNotice> notice = stop_schedule_.Notice(loop_.Now());
  // Requests that this node still accepts may be executed by its own worker if no other can.
  if (notice.has_value()) notice->takes_requests = notice->ends;
  peers_.OnStopNotice(loop_.Now(), settings_.node_name, notice);
  if (!holder_.OwnsNoShards() && !ShouldReleaseKeys()) lease_.RenewNow();
  holder_.SetLeaving(ShouldReleaseKeys());
}

// A stopping node keeps its keys until the store has responded after the stop began. Before that,
// the keys could not be handed over, and if released, no node would serve them.
bool Sidecar::ShouldReleaseKeys() const {
  return monitor_.state() == WorkerState::kDraining || peers_.IsEvacuated(settings_.zone) ||
         stop_schedule_.BegunBy(lease_.renewed_at());
}

// Other nodes may take over the shards of a node as soon as its item is removed. While the worker
// may still hold keys, the item therefore stays until the lease expires; all grants expire earlier.
void Sidecar::EndLease() {
  if (!holder_.WorkerMayHoldKeys()) lease_.End();
}

Instant Sidecar::AuthorityUntil() const {
  // Until the shard map has been carried over to the current era, it is backed by the lease of the
  // former era.
  if (!shard_store_.IsOfCurrentEra()) return lease_.ValidUntilIn(shard_store_.era());
  if (confirmed_lease_ == 0 || confirmed_lease_ != lease_.lease()) return Instant{};
  return lease_.ValidUntil();
}

std::vector<sharding::WorkerId> Sidecar::ChooseSuccessors(size_t shard_count) {
  return ChooseReceivers(shard_store_.map(), coordinator_.MakeInput(), settings_.node_name,
                         shard_count);
}

sharding::WorkerId Sidecar::WorkerOf(const std::string& node) {
  const Peer* peer = peers_.Find(node);
  if (peer == nullptr || !peer->record.accepts_keys()) return {};
  if (peers_.IsEvacuated(peer->record.zone)) return {};
  return {node, peer->record.worker_id};
}

std::optional<event::Endpoint> Sidecar::ChoosePeer() {
  return peers_.ChooseRelay(loop_.Now(), random_);
}

void Sidecar::MarkForRelay(http::Request* request) {
  peer_protocol::MarkStoreCall(&request->head.headers);
}

void Sidecar::OnTick() {
  const Instant now = loop_.Now();
  const Duration elapsed = now - last_tick_at_;
  last_tick_at_ = now;
  tick_.Start(kTickInterval);
  peers_.Sweep(now);
  UpdateEvacuations();
  Announce();
  if (now - traffic_logged_at_ >= kTrafficLogInterval) LogTraffic();
  if (elapsed > kPauseThreshold) {
    log_.Write(LogLevel::kWarning, "paused", {{"elapsed_ms", ToMilliseconds(elapsed)}});
    for (store::PrefixWatcher* watcher : watchers_) watcher->Refresh();
  }
}

// Logs totals since the process started.
void Sidecar::LogTraffic() {
  traffic_logged_at_ = loop_.Now();
  const store::StoreCallCounts& calls = store_.call_counts();
  log_.Write(LogLevel::kInfo, "traffic",
             {{"bytes_between_zones", peers_.traffic().BetweenZones()},
              {"store_reads", calls.reads},
              {"store_watches", calls.watches},
              {"store_transactions", calls.transactions},
              {"store_leases", calls.leases},
              {"store_renewals", calls.renewals},
              {"store_passed_on", calls.forwarded_for_peers}});
  LogStoreCalls();
}

// Logs totals by cause since the process started, unless only renewals were added.
void Sidecar::LogStoreCalls() {
  const uint64_t calls = store_.calls() - store_.call_counts().renewals;
  if (calls == logged_store_calls_) return;
  logged_store_calls_ = calls;
  std::string causes;
  for (const auto& [cause, counted] : store_.calls_by_cause()) {
    if (!causes.empty()) causes += ' ';
    causes +=
        fmt::format("{}:{}={}/{}", cause.operation, cause.subject, counted.sent, counted.conflicts);
  }
  log_.Write(LogLevel::kInfo, "store_calls", {{"causes", causes}});
}

void Sidecar::OnLoopTurn(Duration turn) {
  configuration_guard_.OnLoopIteration();
  metrics_.OnLoopTurn(turn);
  if (turn < kLongTurn) return;
  log_.Write(LogLevel::kWarning, "long_loop_turn", {{"turn_ms", ToMilliseconds(turn)}});
}

void Sidecar::Stop(std::function<void()> on_stopped) {
  if (stop_schedule_.begun()) return;
  outbound_.StartClosing();
  coordinator_.SetActive(false);
  feed_.SetStopping();
  tick_.Stop();
  stop_sequence_.Begin(std::move(on_stopped));
}

}  // namespace runshelf::sidecar
