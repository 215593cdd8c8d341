// A simulated runshelfd: the production decision code under a shell that stands in for
// source/daemon, on a simulated process.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "runshelf/coordination/node.h"
#include "runshelf/table/table_mirror.h"
#include "tools/sim/egress.h"
#include "tools/sim/ingress.h"
#include "tools/sim/naive.h"
#include "tools/sim/platform.h"
#include "tools/sim/server.h"
#include "tools/sim/server_agent.h"
#include "tools/sim/table_replica.h"

namespace runshelf::sim {

using NodeFactory = std::function<std::unique_ptr<coordination::Node>(
    const coordination::NodeConfig& config, const InstanceId& self, Instant now,
    coordination::TableReplica& table, coordination::LimitShares* limits, Random& random)>;

// Where a message to an address arrives.
class MessageTarget {
 public:
  virtual ~MessageTarget() = default;
  virtual HostIndex host() const = 0;
  virtual void Receive(const coordination::Envelope& envelope) = 0;
};

// Finds who listens at a peer address; nullptr when nobody ever did.
using PeerLookup = std::function<MessageTarget*(const std::string& peer_address)>;

// What all daemons of a simulation share. Must outlive them.
struct DaemonEnvironment {
  EventQueue& queue;
  Network& network;
  Platform& platform;
  NodeFactory make_node;
  PeerLookup find_peer;
  TargetLookup find_target;
  uint64_t next_request_id = 1;
  NaiveParts naive;
};

class Daemon : public ForwardTarget, public MessageTarget {
 public:
  Daemon(DaemonEnvironment& environment, const coordination::NodeConfig& config, HostIndex host,
         const DriftingClock& clock, Server& server, uint64_t seed);

  // Starts the process as a new instance.
  void Start();
  // Ends it; the machine's kernel resets its connections if the machine is up.
  void Kill();
  void Pause() { process_.Pause(); }
  void Resume() { process_.Resume(); }
  void SetHostUp(bool up) { host_up_ = up; }

  // SIGTERM. `noticed` runs when the process takes the signal, `may_stop` once everything is handed
  // over and no request is in progress.
  void BeginLeave(Handler noticed, Handler may_stop);

  void TakeRequest(const CallerRequest& request, CallerAnswerHandler reply,
                   std::function<void(uint64_t handle)> taken);
  void CallerGone(uint64_t handle);

  // ForwardTarget
  HostIndex host() const override { return host_; }
  bool host_up() const override { return host_up_; }
  bool alive() const override { return process_.alive(); }
  uint64_t run() const override { return process_.run(); }
  void Forward(const ForwardedRequest& request, ForwardAnswerHandler reply,
               std::function<void()> lost) override;
  void CancelForwarded(uint64_t request_id) override;

  // MessageTarget
  void Receive(const coordination::Envelope& envelope) override;

  Process& process() { return process_; }
  const InstanceId& instance() const { return instance_; }
  const coordination::NodeConfig& config() const { return config_; }
  const table::TableMirror* table() const { return table_.get(); }
  // nullptr while the process is dead. For the schedule, never for the judge.
  const coordination::Node* node() const { return process_.alive() ? node_.get() : nullptr; }
  size_t in_progress() const;
  Instant Now() const { return clock_.At(environment_.queue.Now()); }

 private:
  void Tick();
  void CarryOut();
  void Perform(const coordination::SendMessage& send);
  void Perform(const coordination::PushGrant& push);
  void Perform(const coordination::ReadGroupRecord& read);
  void Perform(const coordination::WriteGroupRecord& write);
  void Perform(const coordination::LogAction& log);
  void Perform(const coordination::RestartInstance& restart);
  void MakeNewInstance();
  void ReadGroup();
  void ReadMachines();
  void FollowTable();
  void ReadTableRange();
  void ReportLoad();
  void CheckMayStop();

  DaemonEnvironment& environment_;
  coordination::NodeConfig config_;
  HostIndex host_;
  const DriftingClock& clock_;
  Server& server_;
  Process process_;
  SeededRandom random_;
  bool host_up_ = true;

  InstanceId instance_;
  std::unique_ptr<table::TableMirror> table_;
  std::unique_ptr<MirrorReplica> replica_;
  std::shared_ptr<coordination::Node> node_;
  std::unique_ptr<Egress> egress_;
  std::unique_ptr<Ingress> ingress_;
  std::unique_ptr<ServerAgent> server_agent_;
  std::map<uint64_t, std::function<void()>> lost_handlers_;  // Of forwarded requests.
  Handler may_stop_;
  bool table_read_ = false;
};

}  // namespace runshelf::sim
