#include "tools/sim/ingress.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace runshelf::sim {
namespace {

using routing::AttemptOutcome;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
// The egress gives up by itself; its answer needs this long to arrive.
constexpr Duration kAnswerTransitTime = std::chrono::milliseconds(5);

}  // namespace

struct Ingress::Exchange {
  CallerRequest request;
  CallerAnswerHandler reply;
  std::unique_ptr<routing::RequestRouter> router;
  ForwardAnswer last_answer;
  AttemptPointer attempt;  // Under way.
  uint64_t wait = 0;       // Number of the wait under way; zero when none.
  uint64_t waits = 0;
};

// One forwarding. It ends once, whatever arrives later is dropped.
struct Ingress::Attempt {
  uint64_t handle = 0;
  ForwardTarget* target = nullptr;
  ForwardedRequest request;
  Instant deadline{};
  uint64_t target_run = 0;  // Of the connection; zero while connecting.
  bool handed_over = false;
  bool ended = false;
};

Ingress::Ingress(const IngressParts& parts, const std::string& zone)
    : parts_(parts), state_(routing::RouterStateConfig{}), snapshot_(parts.node->Routes()) {
  config_.own_zone = zone;
}

Ingress::~Ingress() = default;

uint64_t Ingress::Handle(const CallerRequest& request, CallerAnswerHandler reply) {
  const uint64_t handle = next_handle_++;
  auto exchange = std::make_unique<Exchange>();
  exchange->request = request;
  exchange->reply = std::move(reply);
  routing::RequestInfo info;
  info.service = request.service;
  info.caller_class = request.caller_class;
  info.key = request.key;
  info.idempotency_key = request.idempotency_key;
  info.attempt = request.Attempt();
  info.repeatable = request.repeatable || parts_.retry_any_error;
  info.deadline = Now() + request.time_limit;
  exchange->router = std::make_unique<routing::RequestRouter>(info, config_, state_, parts_.random);
  routing::RequestRouter& router = *exchange->router;
  exchanges_[handle] = std::move(exchange);
  Perform(handle, router.Start(Now(), Snapshot()));
  return handle;
}

void Ingress::CallerGone(uint64_t handle) {
  const auto found = exchanges_.find(handle);
  if (found == exchanges_.end()) {
    return;
  }
  const AttemptPointer attempt = found->second->attempt;
  exchanges_.erase(found);
  if (!attempt || attempt->ended) {
    return;
  }
  attempt->ended = true;
  ForwardTarget* target = attempt->target;
  parts_.network.SendStream(
      parts_.host, target->host(),
      [target, id = attempt->request.request_id] { target->CancelForwarded(id); });
}

void Ingress::Perform(uint64_t handle, const routing::Step& step) {
  if (const auto* forward = std::get_if<routing::ForwardStep>(&step)) {
    Forward(handle, *forward);
  } else if (const auto* wait = std::get_if<routing::WaitStep>(&step)) {
    Wait(handle, wait->until);
  } else if (std::holds_alternative<routing::DeliverStep>(step)) {
    CallerAnswer answer;
    answer.verdict = Verdict::kRan;
    answer.answered_operation = exchanges_[handle]->last_answer.answered_operation;
    Answer(handle, answer);
  } else {
    const auto& give_up = std::get<routing::GiveUpStep>(step);
    CallerAnswer answer;
    answer.verdict = give_up.verdict;
    answer.retry_after = give_up.retry_after;
    Answer(handle, answer);
  }
}

void Ingress::Forward(uint64_t handle, const routing::ForwardStep& step) {
  auto attempt = std::make_shared<Attempt>();
  attempt->handle = handle;
  attempt->target = parts_.find_target(step.target.forward_address);
  attempt->request.request_id = parts_.next_request_id++;
  attempt->request.request = exchanges_[handle]->request;
  attempt->request.slot = step.slot;
  attempt->deadline = step.attempt_deadline;
  exchanges_[handle]->attempt = attempt;
  parts_.process.After(UntilInstant(step.attempt_deadline), [this, attempt] {
    EndAttempt(attempt,
               attempt->handed_over ? AttemptOutcome::kTimedOut : AttemptOutcome::kConnectFailed);
  });
  const ForwardTarget& target = *attempt->target;
  if (target.alive() && connected_.contains({target.host(), target.run()})) {
    attempt->target_run = target.run();
    Send(attempt);
  } else {
    Connect(attempt);
  }
}

// The target's kernel answers the connect, also for a paused process; nobody does for a machine
// that is down.
void Ingress::Connect(const AttemptPointer& attempt) {
  ForwardTarget* target = attempt->target;
  const Handler connected = parts_.process.Bind([this, attempt] {
    if (!attempt->ended) {
      connected_.emplace(attempt->target->host(), attempt->target_run);
      Send(attempt);
    }
  });
  const Handler failed =
      parts_.process.Bind([this, attempt] { EndAttempt(attempt, AttemptOutcome::kConnectFailed); });
  Network& network = parts_.network;
  const HostIndex self = parts_.host;
  network.SendStream(self, target->host(), [&network, self, target, attempt, connected, failed] {
    if (!target->host_up()) {
      return;
    }
    attempt->target_run = target->run();
    network.SendStream(target->host(), self, target->alive() ? connected : failed);
  });
  parts_.process.After(kConnectTimeout, [this, attempt] {
    if (!attempt->handed_over) {
      EndAttempt(attempt, AttemptOutcome::kConnectFailed);
    }
  });
}

void Ingress::Send(const AttemptPointer& attempt) {
  attempt->handed_over = true;
  attempt->request.time_left =
      std::max<Duration>(attempt->deadline - Now() - kAnswerTransitTime, Duration(1000));
  ForwardTarget* target = attempt->target;
  const Handler reset = parts_.process.Bind([this, attempt] {
    connected_.erase({attempt->target->host(), attempt->target_run});
    EndAttempt(attempt, AttemptOutcome::kConnectionLost);
  });
  Network& network = parts_.network;
  const HostIndex self = parts_.host;
  const uint64_t own_run = parts_.process.run();
  const auto answered = [this, attempt, own_run,
                         &process = parts_.process](const ForwardAnswer& answer) {
    if (process.run() == own_run) {
      process.Post([this, attempt, answer] { EndAttempt(attempt, answer); });
    }
  };
  network.SendStream(self, target->host(), [&network, self, target, attempt, reset, answered] {
    if (!target->host_up()) {
      return;
    }
    const auto send_reset = [&network, self, target, reset] {
      network.SendStream(target->host(), self, reset);
    };
    if (!target->alive() || target->run() != attempt->target_run) {
      send_reset();
      return;
    }
    const auto reply = [&network, self, target, answered](const ForwardAnswer& answer) {
      network.SendStream(target->host(), self, [answered, answer] { answered(answer); });
    };
    target->Forward(attempt->request, reply, send_reset);
    if (attempt->ended) {  // Delivered late: the end of the stream follows at once.
      target->CancelForwarded(attempt->request.request_id);
    }
  });
}

void Ingress::EndAttempt(const AttemptPointer& attempt, AttemptOutcome outcome) {
  ForwardAnswer answer;
  answer.result.outcome = outcome;
  EndAttempt(attempt, answer);
}

void Ingress::EndAttempt(const AttemptPointer& attempt, const ForwardAnswer& answer) {
  if (attempt->ended) {
    return;
  }
  attempt->ended = true;
  if (answer.result.outcome == AttemptOutcome::kTimedOut) {
    ForwardTarget* target = attempt->target;
    connected_.erase({target->host(), attempt->target_run});
    parts_.network.SendStream(
        parts_.host, target->host(),
        [target, id = attempt->request.request_id] { target->CancelForwarded(id); });
  }
  const auto found = exchanges_.find(attempt->handle);
  if (found == exchanges_.end()) {
    return;
  }
  Exchange& exchange = *found->second;
  exchange.attempt.reset();
  exchange.last_answer = answer;
  Perform(attempt->handle, exchange.router->OnAttemptResult(Now(), Snapshot(), answer.result));
}

void Ingress::Wait(uint64_t handle, Instant until) {
  Exchange& exchange = *exchanges_[handle];
  exchange.wait = ++exchange.waits;
  parts_.process.After(UntilInstant(until),
                       [this, handle, wait = exchange.wait] { EndWait(handle, wait); });
}

void Ingress::EndWait(uint64_t handle, uint64_t wait) {
  const auto found = exchanges_.find(handle);
  if (found == exchanges_.end() || found->second->wait != wait) {
    return;
  }
  found->second->wait = 0;
  Perform(handle, found->second->router->OnWaitOver(Now(), Snapshot()));
}

void Ingress::OnRoutesMayHaveChanged() {
  if (parts_.node->Routes() == snapshot_) {
    return;
  }
  snapshot_ = parts_.node->Routes();
  std::vector<std::pair<uint64_t, uint64_t>> waiting;
  for (const auto& [handle, exchange] : exchanges_) {
    if (exchange->wait != 0) {
      waiting.emplace_back(handle, exchange->wait);
    }
  }
  for (const auto& [handle, wait] : waiting) {
    EndWait(handle, wait);
  }
}

void Ingress::Answer(uint64_t handle, const CallerAnswer& answer) {
  const auto found = exchanges_.find(handle);
  const CallerAnswerHandler reply = std::move(found->second->reply);
  exchanges_.erase(found);
  reply(answer);
}

Duration Ingress::UntilInstant(Instant instant) const {
  return std::max(instant - Now(), Duration(0));
}

const routing::RoutingSnapshot& Ingress::Snapshot() {
  snapshot_ = parts_.node->Routes();
  return *snapshot_;
}

}  // namespace runshelf::sim
