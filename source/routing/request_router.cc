#include "runshelf/routing/request_router.h"

#include <algorithm>
#include <utility>

namespace runshelf::routing {
namespace {

constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// The owner could not take the request, and ownership may move.
bool IsWaitForOwner(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotOwner || outcome == AttemptOutcome::kLeaving ||
         outcome == AttemptOutcome::kConnectFailed;
}

}  // namespace

Verdict VerdictOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return Verdict::kRan;
    case AttemptOutcome::kNotOwner:
    case AttemptOutcome::kOverloaded:
    case AttemptOutcome::kLeaving:
    case AttemptOutcome::kDeadlinePassed:
    case AttemptOutcome::kConnectFailed:
      return Verdict::kNotRun;
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kUnknownRepeat:
      return Verdict::kMayHaveRun;
  }
  return Verdict::kMayHaveRun;
}

RequestRouter::RequestRouter(RequestInfo info, const RouterConfig& config, RouterState& state,
                             Random& random)
    : info_(std::move(info)),
      config_(config),
      state_(state),
      random_(random),
      backoff_(config.backoff_min),
      may_have_run_(info_.attempt > 1) {}

RequestRouter::~RequestRouter() {
  if (in_progress_.has_value()) state_.load_balancer.OnAttemptEnd(*in_progress_);
}

Step RequestRouter::Start(Instant now, const RoutingSnapshot& snapshot) {
  return Next(now, snapshot);
}

Step RequestRouter::OnWaitOver(Instant now, const RoutingSnapshot& snapshot) {
  return Next(now, snapshot);
}

Step RequestRouter::OnAttemptResult(Instant now, const RoutingSnapshot& snapshot,
                                    const AttemptResult& result) {
  EndAttempt(now, result);
  switch (VerdictOf(result.outcome)) {
    case Verdict::kRan:
      return DeliverStep{};
    case Verdict::kNotRun:
      return AfterNotRun(now, snapshot, result.outcome);
    case Verdict::kMayHaveRun:
      may_have_run_ = true;
      return AfterMayHaveRun(now, snapshot, result.outcome);
  }
  return GiveUpAfterLastOutcome();
}

std::optional<SlotNumber> RequestRouter::Slot(const RoutingSnapshot& snapshot) const {
  const auto routes = snapshot.services.find(info_.service);
  if (routes == snapshot.services.end() || routes->second.slot_count == 0) return std::nullopt;
  if (info_.key.has_value()) return SlotOfKey(*info_.key, routes->second.slot_count);
  if (!info_.idempotency_key.has_value()) return std::nullopt;
  return SlotOfKey(*info_.idempotency_key, routes->second.slot_count);
}

Step RequestRouter::Next(Instant now, const RoutingSnapshot& snapshot) {
  state_.OnSnapshot(now, snapshot);
  const auto routes = snapshot.services.find(info_.service);
  if (!GoesByOwner()) {
    if (routes == snapshot.services.end()) return GiveUpAfterLastOutcome();
    return NextByLoad(now, routes->second);
  }
  const std::optional<SlotNumber> slot = Slot(snapshot);
  if (!slot.has_value()) return WaitForOwner(now, std::nullopt);
  return NextByOwner(now, routes->second, *slot);
}

Step RequestRouter::NextByOwner(Instant now, const ServiceRoutes& routes, SlotNumber slot) {
  const uint32_t owner = slot < routes.slot_owners.size() ? routes.slot_owners[slot] : kNoOwner;
  if (owner >= routes.targets.size()) return WaitForOwner(now, std::nullopt);
  const RouteTarget& target = routes.targets[owner];
  if (TooLate(now)) return GiveUpTooLate();
  std::optional<Instant> probe_at = state_.unreachable_owners.AskToTry(now, target.instance);
  if (!probe_at.has_value()) {
    probe_at = state_.refusing_owners.AskToTry(now, {target.instance, info_.service, slot});
  }
  if (probe_at.has_value()) return WaitForOwner(now, probe_at);
  slot_ = slot;
  return Forward(now, target, slot);
}

Step RequestRouter::NextByLoad(Instant now, const ServiceRoutes& routes) {
  if (TooLate(now)) return GiveUpTooLate();
  if (attempts_ >= config_.attempts_max) return GiveUpAfterLastOutcome();
  std::vector<bool> skipped = state_.failure_detector.Ejected(now, routes.targets);
  for (size_t index = 0; index < skipped.size(); ++index) {
    const InstanceId& instance = routes.targets[index].instance;
    const bool tried = std::find(tried_.begin(), tried_.end(), instance) != tried_.end();
    if (tried) skipped[index] = true;
  }
  const std::optional<size_t> chosen =
      state_.load_balancer.Choose(now, routes.targets, skipped, config_.own_zone, random_);
  if (!chosen.has_value()) return GiveUpAfterLastOutcome();
  return Forward(now, routes.targets[*chosen], std::nullopt);
}

Step RequestRouter::Forward(Instant now, const RouteTarget& target,
                            std::optional<SlotNumber> slot) {
  if (attempts_ == 0) {
    state_.retry_budget.OnFirstAttempt(now);
  } else if (!PayForResend(now)) {
    return GiveUp(kServiceUnavailable, "retry_budget_exhausted", config_.retry_after_default);
  }
  ++attempts_;
  tried_.push_back(target.instance);
  in_progress_ = target.instance;
  state_.load_balancer.OnAttemptStart(target.instance);
  return ForwardStep{target, slot, AttemptDeadline(now)};
}

Instant RequestRouter::AttemptDeadline(Instant now) const {
  if (!info_.repeatable) return info_.deadline;
  const auto remaining = static_cast<double>((info_.deadline - now).count());
  const auto share = Duration(static_cast<int64_t>(remaining * config_.repeatable_attempt_share));
  return std::min(info_.deadline, now + std::max(share, config_.attempt_time_min));
}

// Attempts at an owner that did not take the request are paced by RouterState instead.
bool RequestRouter::PayForResend(Instant now) {
  if (GoesByOwner() && IsWaitForOwner(last_outcome_)) return true;
  return state_.retry_budget.TryRetry(now);
}

Step RequestRouter::WaitForOwner(Instant now, std::optional<Instant> not_before) {
  const Instant latest = info_.deadline - config_.attempt_time_min;
  Instant until = now + backoff_;
  if (not_before.has_value()) {
    until = *not_before;
  } else {
    backoff_ = std::min(backoff_ * 2, config_.backoff_max);
  }
  until = std::min(until, latest);
  if (until <= now) {
    return GiveUp(kServiceUnavailable, "no_owner", config_.retry_after_no_owner);
  }
  return WaitStep{until};
}

Step RequestRouter::AfterNotRun(Instant now, const RoutingSnapshot& snapshot,
                                AttemptOutcome outcome) {
  const bool somebody_else_may_serve = !GoesByOwner() || IsWaitForOwner(outcome);
  return somebody_else_may_serve ? Next(now, snapshot) : GiveUpAfterLastOutcome();
}

Step RequestRouter::AfterMayHaveRun(Instant now, const RoutingSnapshot& snapshot,
                                    AttemptOutcome outcome) {
  const bool owner_has_forgotten = outcome == AttemptOutcome::kUnknownRepeat;
  const bool resend = MayRetry(Verdict::kMayHaveRun, info_.repeatable) && !owner_has_forgotten;
  if (!resend || TooLate(now)) return GiveUpAfterLastOutcome();
  return Next(now, snapshot);
}

void RequestRouter::EndAttempt(Instant now, const AttemptResult& result) {
  last_outcome_ = result.outcome;
  last_retry_after_ = result.retry_after;
  if (!in_progress_.has_value()) return;
  const InstanceId target = *std::exchange(in_progress_, std::nullopt);
  state_.load_balancer.OnAttemptEnd(target);
  if (result.load.has_value()) state_.load_balancer.OnLoad(now, target, *result.load);
  NoteOutcome(now, target);
}

void RequestRouter::NoteOutcome(Instant now, const InstanceId& target) {
  const bool connect_failed = last_outcome_ == AttemptOutcome::kConnectFailed;
  const bool lost = last_outcome_ == AttemptOutcome::kConnectionLost ||
                    last_outcome_ == AttemptOutcome::kTimedOut;
  if (connect_failed || lost) {
    state_.failure_detector.OnFailure(now, target);
  } else {
    state_.failure_detector.OnReachable(target);
  }
  if (!GoesByOwner()) return;
  if (connect_failed) {
    state_.unreachable_owners.OnFailure(now, target);
    return;
  }
  state_.unreachable_owners.OnSuccess(target);
  if (lost) return;
  const SlotAtInstance slot{target, info_.service, slot_};
  if (IsWaitForOwner(last_outcome_)) {
    state_.refusing_owners.OnFailure(now, slot);
  } else {
    state_.refusing_owners.OnSuccess(slot);
  }
}

bool RequestRouter::GoesByOwner() const {
  return info_.key.has_value() || info_.idempotency_key.has_value();
}

bool RequestRouter::TooLate(Instant now) const {
  return now + config_.attempt_time_min > info_.deadline;
}

Step RequestRouter::GiveUpTooLate() const {
  return GiveUp(kGatewayTimeout, "deadline_exceeded", config_.retry_after_default);
}

Step RequestRouter::GiveUpAfterLastOutcome() const {
  const Duration asked = std::max(last_retry_after_, config_.backoff_max);
  if (attempts_ == 0) {
    return GiveUp(kServiceUnavailable, "no_target", config_.retry_after_default);
  }
  switch (last_outcome_) {
    case AttemptOutcome::kOverloaded:
      return GiveUp(kServiceUnavailable, "overloaded", asked);
    case AttemptOutcome::kDeadlinePassed:
      return GiveUp(kGatewayTimeout, "deadline_exceeded", asked);
    case AttemptOutcome::kTimedOut:
      return GiveUpTooLate();
    case AttemptOutcome::kConnectionLost:
      return GiveUp(kBadGateway, "connection_lost", config_.retry_after_default);
    case AttemptOutcome::kUnknownRepeat:
      return GiveUp(kConflict, "unknown_repeat", config_.retry_after_default);
    default:
      return GiveUp(kServiceUnavailable, "no_target", config_.retry_after_default);
  }
}

Step RequestRouter::GiveUp(int http_status, const std::string& reason, Duration retry_after) const {
  const Verdict verdict = may_have_run_ ? Verdict::kMayHaveRun : Verdict::kNotRun;
  return GiveUpStep{http_status, verdict, reason, retry_after};
}

}  // namespace runshelf::routing
