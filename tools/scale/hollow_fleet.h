// A replica group of hollow nodes: the production coordination::Node of many daemons in one process
// under virtual time. Every message is really encoded and decoded; the network, the platform and
// the servers are perfect. Counts what each node sends, receives and spends.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "runshelf/coordination/node.h"
#include "runshelf/table/table_mirror.h"
#include "tools/scale/hollow_limits.h"
#include "tools/scale/traffic.h"
#include "tools/sim/event_queue.h"
#include "tools/sim/table_replica.h"

namespace runshelf::scale {

struct FleetConfig {
  size_t nodes = 32;
  size_t zones = 5;
  size_t services = 4;
  uint32_t slots_per_service = 256;
  size_t table_cells = 40;
  size_t limited_cells = 4;         // Cells with a limit for which each node has demand.
  double edits_per_second = 0;      // Of single table cells.
  double losses_per_hour = 0;       // Nodes lost and replaced, none of them a voter.
  double requests_per_second = 50;  // Of each server, as reported.
  Duration renewal_interval = std::chrono::milliseconds(150);
  Duration grant_duration = std::chrono::milliseconds(900);
  Duration network_delay = std::chrono::microseconds(500);
  Duration list_lag = std::chrono::seconds(2);  // A lost machine stays listed for this long.
  uint64_t seed = 1;
  // True: all processes start at once. False: a few found the group and the others join it.
  bool cold_start = false;
};

enum class Role { kLeader, kVoter, kPlain };
constexpr size_t kRoles = 3;
std::string_view RoleName(Role role);

struct HollowNode {
  HollowNode(coordination::NodeConfig node_config, InstanceId node_id, size_t limited_cells)
      : config(std::move(node_config)), id(std::move(node_id)), limits(limited_cells) {}

  coordination::NodeConfig config;
  InstanceId id;
  table::TableMirror mirror;
  sim::MirrorReplica table{mirror};
  HollowLimits limits;
  std::unique_ptr<coordination::Node> node;
  std::optional<coordination::ServerGrant> server_grant;
  bool running = true;
  Role role = Role::kPlain;  // At the start of the measured window.
  NodeTraffic traffic;       // Since the start of the measured window.
};

// What the group asked of the platform since the start of the measured window.
struct PlatformUse {
  uint64_t record_reads = 0;
  uint64_t record_writes = 0;
  uint64_t list_reads = 0;
  uint64_t record_bytes = 0;  // Of the newest group record.
};

class HollowFleet {
 public:
  explicit HollowFleet(const FleetConfig& config);
  ~HollowFleet();
  HollowFleet(const HollowFleet&) = delete;
  HollowFleet& operator=(const HollowFleet&) = delete;

  void Run(Duration duration) { queue_.RunUntil(queue_.Now() + duration); }

  // Runs in steps of a millisecond until `condition` holds; false when `limit` has passed before.
  bool RunUntil(Duration limit, const std::function<bool()>& condition);

  // Starts the nodes that are left, and runs until every slot is served, every node registered,
  // every voter in place and no slot moves any more.
  bool Settle(Duration limit);

  // Sets all counters to zero and fixes the roles.
  void StartWindow();

  // Ends daemon and server of `node` at once; the machine list lags behind.
  void Kill(HollowNode& node);
  // Adds a node that is listed from now on.
  HollowNode& AddNode();
  // Changes one cell of the table in the platform; the leader is the one that watches it.
  void EditTable();
  // Frees everything that `node` holds.
  void Destroy(HollowNode& node);

  HollowNode* Leader() const;
  std::vector<HollowNode*> Running() const;
  size_t ServedSlots() const;
  size_t TotalSlots() const { return config_.services * config_.slots_per_service; }
  int64_t TableRevision() const { return platform_table_.Current()->revision(); }

  const std::vector<std::unique_ptr<HollowNode>>& nodes() const { return nodes_; }
  const FleetConfig& config() const { return config_; }
  const PlatformUse& platform_use() const { return platform_use_; }
  Instant Now() const { return Instant(queue_.Now().time_since_epoch() + kEpoch); }

  // Called with every envelope that is sent; for samples.
  std::function<void(const coordination::Envelope&)> on_sent;

 private:
  // Machine clocks do not start at zero, which stands for "never".
  static constexpr Duration kEpoch = std::chrono::seconds(100);

  void FillTable();
  void ScheduleTimers(HollowNode& node);
  void TickEvery(HollowNode& node, Duration interval);
  void ListEvery(HollowNode& node, Duration interval);
  void LoadEvery(HollowNode& node, Duration interval);
  void ScheduleEdits();
  void ScheduleLosses();
  void ReportLoad(HollowNode& node);
  void LoseOne();
  void PublishList();
  // Runs `event` on the node, adds its processor time to `cpu`, and carries out what it asks for.
  void Drive(HollowNode& node, double& cpu, const std::function<void(coordination::Node&)>& event);
  void CarryOut(HollowNode& node);
  void CarryOut(HollowNode& node, const coordination::Action& action);
  void Send(HollowNode& node, const coordination::SendMessage& message);
  void Deliver(const std::string& address, const std::string& bytes, MessageKind kind);
  bool IsSettled() const;
  bool RunUntilSettled(Duration limit);
  bool RunUntilQuiet(Duration limit);

  FleetConfig config_;
  SeededRandom random_;
  sim::EventQueue queue_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
  std::unordered_map<std::string, HollowNode*> by_address_;
  infrastructure::MachineListSnapshot list_;
  std::optional<coordination::GroupRecord> record_;
  int64_t record_revision_ = 0;
  PlatformUse platform_use_;
  table::TableMirror platform_table_;
};

}  // namespace runshelf::scale
