#include "tests/soak/loss_judge.h"

#include <fmt/format.h>

#include <algorithm>

namespace runshelf::soak {
namespace {

// A stop is considered in progress until this long after the grace period (user documentation).
constexpr Duration kStopMargin = std::chrono::seconds(1);
// Requests sent within this time after SIGTERM may outlast the grace period.
constexpr Duration kLongRequestWindow = std::chrono::seconds(3);
// Work still running in the last sixth (1/6) of the grace period does not count as lost.
constexpr int kFinalGraceDivisor = 6;
// A node measures a deadline from reading the request, in whole milliseconds.
constexpr Duration kDeadlineRounding = std::chrono::milliseconds(50);
// Forwarded requests on keep-alive connections that a node may drop outside of stops and reloads.
constexpr int kAllowedOutsideStops = 3;

bool WorkAborted(const FinishedAttempt& attempt) {
  return std::any_of(attempt.work.begin(), attempt.work.end(), [](const Work& work) {
    return work.ended.has_value() && work.end == WorkEnd::kBrokenOff;
  });
}

bool WorkUnfinishedOrCancelled(const FinishedAttempt& attempt) {
  return std::any_of(attempt.work.begin(), attempt.work.end(), [](const Work& work) {
    return !work.ended.has_value() || work.end == WorkEnd::kCancelled;
  });
}

bool InProgressAt(const FinishedAttempt& attempt, Instant moment) {
  return std::any_of(attempt.work.begin(), attempt.work.end(), [&](const Work& work) {
    return work.ended.value_or(attempt.ended_at) >= moment;
  });
}

}  // namespace

// Returns when the stop began during which the attempt ended, if any.
std::optional<Instant> LossJudge::StopAround(const FinishedAttempt& attempt) const {
  const auto stops = stops_.find(attempt.node);
  if (stops == stops_.end()) return std::nullopt;
  for (const Instant stop : stops->second) {
    const bool within =
        stop <= attempt.ended_at && attempt.ended_at <= stop + bounds_.grace_period + kStopMargin;
    if (within) return stop;
  }
  return std::nullopt;
}

bool LossJudge::ReloadAround(const FinishedAttempt& attempt) const {
  const auto reloads = reloads_.find(attempt.node);
  if (reloads == reloads_.end()) return false;
  return std::any_of(reloads->second.begin(), reloads->second.end(), [&](Instant reload) {
    return attempt.sent_at <= reload + bounds_.config_apply && reload <= attempt.ended_at;
  });
}

// Whether the node read the request but did not respond, or responded itself while a worker was
// still processing it.
bool LossJudge::IsDropped(const FinishedAttempt& attempt) const {
  if (attempt.end == FinishedAttempt::End::kAnswered) {
    return !attempt.by_worker && WorkUnfinishedOrCancelled(attempt);
  }
  const bool passed_on = !attempt.work.empty();
  const bool read_long_ago = attempt.end == FinishedAttempt::End::kClosed &&
                             attempt.ended_at - attempt.sent_at > bounds_.loss_slack;
  return passed_on || read_long_ago;
}

void LossJudge::OnFinished(const FinishedAttempt& attempt) {
  if (attempt.disturbed || !IsDropped(attempt) || WorkAborted(attempt)) return;
  if (attempt.ended_at + kDeadlineRounding >= attempt.time_up) return;
  const std::optional<Instant> stop = StopAround(attempt);
  const bool answered = attempt.end == FinishedAttempt::End::kAnswered;
  const char* how = answered ? "was answered for its worker" : "got no answer";
  if (stop.has_value()) {
    const Instant last_part =
        *stop + bounds_.grace_period - bounds_.grace_period / kFinalGraceDivisor;
    if (attempt.sent_at <= *stop + kLongRequestWindow && InProgressAt(attempt, last_part)) return;
    violations_.push_back(
        fmt::format("lost: {} {} at node {}, sent {} ms and ended {} ms after its SIGTERM, {}",
                    attempt.id, how, attempt.node, ToMilliseconds(attempt.sent_at - *stop),
                    ToMilliseconds(attempt.ended_at - *stop),
                    attempt.work.empty() ? "not passed on" : "passed on"));
  } else if (!answered && ReloadAround(attempt)) {
    violations_.push_back(
        fmt::format("lost: {} {} at node {} around a SIGHUP", attempt.id, how, attempt.node));
  } else if (!answered && attempt.kept_connection && !attempt.work.empty()) {
    OnClosedOutsideStops(attempt);
  }
}

void LossJudge::OnClosedOutsideStops(const FinishedAttempt& attempt) {
  if (++closed_outside_stops_[attempt.node] <= kAllowedOutsideStops) return;
  violations_.push_back(fmt::format(
      "lost: node {} closed kept connections on requests that it had passed on, last {}",
      attempt.node, attempt.id));
}

}  // namespace runshelf::soak
