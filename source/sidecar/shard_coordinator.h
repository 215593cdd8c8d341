// Runs the shard planner on the nodes of a sharded service.
//
// Any node may repair the map; the first one by name also balances the load. Compare-and-swap in
// the store decides between nodes that plan at the same time.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "source/event/event_loop.h"
#include "source/event/udp_socket.h"
#include "source/sharding/key_demand.h"
#include "source/sharding/key_load.h"
#include "source/sharding/shard_planner.h"
#include "source/sidecar/former_grants.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/peer_directory.h"
#include "source/sidecar/shard_store.h"

namespace runshelf::sidecar {

// Settings of a ShardCoordinator.
struct ShardCoordinatorConfig {
  std::string node;
  std::string service;
  std::string node_key_prefix;  // Key prefix of the store items that announce nodes.
  std::string ip_address;
  uint16_t report_port = 0;  // UDP port for load reports, the same on all nodes; zero: no reports.
  // Wait before the first assignment, so that it includes all workers that start together.
  Duration settle_time = std::chrono::milliseconds(2500);
  // How long a node's item must be absent before its shards are reassigned.
  Duration departure_wait = std::chrono::milliseconds(300);
  // The same after the store was restored from an older copy, as nodes have to rewrite their items.
  Duration departure_wait_restored = std::chrono::milliseconds(2500);
  // How long a node's item must name another service before its shards are reassigned: until then
  // grants of its former process may be in force.
  Duration other_service_wait = std::chrono::seconds(9);
  // Wait before a node carries over a map that it has only from the restored copy, so that nodes
  // that know the map from before the restore come first.
  Duration carry_over_wait = std::chrono::seconds(3);
  // Whether this is the first start of the whole fleet, so that no earlier grants exist.
  bool first_start = false;
  // Additional wait per rank, by node name, before a node repairs the map.
  Duration rank_delay = std::chrono::milliseconds(500);
  Duration tick_interval = std::chrono::milliseconds(250);
  Duration balance_interval = std::chrono::seconds(1);
  sharding::PlannerConfig planner;
};

// Plans changes of one service's shard map on this node and exchanges load reports with the other
// nodes. Not thread-safe. All references must outlive the coordinator.
class ShardCoordinator {
 public:
  ShardCoordinator(event::EventLoop& loop, PeerDirectory& peers, ShardStore& shards,
                   FormerGrants& former_grants, LogWriter& log, ShardCoordinatorConfig config);

  // Starts or stops planning.
  void SetActive(bool active);
  // Sets the function to call after each attempt of this node to change the map.
  void set_on_committed(std::function<void()> callback) { on_committed_ = std::move(callback); }
  // Sets the function that fills a report with the load measured at this node's own worker.
  void set_report_source(std::function<void(sharding::LoadReport*)> source) {
    report_source_ = std::move(source);
  }

  // Sets the function that samples the load of this node's own worker at each tick and tells
  // whether its rate of requests has just jumped. A report follows soon after that.
  void set_load_sampler(std::function<bool()> sampler) { load_sampler_ = std::move(sampler); }

  // Number of keys in demand; zero on nodes that do not plan.
  size_t keys_in_demand() const { return key_demand_.size(); }

  // The planner's input according to the currently known nodes, map and load reports.
  sharding::PlannerInput MakeInput() const;

 private:
  void Tick();
  void ScheduleEarlyReport();
  void SendReport();
  void OnReport(std::string_view data);
  void Repair();
  // Notes which owners of shards serve another service.
  void ObserveOwners();
  bool ServesOther(Instant now, const std::string& node) const;
  // What must hold of the item of a departed node when its shards are reassigned.
  store::Condition DepartedCondition(const std::string& node) const;
  // Carries the map that is known here over into the current era of the store.
  void CarryOver();
  // Whether it is this node's turn to act on a condition that has held since `since`: the nodes of
  // lower rank have had their time.
  bool IsDue(Instant since, Instant now) const;
  void MeasureFormerGrants();
  void ObserveDemand();
  void Balance();
  void Commit(const sharding::Plan& plan, std::string_view purpose);
  void OnOutcome(ShardStore::Outcome outcome);
  // Zero-based position of this node, by name, among the service's nodes that accept work.
  size_t Rank() const;

  event::EventLoop& loop_;
  PeerDirectory& peers_;
  ShardStore& shards_;
  FormerGrants& former_grants_;
  LogWriter& log_;
  ShardCoordinatorConfig config_;
  event::Timer timer_;
  event::UdpSocket reports_;
  std::function<void()> on_committed_;
  std::function<void(sharding::LoadReport*)> report_source_;
  std::function<bool()> load_sampler_;
  std::map<std::string, sharding::LoadReport> loads_;
  std::map<std::string, Instant> reported_at_;
  // Since when owners of shards have been seen to serve another service.
  std::map<std::string, Instant> serving_other_since_;
  Instant active_since_{};
  Instant repair_needed_since_{};
  Instant load_weighed_at_{};
  Instant report_due_at_{};
  bool balance_pending_ = false;
  sharding::KeyDemand key_demand_;
  std::string balance_reason_;  // Outcome of the latest balance check.
  int conflicts_ = 0;           // Consecutive plans that failed because another change came first.
  bool active_ = false;
  bool bound_ = false;
};

}  // namespace runshelf::sidecar
