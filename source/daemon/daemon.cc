#include "source/daemon/daemon.h"

#include <set>
#include <thread>
#include <utility>

#include "runshelf/common/log.h"
#include "runshelf/common/random.h"
#include "runshelf/coordination/node.h"
#include "runshelf/infrastructure/etcd_key_value_store.h"
#include "runshelf/infrastructure/http_machine_list.h"
#include "runshelf/table/table_mirror.h"
#include "runshelf/transport/control_transport.h"
#include "runshelf/transport/http_server.h"
#include "source/daemon/admission_gate.h"
#include "source/daemon/coordinator.h"
#include "source/daemon/egress_handler.h"
#include "source/daemon/fleet_limits.h"
#include "source/daemon/ingress_handler.h"
#include "source/daemon/load_reporter.h"
#include "source/daemon/platform_agent.h"
#include "source/daemon/server_agent.h"
#include "source/daemon/status_report.h"
#include "source/daemon/table_replica.h"

namespace runshelf::daemon {
namespace {

constexpr Duration kPlatformTimeout = std::chrono::seconds(2);
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(20);

// Forwarded bodies passed the limit of the daemon that took them; this only bounds memory.
constexpr size_t kMaxForwardedBodyBytes = size_t{64} << 20;

coordination::NodeConfig NodeConfigOf(const Settings& settings) {
  coordination::NodeConfig config;
  config.node = settings.node;
  config.zone = settings.zone;
  config.group = settings.group;
  config.service = settings.service;
  config.peer_address = settings.peer_address;
  config.forward_address = settings.forward_address;
  config.seed_addresses = settings.seed_addresses;
  config.slots_per_service = static_cast<uint32_t>(settings.slots_per_service);
  config.voter_count = static_cast<uint32_t>(settings.voter_count);
  config.grant_duration = settings.grant_duration;
  config.renewal_interval = settings.renewal_interval;
  config.clock_rate_margin = settings.clock_rate_margin;
  config.replica.clock_rate_margin = settings.clock_rate_margin;
  config.voter_replacement_delay = settings.voter_replacement_delay;
  config.recovery_delay = settings.recovery_delay;
  config.bootstrap_delay = settings.bootstrap_delay;
  config.rebalance_threshold = settings.rebalance_threshold;
  config.max_moving_slots = static_cast<uint32_t>(settings.max_moving_slots);
  config.slot_move_cooldown = settings.slot_move_cooldown;
  return config;
}

admission::AdmissionConfig AdmissionConfigOf(const Settings& settings) {
  admission::AdmissionConfig config;
  config.slots = static_cast<uint32_t>(settings.server_slots);
  config.queue_max = static_cast<size_t>(settings.queue_limit);
  return config;
}

transport::HttpServerOptions ServerOptions(const Settings& settings, size_t max_body_bytes) {
  transport::HttpServerOptions options;
  options.max_threads = static_cast<int>(settings.max_connections);
  options.max_body_bytes = max_body_bytes;
  return options;
}

routing::RouterConfig RouterConfigOf(const Settings& settings) {
  routing::RouterConfig config;
  config.own_zone = settings.zone;
  return config;
}

class DaemonImpl : public Daemon {
 public:
  DaemonImpl(const Clock& clock, Settings settings)
      : clock_(clock),
        settings_(std::move(settings)),
        self_(NewInstanceId(settings_.node, random_)),
        table_(mirror_.Current()),
        routes_(std::make_shared<const routing::RoutingSnapshot>()),
        table_replica_(mirror_, table_),
        coordinator_(
            clock, [this] { return MakeNode(); }, settings_.group, routes_),
        admission_(clock, AdmissionConfigOf(settings_)),
        repeats_(clock, routing::IdempotencyConfig{}),
        load_(clock.Now()),
        server_client_(clock, settings_.server_address),
        forward_pool_(clock, {}),
        limiter_(self_),
        fleet_limits_(clock, coordinator_, limiter_, table_, settings_.group,
                      settings_.clock_rate_margin),
        forwarder_(clock, RouterConfigOf(settings_), routes_, forward_pool_, metrics_),
        ingress_(clock, self_, KeyedServices(), table_, limiter_, forwarder_, metrics_,
                 [this] { return Status(); }),
        egress_(settings_.service, {clock, coordinator_, repeats_, admission_, server_client_,
                                    load_, table_, metrics_}),
        load_reporter_(load_, coordinator_) {}

  ~DaemonImpl() override { Stop(); }

  absl::Status Open() {
    absl::Status opened = OpenPlatform();
    if (opened.ok()) {
      opened = OpenServers();
    }
    if (opened.ok()) {
      StartThreads();
    }
    return opened;
  }

  bool StopPlanned() override {
    LogEvent(LogLevel::kInfo, "leave_started", {{"instance", self_.ToString()}});
    const Instant deadline = clock_.Now() + settings_.stop_timeout;
    ingress_.BeginLeave();
    egress_.BeginLeave();
    coordinator_.With([](coordination::Node& node, Instant now) { node.BeginLeave(now); });
    bool clean = false;
    while (!clean && clock_.Now() < deadline) {
      std::this_thread::sleep_for(kStopCheckInterval);
      clean = coordinator_.MayStop() && egress_.in_progress() == 0 && admission_.Idle();
    }
    clean = DrainServers(deadline) && clean;
    LogEvent(clean ? LogLevel::kInfo : LogLevel::kWarning,
             clean ? "leave_finished" : "leave_cut_short", {{"instance", self_.ToString()}});
    Stop();
    return clean;
  }

 private:
  // The first node speaks as `self_`; one that replaces it gets an identity of its own.
  std::unique_ptr<coordination::Node> MakeNode() {
    const InstanceId identity =
        std::exchange(first_node_, false) ? self_ : NewInstanceId(settings_.node, random_);
    return coordination::MakeNode(NodeConfigOf(settings_), identity, clock_.Now(), table_replica_,
                                  nullptr, random_);
  }

  std::set<std::string> KeyedServices() const {
    return {settings_.keyed_services.begin(), settings_.keyed_services.end()};
  }

  absl::Status OpenPlatform() {
    auto store =
        infrastructure::MakeEtcdKeyValueStore(settings_.platform_address, kPlatformTimeout);
    if (!store.ok()) {
      return store.status();
    }
    auto machines =
        infrastructure::MakeHttpMachineList(settings_.machine_list_address, kPlatformTimeout);
    if (!machines.ok()) {
      return machines.status();
    }
    store_ = std::move(*store);
    machines_ = std::move(*machines);
    platform_ = std::make_unique<PlatformAgent>(
        clock_, *store_, *machines_, mirror_, table_, coordinator_,
        PlatformAgentOptions{settings_.group, settings_.machine_list_interval});
    return absl::OkStatus();
  }

  void OnControlMessage(const std::string& message) {
    if (IsLimitMessage(message)) {
      fleet_limits_.OnMessage(message);
    } else {
      coordinator_.OnMessage(message);
    }
  }

  absl::Status OpenServers() {
    auto control = transport::ControlTransport::Start(
        clock_, settings_.peer_address,
        [this](const std::string& message) { OnControlMessage(message); });
    if (!control.ok()) {
      return control.status();
    }
    control_ = std::move(*control);
    auto forward =
        transport::HttpServer::Start(clock_, settings_.forward_address,
                                     ServerOptions(settings_, kMaxForwardedBodyBytes), egress_);
    if (!forward.ok()) {
      return forward.status();
    }
    forward_server_ = std::move(*forward);
    auto http = transport::HttpServer::Start(
        clock_, settings_.http_address,
        ServerOptions(settings_, static_cast<size_t>(settings_.max_body_bytes)), ingress_);
    if (!http.ok()) {
      return http.status();
    }
    http_server_ = std::move(*http);
    return absl::OkStatus();
  }

  void StartThreads() {
    if (!settings_.service.empty()) {
      server_agent_ =
          std::make_unique<ServerAgent>(clock_, server_client_, admission_, ServerCallbacks());
    }
    NodeEffects effects;
    effects.send = [this](const std::string& address, const std::string& message) {
      control_->Send(address, message);
    };
    effects.push_grant = [this] {
      if (server_agent_ != nullptr) {
        server_agent_->PushGrant();
      }
    };
    effects.read_group_record = [this] { platform_->ReadGroupRecord(); };
    effects.write_group_record = [this](const coordination::WriteGroupRecord& write) {
      platform_->WriteGroupRecord(write);
    };
    coordinator_.Start(std::move(effects));
    if (server_agent_ != nullptr) {
      server_agent_->Start();
    }
    platform_->Start();
    load_reporter_.Start();
    fleet_limits_.Start([this](const std::string& address, const std::string& message) {
      control_->Send(address, message);
    });
    LogEvent(LogLevel::kInfo, "daemon_started",
             {{"instance", self_.ToString()}, {"http_address", settings_.http_address}});
  }

  ServerAgentCallbacks ServerCallbacks() {
    ServerAgentCallbacks callbacks;
    callbacks.on_state = [this](coordination::ServerState state) {
      coordinator_.With(
          [&](coordination::Node& node, Instant now) { node.OnServerState(now, state); });
    };
    callbacks.grant_to_push = [this] { return coordinator_.GrantToPush(); };
    callbacks.on_grant_accepted = [this](const coordination::ServerGrant& grant) {
      coordinator_.With(
          [&](coordination::Node& node, Instant now) { node.OnGrantAccepted(now, grant); });
    };
    return callbacks;
  }

  std::string Status() const {
    const std::shared_ptr<const routing::RoutingSnapshot> routes = routes_.Current();
    const StatusReport report{
        coordinator_.Status(), *routes,           table_.Current()->revision(),
        platform_->AwayFor(),  admission_.Load(), control_->counters()};
    return EncodeStatus(report);
  }

  // Cuts no request of callers and of other daemons; false when that took longer than `deadline`.
  bool DrainServers(Instant deadline) {
    bool forward_drained = false;
    std::thread forward([&] { forward_drained = forward_server_->Drain(deadline); });
    const bool http_drained = http_server_->Drain(deadline);
    forward.join();
    return http_drained && forward_drained;
  }

  // Callers first, so that their requests can still be forwarded; then what serves other daemons.
  void Stop() {
    for (transport::HttpServer* server : {http_server_.get(), forward_server_.get()}) {
      if (server != nullptr) {
        server->Stop();
      }
    }
    fleet_limits_.Stop();
    load_reporter_.Stop();
    coordinator_.Stop();
    if (platform_ != nullptr) {
      platform_->Stop();
    }
    if (server_agent_ != nullptr) {
      server_agent_->Stop();
    }
    if (control_ != nullptr) {
      control_->Stop();
    }
  }

  const Clock& clock_;
  const Settings settings_;
  SystemRandom random_;
  const InstanceId self_;
  bool first_node_ = true;
  table::TableMirror mirror_;
  Published<table::Table> table_;
  Published<routing::RoutingSnapshot> routes_;
  MirrorTableReplica table_replica_;
  Coordinator coordinator_;
  Metrics metrics_;
  AdmissionGate admission_;
  RepeatGuard repeats_;
  LoadMeter load_;
  ServerClient server_client_;
  transport::HttpConnectionPool forward_pool_;
  SharedRateLimiter limiter_;
  FleetLimits fleet_limits_;
  RequestForwarder forwarder_;
  IngressHandler ingress_;
  EgressHandler egress_;
  LoadReporter load_reporter_;
  std::unique_ptr<infrastructure::KeyValueStore> store_;
  std::unique_ptr<infrastructure::MachineList> machines_;
  std::unique_ptr<PlatformAgent> platform_;
  std::unique_ptr<ServerAgent> server_agent_;
  std::unique_ptr<transport::ControlTransport> control_;
  std::unique_ptr<transport::HttpServer> forward_server_;
  std::unique_ptr<transport::HttpServer> http_server_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::Start(const Clock& clock,
                                                      const Settings& settings) {
  auto daemon = std::make_unique<DaemonImpl>(clock, settings);
  absl::Status opened = daemon->Open();
  if (!opened.ok()) {
    return opened;
  }
  return std::unique_ptr<Daemon>(std::move(daemon));
}

}  // namespace runshelf::daemon
