#include "tools/scale/hollow_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "runshelf/coordination/message_json.h"
#include "tools/scale/cpu_clock.h"

namespace runshelf::scale {
namespace {

using coordination::Action;
using coordination::Envelope;
using coordination::Node;

// As the daemon does.
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kListInterval = std::chrono::milliseconds(500);
constexpr Duration kLoadInterval = std::chrono::milliseconds(500);
constexpr size_t kReportedSlots = 16;

constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kReplacementDelay = std::chrono::milliseconds(500);
constexpr double kSecondsPerHour = 3600;
constexpr size_t kVoters = 5;

// Without a cold start, so many nodes found the group and as many join at a time.
constexpr size_t kFounders = 16;
constexpr Duration kJoinInterval = std::chrono::milliseconds(100);

// A group whose assignment did not change for this long is at rest.
constexpr Duration kQuietTime = std::chrono::milliseconds(2500);

Duration Seconds(double seconds) { return Duration(static_cast<int64_t>(seconds * 1e6)); }

table::CellChange MakeCell(size_t number, int64_t revision) {
  table::CellChange change;
  change.key = {fmt::format("service-{}", number % 16), fmt::format("class-{}", number / 16)};
  change.value = table::CellValue{static_cast<int64_t>(1 + number % 100), 1000 + revision};
  change.mod_revision = revision;
  change.edit_id = fmt::format("{:032x}", revision);
  return change;
}

}  // namespace

std::string_view RoleName(Role role) {
  constexpr std::array<std::string_view, kRoles> kNames = {"leader", "voter", "plain"};
  return kNames.at(static_cast<size_t>(role));
}

HollowFleet::HollowFleet(const FleetConfig& config) : config_(config), random_(config.seed) {
  FillTable();
  const size_t founders = config_.cold_start ? config_.nodes : std::min(config_.nodes, kFounders);
  for (size_t i = 0; i < founders; ++i) AddNode();
  if (config_.edits_per_second > 0) ScheduleEdits();
  if (config_.losses_per_hour > 0) ScheduleLosses();
}

HollowFleet::~HollowFleet() = default;

void HollowFleet::FillTable() {
  table::TableDelta delta;
  delta.complete = true;
  delta.to_revision = 1;
  for (size_t i = 0; i < config_.table_cells; ++i) delta.changes.push_back(MakeCell(i, 1));
  if (!platform_table_.ApplyDelta(delta).ok()) std::abort();
}

void HollowFleet::EditTable() {
  const int64_t revision = TableRevision() + 1;
  table::TableDelta delta;
  delta.from_revision = revision - 1;
  delta.to_revision = revision;
  delta.changes.push_back(
      MakeCell(static_cast<size_t>(revision) % std::max<size_t>(config_.table_cells, 1), revision));
  if (!platform_table_.ApplyDelta(delta).ok()) std::abort();
  HollowNode* leader = Leader();
  if (leader == nullptr) return;
  const int64_t known = leader->mirror.Current()->revision();
  if (!leader->mirror.ApplyDelta(platform_table_.Current()->ChangesSince(known)).ok()) std::abort();
}

HollowNode& HollowFleet::AddNode() {
  const size_t number = nodes_.size();
  coordination::NodeConfig config;
  config.node = fmt::format("node-{:05}", number);
  config.zone = fmt::format("zone-{:02}", number % config_.zones);
  config.service = fmt::format("service-{}", number % config_.services);
  config.slots_per_service = config_.slots_per_service;
  const std::string host =
      fmt::format("10.{}.{}.{}", number % config_.zones, number / 200 % 200, 1 + number % 200);
  config.peer_address = host + ":7101";
  config.forward_address = host + ":7102";
  config.voter_count = kVoters;
  config.renewal_interval = config_.renewal_interval;
  config.grant_duration = config_.grant_duration;
  const InstanceId id = NewInstanceId(config.node, random_);
  auto added = std::make_unique<HollowNode>(config, id, config_.limited_cells);
  HollowNode& node = *added;
  nodes_.push_back(std::move(added));
  // A daemon that starts knows the table from the platform.
  if (!node.mirror.ApplyDelta(platform_table_.Current()->ToCompleteDelta()).ok()) std::abort();
  node.node = coordination::MakeNode(node.config, id, Now(), node.table, &node.limits, random_);
  by_address_[node.config.peer_address] = &node;
  PublishList();
  ScheduleTimers(node);
  return node;
}

void HollowFleet::PublishList() {
  ++list_.version;
  list_.machines.clear();
  for (const auto& node : nodes_) {
    if (!node->running) continue;
    list_.machines.push_back({node->config.node, node->config.peer_address, node->config.zone,
                              infrastructure::MachineState::kLive});
  }
}

void HollowFleet::ScheduleTimers(HollowNode& node) {
  // Daemons do not tick in step with one another.
  const auto later = [this](Duration interval) { return random_.Between(Duration(0), interval); };
  queue_.After(later(kTickInterval), [this, &node] {
    Drive(node, node.traffic.tick_cpu, [this](Node& driven) {
      driven.OnServerState(Now(), coordination::ServerState::kServing);
    });
    TickEvery(node, kTickInterval);
  });
  queue_.After(later(kListInterval / 5), [this, &node] { ListEvery(node, kListInterval); });
  queue_.After(later(kLoadInterval), [this, &node] { LoadEvery(node, kLoadInterval); });
}

void HollowFleet::TickEvery(HollowNode& node, Duration interval) {
  if (!node.running) return;
  Drive(node, node.traffic.tick_cpu, [this](Node& driven) { driven.Tick(Now()); });
  queue_.After(interval, [this, &node, interval] { TickEvery(node, interval); });
}

void HollowFleet::ListEvery(HollowNode& node, Duration interval) {
  if (!node.running) return;
  ++platform_use_.list_reads;
  Drive(node, node.traffic.tick_cpu, [this](Node& driven) { driven.OnMachineList(Now(), list_); });
  queue_.After(interval, [this, &node, interval] { ListEvery(node, interval); });
}

void HollowFleet::LoadEvery(HollowNode& node, Duration interval) {
  if (!node.running) return;
  ReportLoad(node);
  queue_.After(interval, [this, &node, interval] { LoadEvery(node, interval); });
}

void HollowFleet::ReportLoad(HollowNode& node) {
  coordination::LoadReport report;
  report.requests_per_second = config_.requests_per_second;
  if (node.server_grant) {
    for (const SlotNumber slot : FromRanges(node.server_grant->slots)) {
      if (report.hottest_slots.size() == kReportedSlots) break;
      report.hottest_slots.push_back({slot, config_.requests_per_second / kReportedSlots});
    }
  }
  Drive(node, node.traffic.tick_cpu, [&](Node& driven) { driven.OnLoad(Now(), report); });
}

void HollowFleet::ScheduleEdits() {
  queue_.After(Seconds(1 / config_.edits_per_second), [this] {
    EditTable();
    ScheduleEdits();
  });
}

void HollowFleet::ScheduleLosses() {
  queue_.After(Seconds(kSecondsPerHour / config_.losses_per_hour), [this] {
    LoseOne();
    ScheduleLosses();
  });
}

void HollowFleet::LoseOne() {
  std::vector<HollowNode*> candidates;
  for (HollowNode* node : Running()) {
    if (!node->node->Status(Now()).is_voter) candidates.push_back(node);
  }
  if (candidates.empty()) return;
  Kill(*candidates[random_.Below(candidates.size())]);
  queue_.After(kReplacementDelay, [this] { AddNode(); });
}

void HollowFleet::Kill(HollowNode& node) {
  node.running = false;
  by_address_.erase(node.config.peer_address);
  queue_.After(config_.list_lag, [this] { PublishList(); });
}

void HollowFleet::Destroy(HollowNode& node) {
  node.running = false;
  by_address_.erase(node.config.peer_address);
  node.node.reset();
  node.server_grant.reset();
  if (!node.mirror.ApplyDelta({0, INT64_MAX, true, {}}).ok()) std::abort();
}

void HollowFleet::Drive(HollowNode& node, double& cpu, const std::function<void(Node&)>& event) {
  if (!node.running) return;
  MeasureCpu(cpu, [&] { event(*node.node); });
  CarryOut(node);
}

void HollowFleet::CarryOut(HollowNode& node) {
  for (const Action& action : node.node->TakeActions()) CarryOut(node, action);
}

void HollowFleet::CarryOut(HollowNode& node, const Action& action) {
  double& cpu = node.traffic.receive_cpu;
  if (const auto* send = std::get_if<coordination::SendMessage>(&action)) {
    Send(node, *send);
  } else if (const auto* push = std::get_if<coordination::PushGrant>(&action)) {
    node.server_grant = push->grant;
    Drive(node, cpu, [&](Node& driven) { driven.OnGrantAccepted(Now(), push->grant); });
  } else if (std::holds_alternative<coordination::ReadGroupRecord>(action)) {
    ++platform_use_.record_reads;
    Drive(node, cpu,
          [this](Node& driven) { driven.OnGroupRecord(Now(), record_, record_revision_); });
  } else if (const auto* write = std::get_if<coordination::WriteGroupRecord>(&action)) {
    ++platform_use_.record_writes;
    const bool succeeds = write->expected_revision == record_revision_;
    if (succeeds) {
      record_ = write->record;
      ++record_revision_;
      platform_use_.record_bytes = coordination::EncodeGroupRecord(*record_).size();
    }
    Drive(node, cpu,
          [&](Node& driven) { driven.OnGroupRecordWritten(Now(), succeeds, record_revision_); });
  }
}

void HollowFleet::Send(HollowNode& node, const coordination::SendMessage& message) {
  if (on_sent) on_sent(message.envelope);
  std::string bytes = MeasureCpu(node.traffic.encode_cpu,
                                 [&] { return coordination::EncodeEnvelope(message.envelope); });
  const MessageKind kind = KindOf(message.envelope);
  node.traffic.sent.at(static_cast<size_t>(kind)).Add(bytes.size());
  queue_.After(config_.network_delay, [this, address = message.address, bytes = std::move(bytes),
                                       kind] { Deliver(address, bytes, kind); });
}

void HollowFleet::Deliver(const std::string& address, const std::string& bytes, MessageKind kind) {
  const auto found = by_address_.find(address);
  if (found == by_address_.end()) return;
  HollowNode& node = *found->second;
  node.traffic.received.at(static_cast<size_t>(kind)).Add(bytes.size());
  const absl::StatusOr<Envelope> envelope =
      MeasureCpu(node.traffic.decode_cpu, [&] { return coordination::DecodeEnvelope(bytes); });
  if (!envelope.ok()) std::abort();
  Drive(node, node.traffic.receive_cpu, [&](Node& driven) { driven.Receive(Now(), *envelope); });
}

bool HollowFleet::RunUntil(Duration limit, const std::function<bool()>& condition) {
  const sim::TrueTime end = queue_.Now() + limit;
  while (!condition()) {
    if (queue_.Now() >= end) return false;
    Run(kStep);
  }
  return true;
}

bool HollowFleet::Settle(Duration limit) {
  const sim::TrueTime end = queue_.Now() + limit;
  if (!RunUntil(limit, [this] { return Leader() != nullptr; })) return false;
  // The first assignment waits for joiners that come in quick succession, so that none of its slots
  // has to move again.
  while (nodes_.size() < config_.nodes) {
    for (size_t i = 0; i < kFounders && nodes_.size() < config_.nodes; ++i) AddNode();
    Run(kJoinInterval);
  }
  return RunUntilSettled(end - queue_.Now()) && RunUntilQuiet(end - queue_.Now());
}

bool HollowFleet::RunUntilQuiet(Duration limit) {
  uint64_t version = 0;
  Instant changed = Now();
  return RunUntil(limit, [&] {
    const HollowNode* leader = Leader();
    const uint64_t current = leader == nullptr ? 0 : leader->node->Status(Now()).assignment_version;
    if (current != version) changed = Now();
    version = current;
    return version != 0 && Now() - changed >= kQuietTime;
  });
}

bool HollowFleet::RunUntilSettled(Duration limit) {
  return RunUntil(limit, [this] { return ServedSlots() == TotalSlots() && IsSettled(); });
}

bool HollowFleet::IsSettled() const {
  const HollowNode* leader = Leader();
  if (leader == nullptr) return false;
  const std::vector<HollowNode*> running = Running();
  if (leader->node->Status(Now()).nodes.size() != running.size()) return false;
  const auto voters = std::count_if(running.begin(), running.end(), [this](const HollowNode* node) {
    return node->node->Status(Now()).is_voter;
  });
  return static_cast<size_t>(voters) == std::min(kVoters, running.size());
}

void HollowFleet::StartWindow() {
  platform_use_ = {0, 0, 0, platform_use_.record_bytes};
  for (HollowNode* node : Running()) {
    node->traffic = {};
    const coordination::NodeStatus status = node->node->Status(Now());
    node->role = status.is_voter ? Role::kVoter : Role::kPlain;
    if (status.is_leader) node->role = Role::kLeader;
  }
}

HollowNode* HollowFleet::Leader() const {
  for (const auto& node : nodes_) {
    if (node->running && node->node->Status(Now()).is_leader) return node.get();
  }
  return nullptr;
}

std::vector<HollowNode*> HollowFleet::Running() const {
  std::vector<HollowNode*> running;
  for (const auto& node : nodes_) {
    if (node->running) running.push_back(node.get());
  }
  return running;
}

size_t HollowFleet::ServedSlots() const {
  size_t served = 0;
  for (const auto& node : nodes_) {
    if (!node->running || !node->server_grant || Now() >= node->server_grant->expires_at) continue;
    for (const SlotRange& range : node->server_grant->slots) served += range.last - range.first + 1;
  }
  return served;
}

}  // namespace runshelf::scale
