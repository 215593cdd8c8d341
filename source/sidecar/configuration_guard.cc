#include "source/sidecar/configuration_guard.h"

namespace runshelf::sidecar {
namespace {

// Between an inquiry that failed, or that found changes, and the next one.
constexpr Duration kRetryInterval = std::chrono::milliseconds(50);
// Without an answer of the store for this long, the node serves by its copy.
constexpr Duration kMaxDoubt = std::chrono::seconds(1);

}  // namespace

ConfigurationGuard::ConfigurationGuard(event::EventLoop& loop, store::PrefixWatcher& configuration,
                                       LogWriter& log, Duration max_standstill)
    : loop_(loop),
      configuration_(configuration),
      log_(log),
      detector_(loop.Now(), max_standstill),
      retry_timer_(loop, [this] { AskStore(); }) {}

void ConfigurationGuard::OnLoopIteration() {
  CheckForStandstill();
  detector_.OnLoopIteration(loop_.Now());
}

bool ConfigurationGuard::IsCurrent() {
  CheckForStandstill();
  return !doubtful_;
}

void ConfigurationGuard::CheckForStandstill() {
  const Instant now = loop_.Now();
  const Duration standstill = detector_.TakeStandstill(now);
  if (standstill == Duration(0) || !configuration_.synchronized()) return;
  log_.Write(LogLevel::kWarning, "stood_still",
             {{"standstill_ms", ToMilliseconds(standstill)},
              {"configuration_revision", store::RevisionText(configuration_.revision())}});
  ++standstills_;
  doubtful_ = true;
  doubtful_since_ = now;
  AskStore();
}

void ConfigurationGuard::AskStore() {
  if (loop_.Now() - doubtful_since_ >= kMaxDoubt) {
    End("store-unavailable");
    return;
  }
  configuration_.Confirm([this, inquiry = ++inquiry_](bool current) {
    if (inquiry == inquiry_ && doubtful_) OnAnswer(current);
  });
}

void ConfigurationGuard::OnAnswer(bool current) {
  if (current) {
    End("confirmed");
  } else {
    retry_timer_.Start(kRetryInterval);
  }
}

void ConfigurationGuard::End(const char* outcome) {
  doubtful_ = false;
  retry_timer_.Stop();
  log_.Write(LogLevel::kInfo, "configuration_checked",
             {{"outcome", std::string(outcome)},
              {"took_ms", ToMilliseconds(loop_.Now() - doubtful_since_)},
              {"configuration_revision", store::RevisionText(configuration_.revision())}});
  if (on_current_) on_current_();
}

}  // namespace runshelf::sidecar
