// The part of RequestFlow that ends a request: sends the final response and logs the outcome.

#include <fmt/format.h>

#include <algorithm>

#include "source/sidecar/request_flow.h"

namespace runshelf::sidecar {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

}  // namespace

void RequestFlow::OnTimer() {
  const auto self = shared_from_this();
  if (done_) return;
  if (relay_.streaming()) {
    LogOutcome("answer_broken_off", relay_.head().status, "expired", Verdict::kRan);
    context_.metrics.OnRequest(RequestOutcome::kFailed, Age());
    exchange_->Abort();
    Finish();
    return;
  }
  if (current_node_.empty() && !may_have_run_) {
    Refuse(FailureReason::kExpired, Duration(0));
  } else {
    may_have_run_ = true;
    AnswerFailure(kGatewayTimeout, FailureReason::kExpired);
  }
}

void RequestFlow::OnClientGone() {
  const auto self = shared_from_this();
  context_.metrics.OnRequest(RequestOutcome::kCancelled, Age());
  Finish();
}

// Responds that the request has not run and may be sent again. If an earlier attempt may have run,
// responds with a failure instead, which makes no such promise.
void RequestFlow::Refuse(FailureReason reason, Duration retry_after) {
  if (may_have_run_) {
    AnswerFailure(kBadGateway, reason);
    return;
  }
  context_.metrics.OnRequest(RequestOutcome::kRefused, Age());
  Duration advice = retry_after == Duration(0) ? kDefaultRetryAfter : retry_after;
  advice = std::min(advice, kMaxRetryAfter);
  // Random jitter, so that clients that are refused at the same time do not all retry together.
  advice = context_.random.Between(advice, advice + advice / 2 + std::chrono::milliseconds(1));
  http::Headers headers;
  headers.Add(context_.wire.headers().retry_after,
              fmt::format("{:.3f}", std::chrono::duration<double>(advice).count()));
  const int status = reason == FailureReason::kLimited ? kTooManyRequests : kServiceUnavailable;
  LogOutcome("request_refused", status, FailureReasonName(reason), Verdict::kNotRun);
  exchange_->Respond(status, headers, "");
  Finish();
}

void RequestFlow::AnswerFailure(int status, FailureReason reason) {
  context_.metrics.OnRequest(RequestOutcome::kFailed, Age());
  LogOutcome("request_failed", status, FailureReasonName(reason), CurrentVerdict());
  exchange_->Respond(status, {}, "");
  Finish();
}

void RequestFlow::Finish() {
  if (done_) return;
  done_ = true;
  exchange_->set_on_client_gone(nullptr);
  timer_.Stop();
  wait_timer_.Stop();
  EndAttempt();
  ingress_->RemoveFlow(this);
}

void RequestFlow::LogUnfinished() {
  const bool sent = !current_node_.empty() || may_have_run_;
  LogOutcome("request_cut", 0, "stopping", sent ? Verdict::kMayHaveRun : Verdict::kNotRun);
  const AnswerProgress progress = relay_.progress();
  if (!progress.streaming) return;
  context_.log.Write(LogLevel::kInfo, "answer_cut",
                     {{"request", request_id_},
                      {"received_bytes", progress.received_bytes},
                      {"waiting_bytes", progress.waiting_bytes},
                      {"unsent_bytes", progress.unsent_bytes},
                      {"paused", progress.paused},
                      {"node", last_node_}});
}

Duration RequestFlow::Age() const { return context_.loop.Now() - exchange_->received(); }

void RequestFlow::LogOutcome(std::string_view event, int status, std::string_view reason,
                             Verdict verdict) {
  context_.log.Write(
      LogLevel::kInfo, event,
      {{"request", request_id_},
       {"route", route_.name},
       {"service", service_},
       {"status", status},
       {"reason", std::string(reason)},
       {"verdict", std::string(VerdictName(verdict))},
       {"age_ms", ToMilliseconds(Age())},
       {"nested", nested_},
       {"arrivals", arrivals_},
       {"node", last_node_},
       {"worker", last_worker_},
       {"owner_waits", owner_waits_},
       {"key", key_.has_value() ? std::to_string(*key_) : std::string("none")},
       {"shards_revision", store::RevisionText(context_.shards.RevisionOf(service_))},
       {"configuration",
        ingress_->configuration_ == nullptr ? 0 : ingress_->configuration_->version()}});
}

}  // namespace runshelf::sidecar
