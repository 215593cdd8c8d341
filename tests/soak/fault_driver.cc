#include "tests/soak/fault_driver.h"

#include <algorithm>
#include <utility>

namespace runshelf::soak {
namespace {

using platform_adapter::FakeStore;
using Mode = FaultProxy::Mode;

// How long a worker keeps serving after its drain time-out.
constexpr Duration kServiceAfterDrain = std::chrono::milliseconds(1500);
// A worker exits after this time even if its deregistration is not acknowledged.
constexpr Duration kMaxDeregistrationTime = std::chrono::seconds(8);
constexpr Duration kCopyInterval = std::chrono::milliseconds(250);
// Longer than the maximum age of a restored copy plus the duration of the fault.
constexpr Duration kCopyKept = std::chrono::seconds(13);

// Maps a proxy mode to the store's behaviour towards a node that it rejects.
FakeStore::Fault EntranceFault(Mode mode) {
  switch (mode) {
    case Mode::kPass:
      return FakeStore::Fault::kNone;
    case Mode::kDelay:
      return FakeStore::Fault::kThrottle;
    case Mode::kReset:
      return FakeStore::Fault::kReset;
    case Mode::kSilent:
      return FakeStore::Fault::kSilent;
    case Mode::kForwardOnly:
      return FakeStore::Fault::kRefuse;
    case Mode::kBackwardOnly:
      return FakeStore::Fault::kLoseWrites;
    case Mode::kResetNew:
      return FakeStore::Fault::kReset;
  }
  return FakeStore::Fault::kNone;
}

FakeStore::Fault StoreFault(FaultKind kind) {
  switch (kind) {
    case FaultKind::kStoreRefuses:
    case FaultKind::kStoreDownPastLeases:
      return FakeStore::Fault::kRefuse;
    case FaultKind::kStoreSilent:
    case FaultKind::kStoreRestored:
      return FakeStore::Fault::kSilent;
    case FaultKind::kStoreLosesAnswers:
      return FakeStore::Fault::kLoseWrites;
    case FaultKind::kStoreCarriesOutLate:
      return FakeStore::Fault::kLateWrites;
    default:
      return FakeStore::Fault::kNone;
  }
}

FaultProxy& ProxyOf(const SoakNode& node, FaultKind kind) {
  const bool store = kind == FaultKind::kStorePath || kind == FaultKind::kStoreConnections;
  const bool worker = kind == FaultKind::kWorkerPath || kind == FaultKind::kWorkerConnections;
  return store ? *node.store_proxy : worker ? *node.worker_proxy : *node.node_proxy;
}

}  // namespace

FaultDriver::FaultDriver(event::EventLoop& loop, SoakFleet& fleet, Witness& witness,
                         std::vector<PlannedFault> plan, uint64_t seed)
    : loop_(loop),
      fleet_(fleet),
      witness_(witness),
      plan_(std::move(plan)),
      leaving_since_(fleet.nodes().size()),
      operators_(seed),
      next_timer_(loop, [this] { StartNext(); }) {}

FaultDriver::~FaultDriver() = default;

void FaultDriver::Start() {
  started_ = loop_.Now();
  WriteConfiguration();
  StartNext();
}

void FaultDriver::WriteConfiguration() {
  WrittenConfiguration written = operators_.Next();
  fleet_.store().Put("op/config", written.text);
  witness_.OnConfiguration(std::move(written.allowed));
}

void FaultDriver::StartNext() {
  while (next_ < plan_.size()) {
    const PlannedFault& fault = plan_[next_];
    const Instant due = started_ + fault.at;
    if (due > loop_.Now()) return next_timer_.Start(due - loop_.Now());
    ++next_;
    const auto added = active_.insert(active_.end(), Active{fault, nullptr});
    added->timer = std::make_unique<event::Timer>(loop_, [this, added] {
      const auto ended = std::move(*added);
      active_.erase(added);
      End(ended.fault);
    });
    added->timer->Start(fault.time);
    Begin(fault);
  }
}

const PlannedFault* FaultDriver::Latest(FaultKind kind, size_t node) const {
  const auto found = std::find_if(active_.rbegin(), active_.rend(), [&](const Active& active) {
    return active.fault.kind == kind && active.fault.node == node;
  });
  return found == active_.rend() ? nullptr : &found->fault;
}

void FaultDriver::ApplyStore() {
  FakeStore::Fault latest = FakeStore::Fault::kNone;
  bool leases_wait = false;
  bool loses_history = false;
  for (const Active& active : active_) {
    const FakeStore::Fault fault = StoreFault(active.fault.kind);
    if (fault != FakeStore::Fault::kNone) latest = fault;
    leases_wait = leases_wait || active.fault.leases_wait;
    loses_history = loses_history || active.fault.kind == FaultKind::kStoreForgetsHistory;
  }
  fleet_.store().set_fault(latest);
  fleet_.store().SetLeasesWait(leases_wait);
  fleet_.store().set_watches_silent(loses_history);
}

void FaultDriver::ApplyEntrance(size_t node) {
  const PlannedFault* fault = Latest(FaultKind::kStoreTurnsAway, node);
  fleet_.store().set_entrance_fault(fleet_.node(node).store_entrance,
                                    EntranceFault(fault == nullptr ? Mode::kPass : fault->mode));
}

void FaultDriver::ApplyWorkerListener(size_t node) {
  SoakNode& at = fleet_.node(node);
  at.refuses_connections = Latest(FaultKind::kWorkerStopsListening, node) != nullptr;
  fleet_.ApplyListener(&at);
  ApplyPath(FaultKind::kWorkerPath, node);
}

void FaultDriver::ApplyPath(FaultKind kind, size_t node) {
  const PlannedFault* fault = Latest(kind, node);
  FaultProxy& proxy = ProxyOf(fleet_.node(node), kind);
  const bool worker = kind == FaultKind::kWorkerPath;
  if (fault != nullptr) {
    proxy.SetMode(fault->mode, fault->delay);
  } else if (worker && Latest(FaultKind::kWorkerResetsNew, node) != nullptr) {
    proxy.SetMode(Mode::kResetNew);
  } else {
    proxy.SetMode(Mode::kPass);
  }
}

void FaultDriver::ApplyPair(size_t from, size_t to) {
  const auto found = std::find_if(active_.rbegin(), active_.rend(), [&](const Active& active) {
    return active.fault.kind == FaultKind::kPairPath && active.fault.node == from &&
           active.fault.peer == to;
  });
  if (found == active_.rend()) {
    fleet_.SetPairMode(from, to, Mode::kPass, Duration(0));
  } else {
    fleet_.SetPairMode(from, to, found->fault.mode, found->fault.delay);
  }
}

void FaultDriver::Kill(size_t node, Duration down) {
  fleet_.node(node).process->Kill(loop_.Now(), down);
}

void FaultDriver::Terminate(const PlannedFault& fault) {
  if (!fleet_.node(fault.node).process->Terminate(loop_.Now(), fault.time)) return;
  witness_.OnStopAsked(fault.node);
}

void FaultDriver::Begin(const PlannedFault& fault) {
  SoakNode& node = fleet_.node(fault.node);
  switch (fault.kind) {
    case FaultKind::kKillProcess:
      witness_.BeginFault(fault.node, /*planned=*/false);
      return Kill(fault.node, fault.time);
    case FaultKind::kKillAllProcesses:
      for (const auto& other : fleet_.nodes()) {
        witness_.BeginFault(other->index, /*planned=*/false);
        Kill(other->index, fault.time);
      }
      return;
    case FaultKind::kPauseProcess:
      witness_.BeginFault(fault.node, /*planned=*/false);
      return node.process->Pause();
    case FaultKind::kTerminateProcess:
      return Terminate(fault);
    case FaultKind::kReloadSettings:
      fleet_.ChangeSettings(node);
      node.process->HangUp();
      return witness_.OnReloadAsked(fault.node);
    case FaultKind::kStoreRefuses:
    case FaultKind::kStoreSilent:
    case FaultKind::kStoreLosesAnswers:
    case FaultKind::kStoreCarriesOutLate:
    case FaultKind::kStoreForgetsHistory:
    case FaultKind::kStoreDownPastLeases:
    case FaultKind::kStoreRestored:
      witness_.BeginStoreFault(std::nullopt);
      return ApplyStore();
    case FaultKind::kStoreTurnsAway:
      witness_.BeginStoreFault(fault.node);
      return ApplyEntrance(fault.node);
    case FaultKind::kStorePath:
    case FaultKind::kNodePath:
    case FaultKind::kWorkerPath:
      witness_.BeginFault(fault.node, /*planned=*/false);
      return ApplyPath(fault.kind, fault.node);
    case FaultKind::kPairPath:
      witness_.BeginFault(fault.node, /*planned=*/false);
      witness_.BeginFault(fault.peer, /*planned=*/false);
      return ApplyPair(fault.node, fault.peer);
    case FaultKind::kStoreConnections:
    case FaultKind::kNodeConnections:
    case FaultKind::kWorkerConnections:
      // The user documentation treats this like a connection reset on all machines.
      for (const auto& other : fleet_.nodes()) witness_.Disturb(other->index, /*planned=*/false);
      return ProxyOf(node, fault.kind).SilenceOpenConnections();
    case FaultKind::kWorkerCrash:
      return fleet_.EndWorker(&node);
    case FaultKind::kWorkerRestarts:
      return fleet_.EndWorker(&node, /*returns=*/true);
    case FaultKind::kWorkerResetsNew:
    case FaultKind::kWorkerStopsListening:
      witness_.BeginFault(fault.node, /*planned=*/false);
      return ApplyWorkerListener(fault.node);
    case FaultKind::kWorkerLeaves:
      if (node.worker == nullptr || leaving_since_[fault.node] != Instant{}) return;
      node.worker->set_draining(true);
      leaving_since_[fault.node] = loop_.Now();
      return;
    case FaultKind::kOrdersUnanswered:
      return fleet_.SetOrdersUnanswered(fault.node, true);
    case FaultKind::kHeartbeatsDelayed:
      fleet_.SendNoticesOfOtherWriters(node);
      return fleet_.SetHeartbeatsDelayed(fault.node, true);
    case FaultKind::kWorkerAnswersTwice:
      witness_.BeginFault(fault.node, /*planned=*/false);
      return fleet_.SetAnswersTwice(fault.node, true);
    case FaultKind::kZoneEvacuated:
      return fleet_.SetZoneEvacuated(fault.node, true);
    case FaultKind::kWorkerStatesLimit:
      return fleet_.SetStatedLimit(fault.node, fault.limit);
    case FaultKind::kConfigurationChange:
      return WriteConfiguration();
  }
}

void FaultDriver::End(const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillProcess:
      return witness_.EndFault(fault.node, /*planned=*/false);
    case FaultKind::kKillAllProcesses:
      for (const auto& other : fleet_.nodes()) witness_.EndFault(other->index, /*planned=*/false);
      return;
    case FaultKind::kPauseProcess:
      witness_.EndFault(fault.node, /*planned=*/false);
      if (Latest(fault.kind, fault.node) == nullptr) fleet_.node(fault.node).process->Resume();
      return;
    case FaultKind::kStoreForgetsHistory:
      witness_.EndStoreFault(std::nullopt);
      ApplyStore();
      return fleet_.store().CompactAndCutWatches();
    case FaultKind::kStoreRestored:
      RestoreStore(fault);
      witness_.EndStoreFault(std::nullopt);
      return ApplyStore();
    case FaultKind::kStoreRefuses:
    case FaultKind::kStoreSilent:
    case FaultKind::kStoreLosesAnswers:
    case FaultKind::kStoreCarriesOutLate:
    case FaultKind::kStoreDownPastLeases:
      witness_.EndStoreFault(std::nullopt);
      return ApplyStore();
    case FaultKind::kStoreTurnsAway:
      witness_.EndStoreFault(fault.node);
      return ApplyEntrance(fault.node);
    case FaultKind::kStorePath:
    case FaultKind::kNodePath:
    case FaultKind::kWorkerPath:
      witness_.EndFault(fault.node, /*planned=*/false);
      return ApplyPath(fault.kind, fault.node);
    case FaultKind::kPairPath:
      witness_.EndFault(fault.node, /*planned=*/false);
      witness_.EndFault(fault.peer, /*planned=*/false);
      return ApplyPair(fault.node, fault.peer);
    case FaultKind::kOrdersUnanswered:
      if (Latest(fault.kind, fault.node) == nullptr) fleet_.SetOrdersUnanswered(fault.node, false);
      return;
    case FaultKind::kHeartbeatsDelayed:
      if (Latest(fault.kind, fault.node) == nullptr) fleet_.SetHeartbeatsDelayed(fault.node, false);
      return;
    case FaultKind::kWorkerResetsNew:
    case FaultKind::kWorkerStopsListening:
      witness_.EndFault(fault.node, /*planned=*/false);
      return ApplyWorkerListener(fault.node);
    case FaultKind::kWorkerAnswersTwice:
      witness_.EndFault(fault.node, /*planned=*/false);
      if (Latest(fault.kind, fault.node) == nullptr) fleet_.SetAnswersTwice(fault.node, false);
      return;
    case FaultKind::kZoneEvacuated:
      if (Latest(fault.kind, fault.node) == nullptr) fleet_.SetZoneEvacuated(fault.node, false);
      return;
    case FaultKind::kWorkerStatesLimit:
      if (Latest(fault.kind, fault.node) == nullptr) fleet_.SetStatedLimit(fault.node, 0);
      return;
    case FaultKind::kTerminateProcess:
    case FaultKind::kReloadSettings:
    case FaultKind::kStoreConnections:
    case FaultKind::kNodeConnections:
    case FaultKind::kWorkerConnections:
    case FaultKind::kWorkerCrash:
    case FaultKind::kWorkerRestarts:
    case FaultKind::kWorkerLeaves:
    case FaultKind::kConfigurationChange:
      return;
  }
}

void FaultDriver::TakeStoreCopy() {
  const Instant now = loop_.Now();
  if (!store_copies_.empty() && now - store_copies_.back().taken_at < kCopyInterval) return;
  store_copies_.push_back({now, fleet_.store().TakeCopy()});
  while (now - store_copies_.front().taken_at > kCopyKept) store_copies_.pop_front();
}

void FaultDriver::RestoreStore(const PlannedFault& fault) {
  const Instant taken_at = started_ + fault.at - fault.copy_age;
  const auto after =
      std::find_if(store_copies_.begin(), store_copies_.end(),
                   [taken_at](const StoreCopy& copy) { return copy.taken_at > taken_at; });
  // Falls back to the oldest copy if none is old enough.
  const auto chosen = after == store_copies_.begin() ? after : std::prev(after);
  fleet_.store().Restore(*chosen->copy);
}

void FaultDriver::Watch() {
  TakeStoreCopy();
  const Instant now = loop_.Now();
  for (const auto& node : fleet_.nodes()) {
    Instant& leaving_since = leaving_since_[node->index];
    if (node->worker == nullptr) {
      leaving_since = Instant{};
      const bool down = Latest(FaultKind::kWorkerCrash, node->index) != nullptr ||
                        Latest(FaultKind::kWorkerRestarts, node->index) != nullptr;
      if (!down) fleet_.StartWorker(node.get());
      continue;
    }
    if (leaving_since == Instant{}) continue;
    const auto acknowledged = node->worker->leaving_acknowledged_at();
    if (acknowledged.has_value()) witness_.OnLeaveAcknowledged(node->worker->life(), *acknowledged);
    const bool drained =
        acknowledged.has_value() && now - *acknowledged > kDrainTimeout + kServiceAfterDrain;
    if (drained || now - leaving_since > kMaxDeregistrationTime) fleet_.EndWorker(node.get());
  }
}

}  // namespace runshelf::soak
