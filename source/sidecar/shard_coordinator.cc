#include "source/sidecar/shard_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace runshelf::sidecar {
namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);
// A report after a jump of the rate measures this long, so that chance does not decide.
constexpr Duration kEarlyReportDelay = std::chrono::milliseconds(500);
// Load reports older than this are ignored.
constexpr Duration kReportLifetime = std::chrono::seconds(5);
// Consecutive conflicts that are each followed by an immediate new plan; after that the planner
// waits for its next tick.
constexpr int kMaxImmediateReplans = 6;
constexpr Duration kReplanDelay = std::chrono::milliseconds(1);
// Number of nodes that receive load reports: the one that balances and its potential successor.
constexpr size_t kReportReceivers = 2;

}  // namespace

ShardCoordinator::ShardCoordinator(event::EventLoop& loop, PeerDirectory& peers, ShardStore& shards,
                                   FormerGrants& former_grants, LogWriter& log,
                                   ShardCoordinatorConfig config)
    : loop_(loop),
      peers_(peers),
      shards_(shards),
      former_grants_(former_grants),
      log_(log),
      config_(std::move(config)),
      timer_(loop, [this] { Tick(); }),
      reports_(loop, [this](std::string_view data) { OnReport(data); }) {}

void ShardCoordinator::SetActive(bool active) {
  if (active == active_) return;
  active_ = active;
  if (!active) {
    timer_.Stop();
    return;
  }
  active_since_ = loop_.Now();
  if (!bound_ && config_.report_port != 0) {
    bound_ = reports_.Bind({config_.ip_address, config_.report_port}) == 0;
  }
  timer_.Start(config_.tick_interval);
}

void ShardCoordinator::Tick() {
  timer_.Start(config_.tick_interval);
  ScheduleEarlyReport();
  SendReport();
  MeasureFormerGrants();
  if (loop_.Now() - load_weighed_at_ >= config_.balance_interval) {
    load_weighed_at_ = loop_.Now();
    balance_pending_ = true;
    ObserveDemand();
  }
  ObserveOwners();
  if (shards_.busy()) return;
  Repair();
  if (!balance_pending_ || shards_.busy() || !shards_.IsOfCurrentEra()) return;
  balance_pending_ = false;
  Balance();
}

sharding::PlannerInput ShardCoordinator::MakeInput() const {
  const Instant now = loop_.Now();
  const Duration departure_wait = shards_.restored() && former_grants_.MayBeInForce(now)
                                      ? config_.departure_wait_restored
                                      : config_.departure_wait;
  sharding::PlannerInput input;
  input.now = now;
  input.keys_in_demand = key_demand_.Keys();
  input.token_base = shards_.TokenBase();
  input.former_grants_may_be_valid = shards_.restored() || !config_.first_start;
  for (const auto& [node, peer] : peers_.peers()) {
    if (peer.record.service != config_.service) continue;
    sharding::PlannerWorker worker;
    worker.id = {node, peer.record.worker_id};
    worker.slots = peer.record.slots;
    worker.accepting =
        peer.listed && peer.record.accepts_keys() && !peers_.IsEvacuated(peer.record.zone);
    input.workers.push_back(std::move(worker));
  }
  for (const sharding::Shard& shard : shards_.map().shards()) {
    const std::string& node = shard.owner.node;
    // The item of a node that was never seen was removed before this node started to watch.
    const bool never_seen =
        peers_.Find(node) == nullptr && now - active_since_ > config_.settle_time;
    if (never_seen || peers_.Departed(now, node, departure_wait) || ServesOther(now, node)) {
      input.departed_nodes.insert(node);
    }
  }
  for (const auto& [node, report] : loads_) {
    const auto reported = reported_at_.find(node);
    if (reported != reported_at_.end() && now - reported->second < kReportLifetime) {
      input.loads[node] = report;
    }
  }
  return input;
}

void ShardCoordinator::ObserveOwners() {
  std::map<std::string, Instant> serving_other;
  for (const sharding::Shard& shard : shards_.map().shards()) {
    const std::string& node = shard.owner.node;
    const Peer* peer = peers_.Find(node);
    if (peer == nullptr || !peer->listed || peer->record.service == config_.service) continue;
    const auto known = serving_other_since_.find(node);
    serving_other[node] = known == serving_other_since_.end() ? loop_.Now() : known->second;
  }
  serving_other_since_ = std::move(serving_other);
}

bool ShardCoordinator::ServesOther(Instant now, const std::string& node) const {
  const auto since = serving_other_since_.find(node);
  return since != serving_other_since_.end() && now - since->second >= config_.other_service_wait;
}

size_t ShardCoordinator::Rank() const {
  size_t rank = 0;
  for (const auto& [node, peer] : peers_.peers()) {
    if (node >= config_.node) break;
    if (peer.record.service == config_.service && peer.listed && peer.record.accepting()) ++rank;
  }
  return rank;
}

void ShardCoordinator::ScheduleEarlyReport() {
  if (!load_sampler_ || !load_sampler_()) return;
  report_due_at_ = loop_.Now() + kEarlyReportDelay;
}

void ShardCoordinator::SendReport() {
  const Instant now = loop_.Now();
  if (!report_source_ || now < report_due_at_) return;
  report_due_at_ = now + kReportInterval;
  sharding::LoadReport report;
  report.node = config_.node;
  report.service = config_.service;
  report_source_(&report);
  loads_[config_.node] = report;
  reported_at_[config_.node] = now;
  if (!bound_) return;
  const std::string text = report.Serialize();
  size_t sent = 0;
  for (const auto& [node, peer] : peers_.peers()) {
    if (sent >= kReportReceivers) break;
    if (peer.record.service != config_.service || !peer.record.accepting()) continue;
    ++sent;
    if (node == config_.node) continue;
    peers_.OnTraffic(TrafficKind::kLoadReports, node, text.size());
    reports_.Send({peer.record.inbound.ip, config_.report_port}, text);
  }
}

void ShardCoordinator::OnReport(std::string_view data) {
  sharding::LoadReport report;
  if (!sharding::LoadReport::Parse(std::string(data), &report)) return;
  if (report.service != config_.service) return;
  reported_at_[report.node] = loop_.Now();
  loads_[report.node] = std::move(report);
}

void ShardCoordinator::Repair() {
  if (!shards_.IsOfCurrentEra()) {
    CarryOver();
    return;
  }
  const Instant now = loop_.Now();
  if (shards_.map().empty() && now - active_since_ < config_.settle_time) return;
  sharding::Plan plan = PlanRepair(shards_.map(), MakeInput(), config_.planner);
  if (!plan.changed && shards_.map().HasCarriedOver() && !former_grants_.MayBeInForce(now)) {
    plan.map = shards_.map();
    plan.map.EndCarryOver();
    plan.reason = "carry-over-ended";
    plan.changed = true;
  }
  if (!plan.changed) {
    repair_needed_since_ = Instant{};
    return;
  }
  if (repair_needed_since_ == Instant{}) repair_needed_since_ = now;
  if (IsDue(repair_needed_since_, now)) Commit(plan, "shard_map_repair");
}

bool ShardCoordinator::IsDue(Instant since, Instant now) const {
  return now - since >= config_.rank_delay * static_cast<int64_t>(Rank());
}

// One node suffices: the others see its store item before their turn comes.
void ShardCoordinator::MeasureFormerGrants() {
  const bool keys_wait = shards_.MustBeCarriedOver() || shards_.map().HasCarriedOver();
  if (keys_wait && IsDue(shards_.era_since(), loop_.Now())) former_grants_.Measure();
}

void ShardCoordinator::CarryOver() {
  const Instant since =
      shards_.era_since() + (shards_.FromRestoredStore() ? config_.carry_over_wait : Duration(0));
  if (!shards_.MustBeCarriedOver() || !IsDue(since, loop_.Now())) return;
  const store::StoreEra former_era = shards_.era();
  const store::Revision former_revision = shards_.revision();
  sharding::ShardMap map = shards_.map();
  map.CarryOver(shards_.TokenBase());
  shards_.CarryOver(map, [this, former_era, former_revision](ShardStore::Outcome outcome) {
    log_.Write(LogLevel::kWarning, "shard_map_carried_over",
               {{"committed", outcome == ShardStore::Outcome::kCommitted},
                {"known", outcome != ShardStore::Outcome::kUnknown},
                {"former_era", former_era},
                {"former_revision", store::RevisionText(former_revision)},
                {"revision", store::RevisionText(shards_.revision())}});
    if (on_committed_) on_committed_();
  });
}

void ShardCoordinator::ObserveDemand() {
  if (Rank() != 0) {
    key_demand_.Clear();
    return;
  }
  for (const auto& [begun, key] : key_demand_.Update(loop_.Now(), shards_.map(), MakeInput())) {
    log_.Write(LogLevel::kInfo, "key_in_demand",
               {{"service", config_.service},
                {"key", key.key},
                {"begun", begun},
                {"owner", key.owner},
                {"requests_per_second", std::lround(key.requests_per_second)},
                {"owner_capacity", std::lround(key.capacity)},
                {"owner_changes", key.owner_changes},
                {"lasted_ms", ToMilliseconds(loop_.Now() - key.since)}});
  }
}

void ShardCoordinator::Balance() {
  if (Rank() != 0) return;
  const sharding::Plan plan = PlanBalance(shards_.map(), MakeInput(), config_.planner);
  if (plan.reason != balance_reason_) {
    balance_reason_ = plan.reason;
    log_.Write(LogLevel::kInfo, "balance_considered",
               {{"outcome", plan.reason}, {"revision", store::RevisionText(shards_.revision())}});
  }
  if (plan.changed) Commit(plan, "shard_map_balance");
}

store::Condition ShardCoordinator::DepartedCondition(const std::string& node) const {
  const Peer* peer = peers_.Find(node);
  const bool serves_other = peer != nullptr && serving_other_since_.contains(node);
  return {config_.node_key_prefix + node, serves_other ? peer->revision : 0};
}

void ShardCoordinator::Commit(const sharding::Plan& plan, std::string_view purpose) {
  std::vector<store::Condition> departed;
  for (const std::string& node : plan.nodes_assumed_departed) {
    departed.push_back(DepartedCondition(node));
  }
  const std::string reason = plan.reason;
  const store::Revision before = shards_.revision();
  const size_t count = plan.map.shards().size();
  shards_.Replace(plan.map, purpose, departed,
                  [this, reason, before, count](ShardStore::Outcome outcome) {
                    log_.Write(LogLevel::kInfo, "shard_map_planned",
                               {{"reason", reason},
                                {"committed", outcome == ShardStore::Outcome::kCommitted},
                                {"revision_before", store::RevisionText(before)},
                                {"revision", store::RevisionText(shards_.revision())},
                                {"shards", count}});
                    OnOutcome(outcome);
                    if (on_committed_) on_committed_();
                  });
}

// The conflict response carried the current map, so that a plan based on it is likely to succeed if
// it is made immediately.
void ShardCoordinator::OnOutcome(ShardStore::Outcome outcome) {
  const bool conflict = outcome == ShardStore::Outcome::kConflict;
  conflicts_ = conflict ? conflicts_ + 1 : 0;
  if (conflict && conflicts_ <= kMaxImmediateReplans && active_) timer_.Start(kReplanDelay);
}

}  // namespace runshelf::sidecar
