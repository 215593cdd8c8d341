#include "tools/load/load_runner.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace runshelf::load {
namespace {

constexpr uint32_t kMaxAttempts = 4;
constexpr Duration kRepeatDelay = std::chrono::milliseconds(100);

// Whether a caller that saw `last` sends the call again under its idempotency key.
bool SendsAgain(const PlannedCall& call, const AttemptRecord& last) {
  if (call.idempotency_key.empty() || last.attempt >= kMaxAttempts) return false;
  if (call.duplicate && last.attempt == 1) return true;
  const bool no_answer = last.status == 0 && last.error != kErrorConnectFailed;
  const bool unknown = last.verdict == Verdict::kMayHaveRun && last.error != "unknown_repeat";
  return no_answer || unknown;
}

class Runner {
 public:
  Runner(const LoadConfig& config, const Clock& clock, const std::atomic<bool>& stop)
      : config_(config),
        clock_(clock),
        stop_(stop),
        generator_(config.generator),
        caller_(config.endpoints, config.direct, config.deadline, clock),
        start_(clock.Now()) {}

  std::vector<AttemptRecord> Run() {
    std::vector<std::thread> threads;
    for (size_t index = 0; index < config_.threads; ++index) {
      threads.emplace_back([this] { Work(); });
    }
    for (std::thread& thread : threads) thread.join();
    std::stable_sort(records_.begin(), records_.end(),
                     [](const AttemptRecord& left, const AttemptRecord& right) {
                       return left.scheduled_at < right.scheduled_at;
                     });
    return std::move(records_);
  }

 private:
  void Work() {
    while (const std::optional<PlannedCall> call = Take()) {
      SleepUntil(start_ + call->due);
      if (stop_) return;
      Carry(*call);
    }
  }

  std::optional<PlannedCall> Take() {
    const std::lock_guard lock(mutex_);
    PlannedCall call = generator_.Next();
    if (stop_ || call.due >= config_.length) return std::nullopt;
    return call;
  }

  void Carry(const PlannedCall& call) {
    Instant scheduled_at = start_ + call.due;
    for (uint32_t attempt = 1;; ++attempt) {
      PlannedCall sent = call;
      sent.abandon = call.abandon && attempt == 1;
      AttemptRecord record = caller_.Send(sent, attempt);
      record.scheduled_at = scheduled_at;
      record.warm_up = config_.warm_up;
      const bool again = SendsAgain(call, record);
      {
        const std::lock_guard lock(mutex_);
        records_.push_back(std::move(record));
      }
      if (!again) return;
      scheduled_at = clock_.Now() + kRepeatDelay * attempt;
      SleepUntil(scheduled_at);
    }
  }

  void SleepUntil(Instant instant) {
    for (Instant now = clock_.Now(); now < instant; now = clock_.Now()) {
      std::this_thread::sleep_for(instant - now);
    }
  }

  const LoadConfig& config_;
  const Clock& clock_;
  const std::atomic<bool>& stop_;
  std::mutex mutex_;
  CallGenerator generator_;
  HttpCaller caller_;
  const Instant start_;
  std::vector<AttemptRecord> records_;
};

}  // namespace

std::vector<AttemptRecord> RunLoad(const LoadConfig& config, const Clock& clock,
                                   const std::atomic<bool>& stop) {
  return Runner(config, clock, stop).Run();
}

}  // namespace runshelf::load
