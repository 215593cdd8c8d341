#include "tests/consensus/cluster.h"

#include <algorithm>
#include <iterator>

#include "source/consensus/quorum.h"

namespace runshelf::consensus {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 20ms;
constexpr Duration kRecoveryTime = 8s;
constexpr Duration kSettlingTime = 3s;
constexpr size_t kMaxNodes = 12;

}  // namespace

Cluster::Cluster(const ClusterOptions& options) : options_(options), random_(options.seed) {
  constexpr double kMargins[] = {0.02, 0.1, 0.2};
  config_.clock_rate_margin = kMargins[random_.Below(3)];
  if (Chance(0.5)) config_.lease_duration = config_.election_timeout_min;
  config_.election_timeout_max = config_.election_timeout_min + Between(30ms, 250ms);
  config_.max_log_entries = 4 + random_.Below(40);
  config_.max_entries_per_message = 1 + random_.Below(8);
  wanted_voters_ = 1 + random_.Below(5);
  loss_ = Chance(0.5) ? 0.4 * static_cast<double>(random_.Below(100)) / 100 : 0;
  duplication_ = Chance(0.5) ? 0.1 : 0;
  lateness_ = Chance(0.5) ? 0.1 : 0.01;
  latest_ = Between(5ms, 1500ms);
  longest_pause_ = Between(50ms, 3s);
  fault_interval_ = Between(20ms, 600ms);
  proposal_interval_ = Chance(0.5) ? Between(10ms, 100ms) : Between(200ms, 4s);
  changes_voters_at_election_ = Chance(0.3);

  initial_.index = random_.Below(2) * 10;
  initial_.term = initial_.index;
  initial_.state = "initial";
  for (size_t i = 0; i < wanted_voters_; ++i) initial_.voters.push_back(NextId());
  checker_.emplace(initial_);
  for (const InstanceId& id : initial_.voters) AddNode(id, initial_);
  Schedule({.kind = EventKind::kPropose}, 1ms);
  Schedule({.kind = EventKind::kFault}, 1s);
}

std::optional<Violation> Cluster::Run() {
  RunUntil(options_.faulty_time);
  Heal();
  RunUntil(options_.faulty_time + kRecoveryTime);
  Propose();
  RunUntil(options_.faulty_time + kRecoveryTime + kSettlingTime);
  if (!checker_->Found()) CheckRecovered();
  counts_.committed = checker_->CommittedIndex() - initial_.index;
  return checker_->Found();
}

bool Cluster::Chance(double probability) {
  return static_cast<double>(random_.Below(10000)) < probability * 10000;
}

Instant Cluster::LocalTime(const Node& node) const {
  const double elapsed = static_cast<double>(now_.count()) * node.clock_rate;
  return Instant(node.clock_offset + Duration(static_cast<int64_t>(elapsed)));
}

void Cluster::Schedule(Event event, Duration delay) {
  event.at = now_ + delay;
  event.number = ++event_number_;
  events_.push(std::move(event));
}

void Cluster::AddNode(const InstanceId& id, const Snapshot& initial) {
  Node& node = nodes_[id];
  // Rates between 1 and 1 + margin: any two clocks differ by at most the margin.
  node.clock_rate = 1 + config_.clock_rate_margin * static_cast<double>(random_.Below(1001)) / 1000;
  node.clock_offset = Between(1s, 1000s);
  node.state = initial.state;
  node.applied_index = initial.index;
  node.replica = MakeReplicaImpl(config_, id, initial, LocalTime(node), random_, options_.defects);
  Schedule({.kind = EventKind::kTick, .node = id}, Between(0ms, kTickInterval));
}

InstanceId Cluster::NextId() {
  ++node_number_;
  return {"n" + std::to_string(node_number_), random_.Next() | 1U};
}

void Cluster::RunUntil(Duration end) {
  while (!checker_->Found() && !events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    ++counts_.steps;
    Handle(event);
  }
  now_ = std::max(now_, end);
}

void Cluster::Handle(const Event& event) {
  if (event.kind == EventKind::kFault || event.kind == EventKind::kPropose) {
    const bool faults_over = now_ >= options_.faulty_time;
    if (faults_over) return;
    const bool is_fault = event.kind == EventKind::kFault;
    is_fault ? InjectFault() : Propose();
    Schedule({.kind = event.kind}, Between(1ms, is_fault ? fault_interval_ : proposal_interval_));
    return;
  }
  Node& node = nodes_[event.node];
  if (node.crashed) return;
  if (event.kind == EventKind::kResume) {
    node.paused = false;
    const std::vector<Event> held = std::move(node.held);
    node.held.clear();
    for (const Event& late : held) HandleAtNode(event.node, node, late);
  } else if (node.paused) {
    node.held.push_back(event);
  } else {
    HandleAtNode(event.node, node, event);
  }
}

void Cluster::HandleAtNode(const InstanceId& id, Node& node, const Event& event) {
  if (event.kind == EventKind::kTick) {
    node.replica->Tick(LocalTime(node));
    Schedule({.kind = EventKind::kTick, .node = id}, Between(kTickInterval / 2, kTickInterval));
  } else {
    node.replica->Receive(LocalTime(node), event.from, *event.message);
  }
  AfterStep(id, node);
}

void Cluster::AfterStep(const InstanceId& id, Node& node) {
  const ReplicaOutput output = node.replica->TakeOutput();
  checker_->CheckOutput(output);
  if (output.installed_snapshot) {
    node.state = output.installed_snapshot->state;
    node.applied_index = output.installed_snapshot->index;
    ++counts_.snapshots;
  }
  for (const LogEntry& entry : output.committed) {
    node.state += entry.command;
    node.applied_index = entry.index;
  }
  checker_->CheckReplica(id, *node.replica);
  if (node.replica->NeedsSnapshot()) node.replica->Compact(node.applied_index, node.state);
  for (const OutgoingMessage& message : output.messages) Transmit(id, message);
  checker_->CheckLeases(LeaseHolders());
  const bool leads = node.replica->IsLeader();
  if (!leads || node.led_term == node.replica->CurrentTerm()) return;
  node.led_term = node.replica->CurrentTerm();
  ++counts_.leaders;
  if (changes_voters_at_election_ && now_ < options_.faulty_time) ChangeVoters(id);
}

void Cluster::Transmit(const InstanceId& from, const OutgoingMessage& message) {
  if (nodes_.count(message.to) == 0 || cut_links_.count({from, message.to}) > 0) return;
  const size_t copies = Chance(duplication_) ? 2 : 1;
  for (size_t i = 0; i < copies; ++i) {
    if (Chance(loss_)) continue;
    const Duration delay = Chance(lateness_) ? Between(1ms, latest_) : Between(300us, 3ms);
    Schedule({.kind = EventKind::kMessage,
              .node = message.to,
              .from = from,
              .message = std::make_shared<const Message>(message.message)},
             delay);
  }
}

// Their commit indexes.
std::vector<LogIndex> Cluster::LeaseHolders() const {
  std::vector<LogIndex> commit_indexes;
  for (const auto& [id, node] : nodes_) {
    if (node.crashed || !node.replica->HoldsLease(LocalTime(node))) continue;
    commit_indexes.push_back(node.replica->CommitIndex());
  }
  return commit_indexes;
}

void Cluster::InjectFault() {
  switch (random_.Below(8)) {
    case 0:
      return Pause();
    case 1:
    case 2:
      return CutLinks();
    case 3:
      return Crash();
    case 4:
    case 5:
      return cut_links_.clear();
    default:
      return ChangeVoters(PickNode(true));
  }
}

void Cluster::Pause() {
  const InstanceId id = PickNode(Chance(0.5));
  if (id.empty()) return;
  nodes_[id].paused = true;
  ++counts_.pauses;
  Schedule({.kind = EventKind::kResume, .node = id}, Between(1ms, longest_pause_));
}

// Cuts one direction of one link, all links of one replica, or the group in two.
void Cluster::CutLinks() {
  ++counts_.cuts;
  const InstanceId a = PickNode(Chance(0.5));
  const InstanceId b = PickNode(false);
  const uint64_t form = random_.Below(4);
  std::set<InstanceId> side = {a};
  if (form == 3) {
    for (const auto& [id, node] : nodes_) {
      if (Chance(0.5)) side.insert(id);
    }
  }
  if (form < 2) {
    cut_links_.insert({a, b});
    if (form == 1) cut_links_.insert({b, a});
    return;
  }
  for (const auto& [from, from_node] : nodes_) {
    for (const auto& [to, to_node] : nodes_) {
      if (side.count(from) != side.count(to)) cut_links_.insert({from, to});
    }
  }
}

void Cluster::Crash() {
  const InstanceId id = PickNode(Chance(0.3));
  if (id.empty() || !MayCrash(id)) return;
  nodes_[id].crashed = true;
  ++counts_.crashes;
}

// Whether a majority would be left of the committed voters, and of those of every later entry in
// any log: the group tolerates no more while a change of voters is under way.
bool Cluster::MayCrash(const InstanceId& id) const {
  std::vector<std::vector<InstanceId>> sets = {checker_->CommittedVoters()};
  for (const auto& [other, node] : nodes_) {
    const Log& log = node.replica->GetLog();
    for (LogIndex i = log.BaseIndex() + 1; i <= log.LastIndex(); ++i) {
      const bool is_newer = i > checker_->CommittedVotersIndex();
      if (is_newer && log.At(i).kind == EntryKind::kVoters) sets.push_back(log.At(i).voters);
    }
  }
  std::set<InstanceId> left;
  for (const auto& [other, node] : nodes_) {
    if (!node.crashed && other != id) left.insert(other);
  }
  return std::all_of(sets.begin(), sets.end(), [&](const std::vector<InstanceId>& voters) {
    return HasMajority(voters, left);
  });
}

// As an operator would: lost voters are removed, missing ones added; sometimes any other change.
void Cluster::ChangeVoters(const InstanceId& leader_id) {
  if (leader_id.empty()) return;
  Node& leader = nodes_[leader_id];
  std::vector<InstanceId> voters = leader.replica->Voters();
  const auto lost = std::find_if(voters.begin(), voters.end(),
                                 [&](const InstanceId& voter) { return nodes_[voter].crashed; });
  if (lost != voters.end()) {
    voters.erase(lost);
  } else if (voters.size() <= wanted_voters_ && nodes_.size() < kMaxNodes) {
    const InstanceId added = NextId();
    AddNode(added, Snapshot());
    voters.push_back(added);
  } else if (voters.size() > 1) {
    voters.erase(voters.begin() + static_cast<std::ptrdiff_t>(random_.Below(voters.size())));
  }
  if (leader.replica->ProposeVoters(LocalTime(leader), voters).ok()) ++counts_.voter_changes;
  AfterStep(leader_id, leader);
}

void Cluster::Propose() {
  for (auto& [id, node] : nodes_) {
    if (node.crashed || node.paused || !node.replica->IsLeader()) continue;
    const std::string command = std::to_string(++command_number_) + ";";
    if (!node.replica->Propose(LocalTime(node), command).ok())
      checker_->Report(Violation::kNotLive);
    AfterStep(id, node);
  }
}

void Cluster::Heal() {
  cut_links_.clear();
  loss_ = 0;
  duplication_ = 0;
  lateness_ = 0;
}

void Cluster::CheckRecovered() {
  if (LeaseHolders().size() != 1) checker_->Report(Violation::kNotLive);
  for (const InstanceId& voter : checker_->CommittedVoters()) {
    const Node& node = nodes_[voter];
    if (node.crashed) continue;
    const bool complete = node.applied_index == checker_->CommittedIndex() &&
                          node.state == checker_->StateAt(checker_->CommittedIndex());
    if (!complete) checker_->Report(Violation::kNotLive);
  }
}

// Any running replica, or one that takes itself for the leader; empty when there is none.
InstanceId Cluster::PickNode(bool leader_only) {
  std::vector<InstanceId> candidates;
  for (const auto& [id, node] : nodes_) {
    if (node.crashed || node.paused) continue;
    if (!leader_only || node.replica->IsLeader()) candidates.push_back(id);
  }
  return candidates.empty() ? InstanceId() : candidates[random_.Below(candidates.size())];
}

}  // namespace runshelf::consensus
