// Draws faults from a seed and lets them happen: which, when, to whom and for how long.
//
// Crashes stay within the tolerated loss: one happens only if enough replicas of the ownership log
// remain, unless the scenario is a majority loss.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tools/sim/callers.h"
#include "tools/sim/faults.h"
#include "tools/sim/fleet.h"

namespace runshelf::sim {

struct ScheduleConfig {
  std::vector<FaultKind> kinds;
  Duration mean_gap = std::chrono::milliseconds(1200);  // Between the starts of two faults.
};

class Schedule {
 public:
  Schedule(EventQueue& queue, Network& network, Platform& platform, Fleet& fleet, Callers& callers,
           Random& random, const Deployment& deployment, const ScheduleConfig& config);

  // Faults begin from now until `end`.
  void Run(TrueTime end);

  // Ends all faults: heals, resumes, restarts, and the platform works normally.
  void HealAll();

  uint64_t begun() const { return begun_; }

 private:
  void ScheduleNext();
  void Begin(FaultKind kind);

  void BeginPartition(bool one_way);
  void BeginIsolation();
  void BeginPlatformPartition();
  void BeginPause(bool daemon, bool server);
  void BeginCrashDaemon();
  void BeginCrashServer();
  void BeginCrashMachine();
  void BeginLeave(bool listed);
  void BeginListedLeave();
  void BeginJoin();
  void BeginPlatformFault(FaultKind kind);
  void BeginLossyNetwork();
  void BeginSlowServer();
  void BeginMajorityLoss();

  void Cut(Partition partition, Duration duration);
  void Stop(Machine& machine, bool listed);
  void ForceStop(Machine& machine, uint64_t daemon_run, bool listed);
  void StartAgain(Machine& machine, bool listed);
  bool MayLoseDaemon(const Machine& machine) const;
  bool MayLoseServer(const Machine& machine) const;
  std::vector<Machine*> Voters() const;
  Machine* DrawMachine();
  std::set<HostIndex> DrawHosts();
  Duration DrawDuration();
  // Runs `handler` after `delay`, unless HealAll comes first.
  void Later(Duration delay, Handler handler);

  EventQueue& queue_;
  Network& network_;
  Platform& platform_;
  Fleet& fleet_;
  Callers& callers_;
  Random& random_;
  Deployment deployment_;
  ScheduleConfig config_;
  NetworkConfig calm_network_;
  TrueTime end_{};
  uint64_t begun_ = 0;
  uint64_t joined_ = 0;
  bool healed_ = false;
};

}  // namespace runshelf::sim
