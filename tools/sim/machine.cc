#include "tools/sim/machine.h"

#include "tools/sim/trace.h"

namespace runshelf::sim {
namespace {

constexpr const char* kForwardPort = ":7102";

ServerConfig MakeServerConfig(const MachineConfig& config, const NaiveParts& naive) {
  ServerConfig server;
  server.service = config.service;
  server.name = config.name;
  server.checks_grants = !naive.no_fencing;
  return server;
}

coordination::NodeConfig MakeNodeConfig(const coordination::NodeConfig& base,
                                        const MachineConfig& config) {
  coordination::NodeConfig node = base;
  node.node = config.name;
  node.zone = config.zone;
  node.service = config.service;
  node.peer_address = config.ip + kPeerPort;
  node.forward_address = config.ip + kForwardPort;
  return node;
}

}  // namespace

Machine::Machine(DaemonEnvironment& environment, Judge& judge, Random& random,
                 const coordination::NodeConfig& base, const MachineConfig& config)
    : environment_(environment),
      judge_(judge),
      config_(config),
      host_(environment.network.AddHost(config.zone)),
      clock_(config.clock_rate, config.clock_offset),
      server_(std::make_unique<Server>(MakeServerConfig(config, environment.naive),
                                       environment.queue, random, judge, clock_)),
      daemon_(std::make_unique<Daemon>(environment, MakeNodeConfig(base, config), host_, clock_,
                                       *server_, config.seed)) {}

void Machine::Boot(bool first) {
  up_ = true;
  stopping_ = false;
  daemon_->SetHostUp(true);
  StartServer(first);
  daemon_->Start();
  OnStateChanged();
}

void Machine::Crash() {
  Trace("crash", config_.name);
  up_ = false;
  stopping_ = false;
  daemon_->SetHostUp(false);
  BeginDisturbance();
  CountDisturbance();
  daemon_->Kill();
  server_->Kill();
  OnStateChanged();
}

void Machine::CrashDaemon() {
  daemon_->Kill();
  stopping_ = false;
  judge_.requests().OnLeaveForgotten(server_->run());
  OnStateChanged();
}

void Machine::RestartDaemon() {
  if (up_ && !daemon_->alive()) {
    daemon_->Start();
    OnStateChanged();
  }
}

void Machine::CrashServer() {
  Trace("crash_server", config_.name);
  BeginDisturbance();
  CountDisturbance();
  server_->Kill();
  OnStateChanged();
}

void Machine::RestartServer() {
  if (up_ && !server_->process().alive()) {
    Trace("restart_server", config_.name);
    StartServer(false);
    OnStateChanged();
  }
}

void Machine::SetDaemonPaused(bool paused) {
  Trace(paused ? "pause_daemon" : "resume_daemon", config_.name);
  if (paused) {
    daemon_->Pause();
  } else {
    daemon_->Resume();
  }
  OnStateChanged();
}

void Machine::SetServerPaused(bool paused) {
  Trace(paused ? "pause_server" : "resume_server", config_.name);
  if (paused) {
    server_->Pause();
  } else {
    server_->Resume();
  }
  OnStateChanged();
}

void Machine::PlannedStop(Handler stopped) {
  if (!daemon_->alive() || stopping_) {
    return;
  }
  Trace("planned_stop", config_.name);
  stopping_ = true;
  daemon_->BeginLeave([this] { OnLeaveNotice(); },
                      [this, stopped = std::move(stopped)] { FinishPlannedStop(stopped); });
}

void Machine::OnLeaveNotice() {
  if (!server_->process().alive()) {
    return;
  }
  judge_.requests().OnLeaveNotice(environment_.queue.Now(), server_->run());
  if (leaving_run_ != server_->run()) {
    leaving_run_ = server_->run();
    judge_.ownership().OnMustMove(judge_.ownership().SlotsLastOwnedBy(leaving_run_));
  }
}

void Machine::FinishPlannedStop(const Handler& stopped) {
  // What the server still has without anybody at the daemon waiting was given up before.
  judge_.requests().OnPlannedStopCut(environment_.queue.Now(), server_->run(),
                                     daemon_->in_progress());
  Trace("stopped", config_.name);
  daemon_->Kill();
  server_->Kill();
  OnStateChanged();
  stopped();
}

void Machine::SetConnected(bool connected) {
  connected_ = connected;
  OnStateChanged();
}

bool Machine::undisturbed() const {
  return up_ && connected_ && daemon_->process().running() && server_->process().running();
}

void Machine::StartServer(bool first) {
  server_->Start(!first);
  if (first) {
    serving_ = true;
  } else {
    disturbance_counted_ = true;  // It takes its share once it serves.
    judge_.ownership().OnServingChanged(environment_.queue.Now(), server_->run(), false);
  }
}

void Machine::OnStateChanged() {
  const TrueTime now = environment_.queue.Now();
  const bool serving = undisturbed();
  if (serving == serving_) {
    return;
  }
  if (serving) {
    undisturbed_since_ = now;
    if (disturbance_counted_) {
      judge_.ownership().OnJoined(server_->run());
    }
    disturbance_counted_ = false;
  } else {
    BeginDisturbance();
  }
  serving_ = serving;
  ++serving_changes_;
  if (!server_->process().alive()) {
    return;
  }
  judge_.ownership().OnServingChanged(now, server_->run(), serving);
  if (!serving) {
    environment_.queue.After(kMustMoveAfter, [this, change = serving_changes_] {
      if (change == serving_changes_) {
        CountDisturbance();
      }
    });
  }
}

// Notes what the server owned when it stopped serving, once for each disturbance.
void Machine::BeginDisturbance() {
  if (serving_ && server_->process().alive()) {
    disturbed_slots_ = judge_.ownership().SlotsLastOwnedBy(server_->run());
    disturbance_counted_ = false;
  }
}

void Machine::CountDisturbance() {
  const bool counted_as_leaving = leaving_run_ == server_->run();
  if (!disturbance_counted_ && !counted_as_leaving) {
    judge_.ownership().OnMustMove(disturbed_slots_);
  }
  disturbance_counted_ = true;
}

}  // namespace runshelf::sim
