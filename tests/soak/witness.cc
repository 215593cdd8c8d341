#include "tests/soak/witness.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "tests/soak/download_target.h"
#include "tests/soak/operator_configurations.h"

namespace runshelf::soak {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
// Maximum transit time of a request that a node sent just before the drain timeout.
constexpr Duration kDrainSlack = std::chrono::milliseconds(200);
// A stopped process has exited at most this long after its grace period.
constexpr Duration kExitSlack = std::chrono::seconds(1);
// Nodes round deadlines to whole milliseconds and so time out slightly earlier than the caller.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(50);

}  // namespace

Witness::Witness(const Clock& clock, size_t nodes)
    : clock_(clock),
      contact_(nodes, kContactWindow),
      unplanned_(nodes, kContactWindow),
      healed_(nodes),
      stop_asked_(nodes),
      zones_(nodes),
      drain_(kDrainTimeout + kDrainSlack) {}

Witness::OpenAttempt* Witness::Find(const std::string& id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

void Witness::OnSent(Attempt attempt) {
  promises_.OnSent(attempt.request);
  if (!attempt.nested) ++counts_.sent;
  attempt.sent_at = clock_.Now();
  OpenAttempt& open = attempts_[attempt.request.id];
  open.attempt = std::move(attempt);
}

void Witness::OnEnded(const std::string& id, CallerConnection::End end,
                      const http::Response& response) {
  OpenAttempt* open = Find(id);
  if (open == nullptr || open->ended) return;
  open->ended = true;
  const bool answered = end == CallerConnection::End::kAnswered;
  const std::string* stamp = response.headers.Find("Server-Stamp");
  if (answered) {
    promises_.OnAnswer({id, response.status, response.body, stamp == nullptr ? "" : *stamp});
    if (response.status == kNotFound && stamp == nullptr) JudgeRoute(*open, std::nullopt);
  }
  if (answered && stamp != nullptr) {
    const size_t node = open->attempt.node;
    if (response.headers.Has("Server-Limit")) limit_.OnPassedOn(*stamp, node, clock_.Now());
    if (response.headers.Has("Server-Leaving")) {
      drain_.OnLeavingPassedOn(*stamp, node, clock_.Now());
    }
  }
  Measure(*open, answered ? response.status : 0);
  if (end != CallerConnection::End::kNotSent) Judge(*open, end, stamp != nullptr);
}

// Skips the route "extra", which some configurations lack, fatal requests, which are expected to
// fail, and downloads, of which the links carry only a part.
void Witness::Measure(const OpenAttempt& open, int status) {
  if (open.attempt.nested || open.attempt.route == "extra") return;
  const std::string& target = open.attempt.request.target;
  if (IsFatalRequest(target) || IsDownload(target)) return;
  if (status == kOk) ++counts_.served;
  const Instant sent_at = open.attempt.sent_at;
  if (sent_at < measured_from_ || sent_at >= measured_until_) return;
  ++measured_;
  if (status == kOk) {
    ++measured_served_;
  } else {
    ++unserved_[{open.attempt.route, status}];
  }
}

void Witness::Judge(const OpenAttempt& open, CallerConnection::End end, bool by_worker) {
  FinishedAttempt finished;
  finished.id = open.attempt.request.id;
  finished.node = open.attempt.node;
  finished.sent_at = open.attempt.sent_at;
  finished.ended_at = clock_.Now();
  finished.time_up =
      std::min(open.attempt.deadline, open.attempt.sent_at + open.attempt.route_timeout);
  finished.disturbed = Disturbed(open);
  finished.kept_connection = open.attempt.kept_connection;
  finished.by_worker = by_worker;
  if (end == CallerConnection::End::kClosed) finished.end = FinishedAttempt::End::kClosed;
  if (end == CallerConnection::End::kReset) finished.end = FinishedAttempt::End::kReset;
  for (const auto& work : open.work) finished.work.push_back(work.work);
  loss_.OnFinished(finished);
}

// True if an unplanned fault affected a node that took part in the attempt. If no worker began the
// request, its path is unknown, so a fault at any node counts.
bool Witness::Disturbed(const OpenAttempt& open) const {
  const Instant since = open.attempt.sent_at;
  if (!unplanned_.Undisturbed(open.attempt.node, since)) return true;
  if (open.attempt.keyed && !unplanned_.StoreUndisturbed(since)) return true;
  if (open.work.empty()) {
    for (size_t node = 0; node < healed_.size(); ++node) {
      if (!unplanned_.Undisturbed(node, since)) return true;
    }
  }
  return std::any_of(open.work.begin(), open.work.end(),
                     [&](const auto& work) { return !unplanned_.Undisturbed(work.node, since); });
}

void Witness::OnLeft(const std::string& id) {
  OpenAttempt* open = Find(id);
  if (open == nullptr || open->ended) return;
  open->ended = true;
  if (!open->attempt.keyed) abandonment_.OnLeft(id, clock_.Now(), open->attempt.request.repeatable);
}

void Witness::OnNoAnswer(const std::string& id) {
  OpenAttempt* open = Find(id);
  if (open == nullptr || open->ended) return;
  open->ended = true;
  Measure(*open, 0);
  if (contact_.Undisturbed(open->attempt.node, open->attempt.sent_at)) promises_.OnNoAnswer(id);
}

void Witness::OnWorkBegan(size_t node, const std::string& worker, const Execution& execution) {
  promises_.OnExecuted(execution);
  const Instant now = clock_.Now();
  OpenAttempt* open = Find(execution.id);
  if (open == nullptr) return;
  open->work.push_back({node, worker, {now, std::nullopt, WorkEnd::kAnswered}});
  JudgeRoute(*open, execution.service);
  const Attempt& attempt = open->attempt;
  const bool nodes_in_touch =
      contact_.Undisturbed(attempt.node, now) && contact_.Undisturbed(node, now);
  // The node that acknowledged its own worker's leave request must honour it even without the
  // store.
  const bool knows_of_leaving = attempt.node == node || contact_.StoreUndisturbed(now);
  drain_.OnBegan(worker, execution.id, now, nodes_in_touch && knows_of_leaving);
  JudgeStatements(attempt, node, worker);
  evacuation_.OnBegan(zones_[node], execution.id, now,
                      nodes_in_touch && contact_.StoreUndisturbed(now));
  abandonment_.OnBegan(execution.id, now, nodes_in_touch);
  if (IsFatalRequest(execution.target)) {
    const bool in_touch = contact_.Undisturbed(attempt.node, now) && contact_.StoreUndisturbed(now);
    fatal_.OnBegan({execution.target, worker, attempt.node, now, in_touch});
  }
}

// A machine counts as disturbed also while a fault is active there. Requests that a fault on the
// way to the worker may have held up are not judged; a planned stop of the worker's node excuses
// nothing.
void Witness::JudgeStatements(const Attempt& attempt, size_t worker_node,
                              const std::string& worker) {
  const Instant now = clock_.Now();
  const size_t machine = attempt.node;
  if (!unplanned_.Undisturbed(worker_node, now)) return;
  const bool calm = contact_.Undisturbed(machine, now);
  const Instant disturbed_at = calm ? contact_.latest(machine) : now;
  limit_.OnBegan(worker, machine, now, disturbed_at);
  cold_.OnBegan(worker, attempt.sent_at, now);
  drain_.OnBeganAfterStatement(
      {worker, attempt.request.id, machine, attempt.sent_at, disturbed_at});
}

void Witness::JudgeRoute(const OpenAttempt& open, std::optional<std::string> service) {
  const Attempt& attempt = open.attempt;
  HandledRequest handled;
  handled.id = attempt.request.id;
  handled.node = attempt.node;
  handled.life = attempt.life;
  handled.sent_at = attempt.sent_at;
  handled.seen_at = clock_.Now();
  handled.route = attempt.route;
  handled.service = std::move(service);
  handled.in_touch = contact_.Undisturbed(attempt.node, attempt.sent_at) &&
                     contact_.StoreUndisturbed(attempt.sent_at);
  configuration_.OnHandled(handled);
}

void Witness::OnWorkEnded(const std::string& id, const std::string& worker, WorkEnd end, int status,
                          Instant would_last_until) {
  const Instant now = clock_.Now();
  if (status != 0) promises_.OnWorkerAnswered(id, worker, status);
  OpenAttempt* open = Find(id);
  if (open == nullptr) return;
  const auto found =
      std::find_if(open->work.begin(), open->work.end(), [&](const OpenAttempt::WorkAt& work) {
        return work.worker == worker && !work.work.ended.has_value();
      });
  if (found == open->work.end()) return;
  found->work.ended = now;
  found->work.end = end;
  const bool in_touch =
      contact_.Undisturbed(open->attempt.node, now) && contact_.Undisturbed(found->node, now);
  abandonment_.OnWorkEnded(id, now, std::max(now, would_last_until), in_touch);
  if (end == WorkEnd::kCancelled && AbortedByStop(*open, found->node)) ++counts_.cut_at_other_nodes;
}

bool Witness::AbortedByStop(const OpenAttempt& open, size_t node) const {
  const Attempt& attempt = open.attempt;
  if (open.ended || node == attempt.node || stop_asked_[node] == Instant{}) return false;
  const Instant now = clock_.Now();
  const Instant time_up = std::min(attempt.deadline, attempt.sent_at + attempt.route_timeout);
  return now - stop_asked_[node] <= kGracePeriod + kExitSlack && now + kDeadlineMargin < time_up &&
         unplanned_.Undisturbed(node, now);
}

void Witness::OnGrant(size_t node, const std::string& worker,
                      const platform_adapter::FakeWorker::Grant& grant, bool late,
                      bool path_is_slow) {
  const Instant now = clock_.Now();
  OrderArrival arrival = OrderArrival::kTimely;
  if (late) {
    arrival = OrderArrival::kTakenLate;
  } else if (now - healed_[node] <= kRecoverySlack) {
    arrival = OrderArrival::kAfterThaw;
  } else if (path_is_slow) {
    arrival = OrderArrival::kHeldUp;
  }
  ownership_->OnGrant(now, worker, {{grant.first, grant.last}, grant.fence, grant.until}, arrival);
}

void Witness::BeginFault(size_t node, bool planned) {
  contact_.Begin(node);
  if (!planned) unplanned_.Begin(node);
}

void Witness::EndFault(size_t node, bool planned) {
  contact_.End(node, clock_.Now());
  if (planned) return;
  unplanned_.End(node, clock_.Now());
  OnHealed(node);
}

void Witness::BeginStoreFault(std::optional<size_t> node) {
  unplanned_.BeginStore();
  if (node.has_value()) {
    contact_.Begin(*node);
  } else {
    contact_.BeginStore();
  }
}

void Witness::EndStoreFault(std::optional<size_t> node) {
  const Instant now = clock_.Now();
  unplanned_.EndStore(now);
  if (node.has_value()) {
    contact_.End(*node, now);
  } else {
    contact_.EndStore(now);
  }
}

void Witness::Disturb(size_t node, bool planned) {
  contact_.Disturb(node, clock_.Now());
  if (!planned) unplanned_.Disturb(node, clock_.Now());
}

void Witness::OnStall() {
  const Instant now = clock_.Now();
  contact_.DisturbAll(now);
  unplanned_.DisturbAll(now);
  std::fill(healed_.begin(), healed_.end(), now);
}

std::vector<std::vector<std::string>> Witness::Findings() const {
  return {promises_.violations(),      ownership_->violations(), loss_.violations(),
          configuration_.violations(), drain_.violations(),      limit_.violations(),
          evacuation_.violations(),    cold_.violations(),       abandonment_.violations(),
          fatal_.violations()};
}

void Witness::Watch(Instant started) {
  const auto findings = Findings();
  collected_counts_.resize(findings.size());
  const double seconds = std::chrono::duration<double>(clock_.Now() - started).count();
  for (size_t judge = 0; judge < findings.size(); ++judge) {
    for (; collected_counts_[judge] < findings[judge].size(); ++collected_counts_[judge]) {
      violations_.push_back(
          fmt::format("{:7.3f} s {}", seconds, findings[judge][collected_counts_[judge]]));
    }
  }
}

}  // namespace runshelf::soak
