// Runs the planner of shard maps on the nodes beside the workers of a sharded service.
//
// Any of them may repair the map; the first by name also balances load. Compare-and-swap in the
// store decides between nodes that plan at the same time.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "source/event/event_loop.h"
#include "source/event/udp_socket.h"
#include "source/sharding/key_load.h"
#include "source/sharding/shard_planner.h"
#include "source/sidecar/former_grants.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/peer_directory.h"
#include "source/sidecar/shard_store.h"

namespace runshelf::sidecar {

struct ShardCoordinatorConfig {
  std::string node;
  std::string service;
  std::string node_key_prefix;  // Of the items that announce nodes.
  std::string ip_address;
  uint16_t report_port = 0;  // The same on all nodes; zero: no reports.
  // Before the first assignment, so that it covers the workers that start together.
  Duration settle_time = std::chrono::milliseconds(2500);
  // How long a node's item must be gone before its shards are taken.
  Duration departure_wait = std::chrono::milliseconds(300);
  // The same after the store came back from an older copy: nodes write their items again.
  Duration departure_wait_restored = std::chrono::milliseconds(2500);
  // A node that knows the map from the store's copy only waits for those that know it from before.
  Duration carry_over_wait = std::chrono::seconds(3);
  // This is the first start of the whole fleet: there are no grants from before.
  bool first_start = false;
  // Each further node by name waits this much longer before it repairs the map.
  Duration rank_delay = std::chrono::milliseconds(500);
  Duration tick_interval = std::chrono::milliseconds(250);
  Duration balance_interval = std::chrono::seconds(1);
  sharding::PlannerConfig planner;
};

class ShardCoordinator {
 public:
  ShardCoordinator(event::EventLoop& loop, PeerDirectory& peers, ShardStore& shards,
                   FormerGrants& former_grants, LogWriter& log, ShardCoordinatorConfig config);

  // Starts or stops planning; `on_committed` is called after the map was changed from here.
  void SetActive(bool active);
  void set_on_committed(std::function<void()> callback) { on_committed_ = std::move(callback); }
  // Fills in what this node measured of its own worker.
  void set_report_source(std::function<void(sharding::LoadReport*)> source) {
    report_source_ = std::move(source);
  }

  sharding::PlannerInput MakeInput() const;

 private:
  void Tick();
  void SendReport();
  void OnReport(std::string_view data);
  void Repair();
  // Makes the map that is known here the one of the present era of the store.
  void CarryOver();
  // What has been due since then is this node's to do: those before it had the time.
  bool IsDue(Instant since, Instant now) const;
  void MeasureFormerGrants();
  void Balance();
  void Commit(const sharding::Plan& plan);
  void OnOutcome(ShardStore::Outcome outcome);
  // Place of this node among those of the service that accept work, by name.
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
  std::map<std::string, sharding::LoadReport> loads_;
  std::map<std::string, Instant> reported_at_;
  Instant active_since_{};
  Instant repair_needed_since_{};
  Instant balanced_at_{};
  Instant report_sent_at_{};
  std::string balance_reason_;  // Of the latest look at the balance.
  int conflicts_ = 0;           // Plans in a row that another node's change came before.
  bool active_ = false;
  bool bound_ = false;
};

}  // namespace runshelf::sidecar
