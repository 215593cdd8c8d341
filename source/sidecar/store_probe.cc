#include "source/sidecar/store_probe.h"

#include <utility>

namespace runshelf::sidecar {
namespace {

// Timers count whole milliseconds and may fire this much early.
constexpr Duration kTimerRounding = std::chrono::milliseconds(2);

}  // namespace

StoreProbe::StoreProbe(event::EventLoop& loop, store::LeaseKeeper& lease,
                       std::function<bool()> needed, std::function<void()> on_unresponsive,
                       StoreProbeConfig config)
    : loop_(loop),
      lease_(lease),
      needed_(std::move(needed)),
      on_unresponsive_(std::move(on_unresponsive)),
      config_(config),
      probe_timer_(loop, [this] { Probe(); }),
      check_timer_(loop, [this] { CheckAnswer(); }) {}

void StoreProbe::Start() { probe_timer_.Start(config_.interval, /*repeating=*/true); }

void StoreProbe::Probe() {
  if (!needed_()) return;
  lease_.RenewNow();
  check_timer_.Start(config_.answer_timeout);
}

void StoreProbe::CheckAnswer() {
  const bool unresponsive = lease_.RenewalPendingFor() + kTimerRounding >= config_.answer_timeout;
  const bool begins = unresponsive && !unresponsive_;
  unresponsive_ = unresponsive;
  if (!begins || loop_.Now() - last_report_at_ < config_.min_report_interval) return;
  last_report_at_ = loop_.Now();
  on_unresponsive_();
}

}  // namespace runshelf::sidecar
