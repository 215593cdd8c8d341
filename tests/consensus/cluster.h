// A group of replicas in one thread under virtual time, with faults drawn from a seed: clocks of
// different rates, lost, doubled, late and reordered messages, cut links, pauses of any length,
// replicas lost for good and replaced by new ones, voters added and removed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "source/consensus/replica_impl.h"
#include "tests/consensus/cluster_checker.h"

namespace runshelf::consensus {

struct ClusterOptions {
  uint64_t seed = 1;
  ReplicaDefects defects;
  Duration faulty_time = std::chrono::seconds(10);
};

// What happened in a run, to show that the faults took place.
struct ClusterCounts {
  uint64_t steps = 0;
  uint64_t leaders = 0;
  uint64_t committed = 0;
  uint64_t crashes = 0;
  uint64_t pauses = 0;
  uint64_t cuts = 0;
  uint64_t voter_changes = 0;
  uint64_t snapshots = 0;
};

class Cluster {
 public:
  explicit Cluster(const ClusterOptions& options);

  // Runs the faulty time and then the recovery; returns the first violation, if any.
  std::optional<Violation> Run();
  const ClusterCounts& Counts() const { return counts_; }

 private:
  enum class EventKind { kTick, kMessage, kResume, kPropose, kFault };

  struct Event {
    Duration at{0};  // Real time.
    uint64_t number = 0;
    EventKind kind = EventKind::kTick;
    InstanceId node = {};
    InstanceId from = {};
    std::shared_ptr<const Message> message = {};

    bool operator>(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  struct Node {
    std::unique_ptr<ReplicaImpl> replica;
    double clock_rate = 1.0;
    Duration clock_offset{0};
    bool crashed = false;
    bool paused = false;
    std::vector<Event> held;  // Arrived while paused.
    Term led_term = 0;        // Last term in which it was seen to lead.
    std::string state;
    LogIndex applied_index = 0;
  };

  bool Chance(double probability);
  Duration Between(Duration low, Duration high) { return random_.Between(low, high); }
  Instant LocalTime(const Node& node) const;
  void Schedule(Event event, Duration delay);
  void AddNode(const InstanceId& id, const Snapshot& initial);
  InstanceId NextId();

  void RunUntil(Duration end);
  void Handle(const Event& event);
  void HandleAtNode(const InstanceId& id, Node& node, const Event& event);
  void AfterStep(const InstanceId& id, Node& node);
  void Transmit(const InstanceId& from, const OutgoingMessage& message);
  std::vector<LogIndex> LeaseHolders() const;

  // Faults and operations.
  void InjectFault();
  void Pause();
  void CutLinks();
  void Crash();
  bool MayCrash(const InstanceId& id) const;
  void ChangeVoters(const InstanceId& leader_id);
  void Propose();
  void Heal();
  void CheckRecovered();
  InstanceId PickNode(bool leader_only);

  ClusterOptions options_;
  SeededRandom random_;
  ReplicaConfig config_;
  Snapshot initial_;
  std::optional<ClusterChecker> checker_;
  std::map<InstanceId, Node> nodes_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::set<std::pair<InstanceId, InstanceId>> cut_links_;
  Duration now_{0};
  uint64_t event_number_ = 0;
  uint64_t node_number_ = 0;
  uint64_t command_number_ = 0;
  size_t wanted_voters_ = 0;
  double loss_ = 0;
  double duplication_ = 0;
  double lateness_ = 0;
  Duration latest_{0};
  Duration longest_pause_{0};
  Duration fault_interval_{0};
  Duration proposal_interval_{0};
  bool changes_voters_at_election_ = false;
  ClusterCounts counts_;
};

}  // namespace runshelf::consensus
