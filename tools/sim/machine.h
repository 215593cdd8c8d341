// One simulated machine: a clock, a server, and the daemon beside it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "tools/sim/daemon.h"
#include "tools/sim/judge.h"
#include "tools/sim/server.h"

namespace runshelf::sim {

// As long as a grant: who cannot serve for this long has to give up its slots.
inline constexpr Duration kMustMoveAfter = std::chrono::milliseconds(900);

struct MachineConfig {
  std::string name;
  std::string zone;
  std::string service;
  std::string ip;
  double clock_rate = 1;
  Duration clock_offset{0};
  uint64_t seed = 0;
};

// Port of every daemon for messages of other daemons, with the colon.
inline constexpr const char* kPeerPort = ":7101";

class Machine {
 public:
  Machine(DaemonEnvironment& environment, Judge& judge, Random& random,
          const coordination::NodeConfig& base, const MachineConfig& config);

  // Power on: both processes start. `first`: with the whole fleet, warm and not a join.
  void Boot(bool first);
  // Power off: both processes end and nobody answers on the network.
  void Crash();

  void CrashDaemon();
  void RestartDaemon();
  void CrashServer();
  void RestartServer();
  void SetDaemonPaused(bool paused);
  void SetServerPaused(bool paused);

  // SIGTERM to the daemon; when it may stop, both processes end. `stopped` runs then.
  void PlannedStop(Handler stopped);
  bool stopping() const { return stopping_; }
  // Somebody was told that the machine is leaving; its slots have to move.
  void OnLeaveNotice();

  // Whether the network lets it talk with most of the fleet.
  void SetConnected(bool connected);

  bool up() const { return up_; }
  bool undisturbed() const;
  // Since when it is up, running and connected; meaningless while it is not.
  TrueTime undisturbed_since() const { return undisturbed_since_; }

  const MachineConfig& config() const { return config_; }
  HostIndex host() const { return host_; }
  Daemon& daemon() { return *daemon_; }
  Server& server() { return *server_; }
  const Server& server() const { return *server_; }
  const std::string& peer_address() const { return daemon_->config().peer_address; }

 private:
  void StartServer(bool first);
  void OnStateChanged();
  void BeginDisturbance();
  void CountDisturbance();
  void FinishPlannedStop(const Handler& stopped);

  DaemonEnvironment& environment_;
  Judge& judge_;
  MachineConfig config_;
  HostIndex host_;
  DriftingClock clock_;
  std::unique_ptr<Server> server_;
  std::unique_ptr<Daemon> daemon_;
  bool up_ = false;
  bool connected_ = true;
  bool stopping_ = false;
  bool serving_ = false;
  uint64_t serving_changes_ = 0;
  uint64_t disturbed_slots_ = 0;      // Owned when the server stopped serving.
  bool disturbance_counted_ = false;  // They were counted as having to move.
  ServerRun leaving_run_ = 0;         // Whose slots were counted when it began to leave.
  TrueTime undisturbed_since_{};
};

}  // namespace runshelf::sim
