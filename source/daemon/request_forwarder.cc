#include "source/daemon/request_forwarder.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <variant>

#include "runshelf/common/log.h"
#include "source/daemon/request_headers.h"
#include "source/daemon/router_response.h"

namespace runshelf::daemon {
namespace {

using routing::AttemptOutcome;
using routing::AttemptResult;
using transport::HttpOutcome;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::HttpResult;

// While a request waits for an owner, whether its caller is still there is checked this often.
constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(20);

// The egress gives up at its deadline by itself; its answer needs this long to arrive.
constexpr Duration kAnswerTransitTime = std::chrono::milliseconds(5);

// Returns the request that is sent to `step`'s target.
HttpRequest ForwardedRequest(const CallerRequest& request, const HttpRequest& original,
                             const std::string& request_id, const routing::ForwardStep& step,
                             Instant now) {
  HttpRequest forwarded;
  forwarded.method = original.method;
  forwarded.target = request.target;
  forwarded.body = original.body;
  for (const transport::HttpHeader& field : original.headers.All()) {
    if (!transport::IsConnectionHeader(field.name) && !IsRunshelfHeader(field.name) &&
        field.name != "Host") {
      forwarded.headers.Add(field.name, field.value);
    }
  }
  forwarded.headers.Set(kServiceHeader, request.service);
  forwarded.headers.Set(kClassHeader, request.caller_class);
  if (const std::optional<std::string> key = original.headers.Find(kKeyHeader)) {
    forwarded.headers.Set(kKeyHeader, *key);
  }
  if (step.slot.has_value()) {
    forwarded.headers.Set(kSlotHeader, std::to_string(*step.slot));
  }
  const int64_t time_left = MillisecondsLeft(now, step.attempt_deadline - kAnswerTransitTime);
  forwarded.headers.Set(kDeadlineHeader, std::to_string(std::max<int64_t>(time_left, 1)));
  forwarded.headers.Set(kRequestIdHeader, request_id);
  forwarded.headers.Set(kAttemptHeader, std::to_string(request.attempt));
  forwarded.headers.Set(kRepeatableHeader, request.repeatable ? "true" : "false");
  return forwarded;
}

Duration RetryAfterOf(const HttpResponse& response) {
  const std::string text = response.headers.Find(kRetryAfterMsHeader).value_or("");
  int64_t milliseconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  return std::chrono::milliseconds(std::clamp<int64_t>(milliseconds, 0, 60'000));
}

AttemptOutcome OutcomeOfRefusal(const std::string& refusal) {
  if (refusal == kRefusedNotOwner) {
    return AttemptOutcome::kNotOwner;
  }
  if (refusal == kRefusedOverloaded) {
    return AttemptOutcome::kOverloaded;
  }
  if (refusal == kRefusedLeaving) {
    return AttemptOutcome::kLeaving;
  }
  if (refusal == kRefusedDeadline) {
    return AttemptOutcome::kDeadlinePassed;
  }
  if (refusal == kRefusedUnknownRepeat) {
    return AttemptOutcome::kUnknownRepeat;
  }
  return AttemptOutcome::kConnectionLost;  // Unknown word: nothing is certain.
}

AttemptOutcome OutcomeOfResponse(const HttpResponse& response) {
  if (const auto refusal = response.headers.Find(kRefusedHeader)) {
    return OutcomeOfRefusal(*refusal);
  }
  if (const auto failure = response.headers.Find(kFailedHeader)) {
    return *failure == kFailedTimedOut ? AttemptOutcome::kTimedOut
                                       : AttemptOutcome::kConnectionLost;
  }
  return AttemptOutcome::kAnswered;
}

AttemptOutcome OutcomeOf(const HttpResult& result) {
  switch (result.outcome) {
    case HttpOutcome::kAnswered:
      return OutcomeOfResponse(result.response);
    case HttpOutcome::kConnectFailed:
      return AttemptOutcome::kConnectFailed;
    case HttpOutcome::kTimedOut:
      return AttemptOutcome::kTimedOut;
    case HttpOutcome::kConnectionLost:
    case HttpOutcome::kCancelled:
      return AttemptOutcome::kConnectionLost;
  }
  return AttemptOutcome::kConnectionLost;
}

std::string OutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kNotOwner:
      return "not_owner";
    case AttemptOutcome::kOverloaded:
      return "overloaded";
    case AttemptOutcome::kLeaving:
      return "leaving";
    case AttemptOutcome::kDeadlinePassed:
      return "deadline_passed";
    case AttemptOutcome::kConnectFailed:
      return "connect_failed";
    case AttemptOutcome::kConnectionLost:
      return "connection_lost";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kUnknownRepeat:
      return "unknown_repeat";
  }
  return "unknown";
}

// A delivered answer ran, unless the egress itself says otherwise.
Verdict VerdictOfAnswer(const HttpResponse& response) {
  return response.headers.Find(kVerdictHeader) == VerdictName(Verdict::kNotRun) ? Verdict::kNotRun
                                                                                : Verdict::kRan;
}

HttpResponse WithoutRunshelfHeaders(HttpResponse response) {
  std::vector<std::string> names;
  for (const transport::HttpHeader& field : response.headers.All()) {
    if (IsRunshelfHeader(field.name)) {
      names.push_back(field.name);
    }
  }
  for (const std::string& name : names) {
    response.headers.Remove(name);
  }
  return response;
}

}  // namespace

// One request on its way.
struct RequestForwarder::Exchange {
  const CallerRequest& request;
  const HttpRequest& original;
  const std::string& request_id;
  transport::PeerWatch caller;
  std::shared_ptr<const routing::RoutingSnapshot> snapshot;
  HttpResponse answer;  // Of the last attempt.
};

RequestForwarder::RequestForwarder(const Clock& clock, routing::RouterConfig config,
                                   const Published<routing::RoutingSnapshot>& routes,
                                   transport::HttpConnectionPool& pool, Metrics& metrics)
    : clock_(clock),
      config_(std::move(config)),
      routes_(routes),
      pool_(pool),
      metrics_(metrics),
      state_(routing::RouterStateConfig{}) {}

ForwardedResponse RequestForwarder::Forward(const CallerRequest& request,
                                            const HttpRequest& original,
                                            const std::string& request_id, Instant deadline,
                                            transport::PeerWatch caller) {
  routing::RequestInfo info;
  info.service = request.service;
  info.caller_class = request.caller_class;
  info.key = request.key;
  info.idempotency_key = request.idempotency_key;
  info.attempt = request.attempt;
  info.repeatable = request.repeatable;
  info.deadline = deadline;

  Exchange exchange{request, original, request_id, caller, routes_.Current(), {}};
  std::unique_lock lock(mutex_);
  // Destroyed under the lock: `lock` is locked again at every way out.
  routing::RequestRouter router(std::move(info), config_, state_, random_);
  routing::Step step = router.Start(clock_.Now(), *exchange.snapshot);
  while (true) {
    if (const auto* forward = std::get_if<routing::ForwardStep>(&step)) {
      lock.unlock();
      const AttemptResult result = Attempt(exchange, *forward);
      exchange.snapshot = routes_.Current();
      lock.lock();
      step = router.OnAttemptResult(clock_.Now(), *exchange.snapshot, result);
    } else if (const auto* wait = std::get_if<routing::WaitStep>(&step)) {
      lock.unlock();
      Wait(exchange, wait->until);
      exchange.snapshot = routes_.Current();
      lock.lock();
      step = router.OnWaitOver(clock_.Now(), *exchange.snapshot);
    } else if (std::holds_alternative<routing::DeliverStep>(step)) {
      const Verdict verdict = VerdictOfAnswer(exchange.answer);
      HttpResponse response = WithoutRunshelfHeaders(std::move(exchange.answer));
      SetVerdict(response, verdict, request_id);
      return {std::move(response), verdict};
    } else {
      const auto& give_up = std::get<routing::GiveUpStep>(step);
      const RequestError error{give_up.http_status, give_up.reason, "", give_up.verdict,
                               give_up.retry_after};
      return {ErrorResponse(error, request_id), give_up.verdict};
    }
    if (caller.Closed()) {
      const RequestError gone{499, "caller_gone", "", Verdict::kMayHaveRun, Duration::zero()};
      return {ErrorResponse(gone, request_id), Verdict::kMayHaveRun};
    }
  }
}

AttemptResult RequestForwarder::Attempt(Exchange& exchange, const routing::ForwardStep& step) {
  const HttpRequest forwarded = ForwardedRequest(exchange.request, exchange.original,
                                                 exchange.request_id, step, clock_.Now());
  const auto match = transport::AnswerMatch::EchoedHeader(kRequestIdHeader, exchange.request_id);
  HttpResult result = pool_.Call(step.target.forward_address, forwarded, match,
                                 step.attempt_deadline, exchange.caller);
  AttemptResult attempt;
  attempt.outcome = OutcomeOf(result);
  metrics_.OnAttempt(OutcomeName(attempt.outcome));
  if (attempt.outcome != AttemptOutcome::kAnswered) {
    LogEvent(LogLevel::kDebug, "attempt_failed",
             {{"request", exchange.request_id},
              {"target", step.target.instance.ToString()},
              {"outcome", OutcomeName(attempt.outcome)},
              {"detail", result.detail}});
  }
  if (result.outcome == HttpOutcome::kAnswered) {
    attempt.retry_after = RetryAfterOf(result.response);
    attempt.load =
        routing::TargetLoad::Parse(result.response.headers.Find(kLoadHeader).value_or(""));
    exchange.answer = std::move(result.response);
  }
  return attempt;
}

void RequestForwarder::Wait(const Exchange& exchange, Instant until) const {
  while (!exchange.caller.Closed()) {
    const Duration left = until - clock_.Now();
    if (left <= Duration::zero() || routes_.Current() != exchange.snapshot) {
      return;
    }
    routes_.WaitForChange(exchange.snapshot, std::min(left, kCallerCheckInterval));
  }
}

}  // namespace runshelf::daemon
