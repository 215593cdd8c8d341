#include "source/daemon/server_client.h"

#include <algorithm>
#include <utility>

#include "source/daemon/request_headers.h"
#include "source/daemon/router_response.h"

namespace runshelf::daemon {
namespace {

using transport::AnswerMatch;
using transport::HttpOutcome;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::HttpResult;

constexpr Duration kCancelTimeout = std::chrono::milliseconds(500);
constexpr size_t kMaxIdleConnections = 128;
constexpr size_t kMaxIdleControlConnections = 4;

transport::HttpConnectionPoolOptions PoolOptions(size_t max_idle) {
  transport::HttpConnectionPoolOptions options;
  options.max_idle_per_address = max_idle;
  return options;
}

// The daemon's own headers are not for the server, except the caller's class and key.
bool IsForServer(const std::string& name) {
  return !transport::IsConnectionHeader(name) &&
         (!IsRunshelfHeader(name) || name == kClassHeader || name == kKeyHeader);
}

HttpRequest ServerRequest(const HttpRequest& forwarded, const ServerRequestContext& context,
                          Instant now) {
  HttpRequest request;
  request.method = forwarded.method;
  request.target = forwarded.target;
  request.body = forwarded.body;
  for (const transport::HttpHeader& field : forwarded.headers.All()) {
    if (IsForServer(field.name)) {
      request.headers.Add(field.name, field.value);
    }
  }
  const int64_t time_left = std::max<int64_t>(MillisecondsLeft(now, context.deadline), 1);
  request.headers.Set(kDeadlineHeader, std::to_string(time_left));
  request.headers.Set(kRequestIdHeader, context.request_id);
  if (context.slot.has_value() && context.token.has_value()) {
    request.headers.Set(kSlotHeader, std::to_string(*context.slot));
    request.headers.Set(kFencingTokenHeader, context.token->ToString());
  }
  return request;
}

// Answers to control calls do not say what they answer. A GET changes nothing, so the answer to an
// earlier one serves as well.
AnswerMatch ControlMatch(const HttpRequest& request) {
  return request.method == "GET" ? AnswerMatch::Lane(request.target) : AnswerMatch::OwnConnection();
}

ServerOutcome OutcomeOfResponse(const HttpResponse& response) {
  const std::optional<std::string> refusal = response.headers.Find(kRefusedHeader);
  if (!refusal.has_value()) {
    return ServerOutcome::kAnswered;
  }
  if (*refusal == kRefusedNotOwner) {
    return ServerOutcome::kNotOwner;
  }
  if (*refusal == kRefusedDeadline) {
    return ServerOutcome::kDeadline;
  }
  if (*refusal == kRefusedDraining) {
    return ServerOutcome::kDraining;
  }
  if (*refusal == kRefusedOverloaded || *refusal == kRefusedCancelled) {
    return ServerOutcome::kOverloaded;
  }
  return ServerOutcome::kLost;  // Unknown word: nothing is certain.
}

ServerOutcome OutcomeOf(const HttpResult& result) {
  switch (result.outcome) {
    case HttpOutcome::kAnswered:
      return OutcomeOfResponse(result.response);
    case HttpOutcome::kConnectFailed:
      return ServerOutcome::kUnreachable;
    case HttpOutcome::kTimedOut:
      return ServerOutcome::kTimedOut;
    case HttpOutcome::kCancelled:
      return ServerOutcome::kCallerGone;
    case HttpOutcome::kConnectionLost:
      return ServerOutcome::kLost;
  }
  return ServerOutcome::kLost;
}

}  // namespace

ServerClient::ServerClient(const Clock& clock, std::string address)
    : clock_(clock),
      address_(std::move(address)),
      pool_(clock, PoolOptions(kMaxIdleConnections)),
      control_pool_(clock, PoolOptions(kMaxIdleControlConnections)) {}

ServerResult ServerClient::Call(const HttpRequest& request, const ServerRequestContext& context,
                                transport::PeerWatch caller) {
  const HttpRequest sent = ServerRequest(request, context, clock_.Now());
  const auto match = AnswerMatch::OptionallyEchoedHeader(kRequestIdHeader, context.request_id);
  HttpResult result = pool_.Call(address_, sent, match, context.deadline, caller);
  const ServerOutcome outcome = OutcomeOf(result);
  if (outcome == ServerOutcome::kTimedOut || outcome == ServerOutcome::kCallerGone) {
    Cancel(context.request_id);
  }
  return {outcome, std::move(result.response)};
}

HttpResult ServerClient::Control(const std::string& method, const std::string& target,
                                 const std::string& body, Instant deadline) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!body.empty()) {
    request.headers.Set("Content-Type", "application/json");
  }
  return control_pool_.Call(address_, request, ControlMatch(request), deadline);
}

void ServerClient::Cancel(const std::string& request_id) {
  Control("DELETE", "/requests/" + request_id, "", clock_.Now() + kCancelTimeout);
}

}  // namespace runshelf::daemon
