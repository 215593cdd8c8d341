#include "tools/server_standin/request_executor.h"

#include <algorithm>
#include <utility>

namespace runshelf::server_standin {
namespace {

// Longer than the longest deadline of a request (60 s), so that no cancelled one can still arrive.
constexpr Duration kCancellationMemory = std::chrono::seconds(120);

}  // namespace

std::string_view RefusalName(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNotOwner:
      return "not-owner";
    case Refusal::kOverloaded:
      return "overloaded";
    case Refusal::kDeadline:
      return "deadline";
    case Refusal::kDraining:
      return "draining";
    case Refusal::kCancelled:
      return "cancelled";
  }
  return "overloaded";
}

RequestExecutor::RequestExecutor(ServerConfig config, const Clock& clock)
    : config_(std::move(config)),
      clock_(clock),
      started_at_(clock.Now()),
      service_time_(config_.service_time),
      load_report_lag_(config_.load_report_lag) {
  if (!config_.record_file.empty()) record_file_.open(config_.record_file, std::ios::app);
}

ExecutionResult RequestExecutor::Execute(const ServerRequest& request) {
  Lock lock(mutex_);
  WaitWhileFrozen(lock);
  const Instant arrival = clock_.Now();
  const Instant deadline = arrival + request.time_left;
  if (const auto refusal = CheckArrival(request, arrival)) {
    return {refusal, QueueDelay(arrival), false};
  }
  Pending pending;
  const auto entry = pending_.emplace(request.request_id, &pending);
  ExecutionResult result;
  if (WaitForSlot(lock, pending, deadline)) {
    result = RunInSlot(lock, request, pending, deadline);
  } else {
    result.refusal = pending.cancelled ? Refusal::kCancelled : Refusal::kDeadline;
  }
  pending_.erase(entry);
  return result;
}

std::optional<Refusal> RequestExecutor::CheckArrival(const ServerRequest& request,
                                                     Instant now) const {
  if (cancelled_ids_.contains(request.request_id)) return Refusal::kCancelled;
  if (draining_) return Refusal::kDraining;
  if (request.time_left <= Duration(0)) return Refusal::kDeadline;
  if (request.slot && !grants_.MayExecute(now, *request.slot, request.token)) {
    return Refusal::kNotOwner;
  }
  const bool queue_full = running_ >= config_.slots && queue_.size() >= config_.queue_limit;
  if (shed_ || queue_full) return Refusal::kOverloaded;
  return std::nullopt;
}

bool RequestExecutor::WaitForSlot(Lock& lock, Pending& pending, Instant deadline) {
  if (running_ < config_.slots && queue_.empty()) {
    ++running_;
    pending.stage = Stage::kRunning;
    return true;
  }
  queue_.push_back(&pending);
  while (pending.stage == Stage::kQueued && !pending.cancelled) {
    const Instant now = clock_.Now();
    if (now >= deadline) break;
    pending.wake.wait_for(lock, deadline - now);
  }
  if (pending.stage == Stage::kRunning) return true;
  queue_.erase(std::remove(queue_.begin(), queue_.end(), &pending), queue_.end());
  return false;
}

ExecutionResult RequestExecutor::RunInSlot(Lock& lock, const ServerRequest& request,
                                           Pending& pending, Instant deadline) {
  WaitServiceTime(lock, pending);
  WaitWhileFrozen(lock);
  // From here to Append the lock is held throughout: check and effect are one step.
  const Instant now = clock_.Now();
  ExecutionResult result;
  result.refusal = Check(request, pending, now, deadline);
  if (!result.refusal) {
    const bool by_ownership = request.slot.has_value();
    Append(Execution{config_.service, config_.server, request.request_id, request.idempotency_key,
                     request.key, request.method, request.path, request.slot,
                     by_ownership ? std::optional(request.token) : std::nullopt, now});
    executed_ids_.insert(request.request_id);
    if (lose_answers_ > 0) {
      --lose_answers_;
      result.lose_answer = true;
    }
  }
  pending.stage = Stage::kDone;
  ReleaseSlot();
  return result;
}

std::optional<Refusal> RequestExecutor::Check(const ServerRequest& request, const Pending& pending,
                                              Instant now, Instant deadline) const {
  if (pending.cancelled) return Refusal::kCancelled;
  if (now >= deadline) return Refusal::kDeadline;
  if (request.slot && !grants_.MayExecute(now, *request.slot, request.token)) {
    return Refusal::kNotOwner;
  }
  return std::nullopt;
}

void RequestExecutor::WaitServiceTime(Lock& lock, Pending& pending) {
  const Instant start = clock_.Now();
  const Instant end = start + CurrentServiceTime(start);
  while (!pending.cancelled) {
    const Instant now = clock_.Now();
    if (now >= end) return;
    pending.wake.wait_for(lock, end - now);
  }
}

void RequestExecutor::ReleaseSlot() {
  if (queue_.empty()) {
    --running_;
    return;
  }
  Pending* const next = queue_.front();
  queue_.pop_front();
  next->stage = Stage::kRunning;
  next->wake.notify_one();
}

bool RequestExecutor::Cancel(const std::string& request_id) {
  const Lock lock(mutex_);
  if (executed_ids_.contains(request_id)) return false;
  const Instant now = clock_.Now();
  ForgetOldCancellations(now);
  if (cancelled_ids_.insert(request_id).second) cancellations_.push_back({request_id, now});
  const auto [first, last] = pending_.equal_range(request_id);
  for (auto entry = first; entry != last; ++entry) {
    entry->second->cancelled = true;
    entry->second->wake.notify_one();
  }
  return true;
}

void RequestExecutor::ForgetOldCancellations(Instant now) {
  while (!cancellations_.empty() && now - cancellations_.front().at > kCancellationMemory) {
    cancelled_ids_.erase(cancellations_.front().request_id);
    cancellations_.pop_front();
  }
}

bool RequestExecutor::InstallGrant(const Grant& grant) {
  const Lock lock(mutex_);
  const Instant now = clock_.Now();
  if (!grants_.Install(now, grant)) return false;
  Append(AcceptedGrant{config_.service, config_.server, grant.token, grant.slots, now,
                       grant.expires_at});
  return true;
}

void RequestExecutor::Drain() {
  const Lock lock(mutex_);
  draining_ = true;
}

HealthReport RequestExecutor::Health() {
  const Lock lock(mutex_);
  const Instant now = clock_.Now();
  HealthReport current;
  current.slots = config_.slots;
  current.running = running_;
  current.queued = static_cast<uint32_t>(queue_.size());
  if (draining_) {
    current.state = ServerState::kDraining;
  } else if (now < started_at_ + config_.cold_start) {
    current.state = ServerState::kCold;
  }
  health_samples_.push_back({now, current});
  // Drops every sample but the newest of those that are old enough to be reported.
  while (health_samples_.size() > 1 && health_samples_[1].at + load_report_lag_ <= now) {
    health_samples_.pop_front();
  }
  return health_samples_.front().report;
}

void RequestExecutor::Inject(const Faults& faults) {
  const Lock lock(mutex_);
  if (faults.service_time) service_time_ = *faults.service_time;
  if (faults.lose_answers) lose_answers_ = *faults.lose_answers;
  if (faults.shed) shed_ = *faults.shed;
  if (faults.load_report_lag) load_report_lag_ = *faults.load_report_lag;
  if (faults.freeze) frozen_until_ = clock_.Now() + *faults.freeze;
  thaw_.notify_all();
}

void RequestExecutor::WaitWhileFrozen() {
  Lock lock(mutex_);
  WaitWhileFrozen(lock);
}

void RequestExecutor::WaitWhileFrozen(Lock& lock) {
  for (Instant now = clock_.Now(); now < frozen_until_; now = clock_.Now()) {
    thaw_.wait_for(lock, frozen_until_ - now);
  }
}

Duration RequestExecutor::CurrentServiceTime(Instant now) const {
  const Duration age = now - started_at_;
  if (age >= config_.cold_start) return service_time_;
  const double cold_part =
      1.0 - static_cast<double>(age.count()) / static_cast<double>(config_.cold_start.count());
  const double factor = 1.0 + (config_.cold_factor - 1.0) * cold_part;
  return Duration(static_cast<int64_t>(static_cast<double>(service_time_.count()) * factor));
}

Duration RequestExecutor::QueueDelay(Instant now) const {
  const auto waves = static_cast<int64_t>(queue_.size() / std::max(1U, config_.slots)) + 1;
  return CurrentServiceTime(now) * waves;
}

void RequestExecutor::Append(RecordEntry entry) {
  if (record_file_.is_open()) record_file_ << ToJsonLine(entry) << std::endl;
  record_.push_back(std::move(entry));
}

std::string RequestExecutor::RecordLines(size_t first) const {
  std::vector<RecordEntry> entries;
  {
    const Lock lock(mutex_);
    if (first < record_.size()) {
      entries.assign(record_.begin() + static_cast<std::ptrdiff_t>(first), record_.end());
    }
  }
  std::string lines;
  for (const RecordEntry& entry : entries) lines += ToJsonLine(entry) + "\n";
  return lines;
}

}  // namespace runshelf::server_standin
