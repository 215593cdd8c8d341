#include "source/sidecar/store_probe.h"

#include <utility>

namespace runshelf::sidecar {
namespace {

// Timers count whole milliseconds and may fire this much before their time.
constexpr Duration kTimerRounding = std::chrono::milliseconds(2);

}  // namespace

StoreProbe::StoreProbe(event::EventLoop& loop, store::LeaseKeeper& lease,
                       std::function<bool()> needed, std::function<void()> on_silent,
                       StoreProbeConfig config)
    : loop_(loop),
      lease_(lease),
      needed_(std::move(needed)),
      on_silent_(std::move(on_silent)),
      config_(config),
      probe_timer_(loop, [this] { Probe(); }),
      judge_timer_(loop, [this] { Judge(); }) {}

void StoreProbe::Start() { probe_timer_.Start(config_.interval, /*repeating=*/true); }

void StoreProbe::Probe() {
  if (!needed_()) return;
  lease_.RenewNow();
  judge_timer_.Start(config_.patience);
}

void StoreProbe::Judge() {
  const bool silent = lease_.RenewalPendingFor() + kTimerRounding >= config_.patience;
  const bool begins = silent && !silent_;
  silent_ = silent;
  if (!begins || loop_.Now() - told_at_ < config_.rest) return;
  told_at_ = loop_.Now();
  on_silent_();
}

}  // namespace runshelf::sidecar
