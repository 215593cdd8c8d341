// The schedule of the soak's faults, and what each of them does.

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <iterator>

#include "tests/soak/soak.h"

namespace runshelf::soak {
namespace {

using platform_adapter::FakeStore;

constexpr size_t kMaxActiveFaults = 2;
// Without faults at the end, until the fleet has recovered.
constexpr Duration kCalmEnd = std::chrono::seconds(18);
constexpr Duration kLongestLease = std::chrono::seconds(8);
// A leaving worker ends when its time to drain is over twice, or sooner when nobody acknowledged
// it.
constexpr Duration kLeavingTime = 2 * kDrainTimeout;

FaultProxy::Mode ModeOfNumber(uint64_t number) {
  constexpr FaultProxy::Mode kModes[] = {FaultProxy::Mode::kDelay, FaultProxy::Mode::kReset,
                                         FaultProxy::Mode::kSilent, FaultProxy::Mode::kForwardOnly,
                                         FaultProxy::Mode::kBackwardOnly};
  return kModes[number % std::size(kModes)];
}

}  // namespace

void Soak::StartFault() {
  const Instant now = loop_.Now();
  if (now > started_ + options_.duration - kCalmEnd) {
    EndAllFaults();
    return;
  }
  fault_timer_.Start(
      random_.Between(std::chrono::milliseconds(200), std::chrono::milliseconds(4500)));
  auto fault = std::make_unique<ActiveFault>();
  // Drawn in any case, so that the schedule depends on the seed alone.
  fault->kind = static_cast<FaultKind>(random_.Below(kFaultKinds));
  fault->node = nodes_[random_.Below(nodes_.size())].get();
  fault->mode = ModeOfNumber(random_.Below(5));
  fault->delay = random_.Between(std::chrono::milliseconds(20), std::chrono::milliseconds(600));
  Duration time = random_.Between(std::chrono::milliseconds(200), std::chrono::milliseconds(6000));
  if (fault->kind == FaultKind::kStoreDownPastLeases) time += kLongestLease;
  if (faults_.size() >= kMaxActiveFaults) return;
  ActiveFault* pointer = fault.get();
  fault->timer = std::make_unique<event::Timer>(loop_, [this, pointer] { EndFault(pointer); });
  fault->timer->Start(time);
  faults_.push_back(std::move(fault));
  result_.faults.push_back(fmt::format("{:7.3f} s {} {} mode={} for {} ms",
                                       std::chrono::duration<double>(now - started_).count(),
                                       FaultName(pointer->kind), pointer->node->name,
                                       static_cast<int>(pointer->mode), ToMilliseconds(time)));
  BeginFault(pointer);
}

void Soak::BeginFault(ActiveFault* fault) {
  Node* node = fault->node;
  switch (fault->kind) {
    case FaultKind::kKillProcess:
      node->process->Signal(SIGKILL);
      break;
    case FaultKind::kKillAllProcesses:
      for (const auto& other : nodes_) other->process->Signal(SIGKILL);
      break;
    case FaultKind::kPauseProcess:
      node->process->Signal(SIGSTOP);
      break;
    case FaultKind::kTerminateProcess:
      node->process->Signal(SIGTERM);
      break;
    case FaultKind::kStoreRefuses:
      store_.set_fault(FakeStore::Fault::kRefuse);
      break;
    case FaultKind::kStoreSilent:
      store_.set_fault(FakeStore::Fault::kSilent);
      break;
    case FaultKind::kStoreLosesAnswers:
      store_.set_fault(FakeStore::Fault::kLoseWrites);
      break;
    case FaultKind::kStoreForgetsHistory:
      store_.set_watches_silent(true);
      break;
    case FaultKind::kStoreDownPastLeases:
      store_.set_fault(FakeStore::Fault::kRefuse);
      break;
    case FaultKind::kStorePath:
      node->store_proxy->SetMode(fault->mode, fault->delay);
      break;
    case FaultKind::kNodePath:
      node->node_proxy->SetMode(fault->mode, fault->delay);
      break;
    case FaultKind::kWorkerPath:
      node->worker_proxy->SetMode(fault->mode, fault->delay);
      break;
    case FaultKind::kWorkerCrash:
      node->worker.reset();
      break;
    case FaultKind::kWorkerLeaves:
      if (node->worker != nullptr) node->worker->set_draining(true);
      break;
    case FaultKind::kConfigurationChange:
      PutConfiguration(configurations_.back().service == "plain" ? "other" : "plain");
      break;
  }
}

void Soak::EndFault(ActiveFault* fault) {
  Node* node = fault->node;
  const Instant now = loop_.Now();
  switch (fault->kind) {
    case FaultKind::kPauseProcess:
      node->process->Signal(SIGCONT);
      break;
    case FaultKind::kStoreRefuses:
    case FaultKind::kStoreSilent:
    case FaultKind::kStoreLosesAnswers:
    case FaultKind::kStoreDownPastLeases:
      store_.set_fault(FakeStore::Fault::kNone);
      break;
    case FaultKind::kStoreForgetsHistory:
      store_.set_watches_silent(false);
      store_.CompactAndCutWatches();
      break;
    case FaultKind::kStorePath:
      node->store_proxy->SetMode(FaultProxy::Mode::kPass);
      break;
    case FaultKind::kNodePath:
      node->node_proxy->SetMode(FaultProxy::Mode::kPass);
      break;
    case FaultKind::kWorkerPath:
      node->worker_proxy->SetMode(FaultProxy::Mode::kPass);
      break;
    case FaultKind::kWorkerLeaves:
      // It ends once its time to drain is over, or was never acknowledged.
      if (node->worker != nullptr) {
        const auto left = node->worker->leaving_acknowledged_at();
        if (left.has_value() && now - *left < kLeavingTime) {
          fault->timer->Start(kDrainTimeout);
          return;
        }
      }
      node->worker.reset();
      break;
    case FaultKind::kKillProcess:
    case FaultKind::kKillAllProcesses:
    case FaultKind::kTerminateProcess:
    case FaultKind::kWorkerCrash:
    case FaultKind::kConfigurationChange:
      break;
  }
  if (!IsPlanned(fault->kind)) last_healed_ = now;
  std::erase_if(faults_, [&](const auto& other) { return other.get() == fault; });
}

void Soak::EndAllFaults() {
  while (!faults_.empty()) {
    ActiveFault* fault = faults_.front().get();
    EndFault(fault);
    // A worker that leaves takes its time.
    if (!faults_.empty() && faults_.front().get() == fault) break;
  }
  if (!faults_.empty()) fault_timer_.Start(kWatchInterval);
}

}  // namespace runshelf::soak
