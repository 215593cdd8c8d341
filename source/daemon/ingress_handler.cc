#include "source/daemon/ingress_handler.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

#include "source/daemon/caller_request.h"
#include "source/daemon/router_response.h"

namespace runshelf::daemon {
namespace {

using transport::HttpRequest;
using transport::HttpResponse;

constexpr Duration kRetryAfterNoTable = std::chrono::seconds(1);

RequestError TableError(const HttpRequest& request, int http_status, std::string identifier,
                        std::string detail) {
  RequestError error;
  error.http_status = http_status;
  error.identifier = std::move(identifier);
  error.detail = std::move(detail);
  error.verdict = VerdictBeforeForwarding(request);
  return error;
}

HttpResponse Page(std::string content_type, std::string body) {
  HttpResponse response;
  response.headers.Set("Content-Type", std::move(content_type));
  response.body = std::move(body);
  return response;
}

}  // namespace

IngressHandler::IngressHandler(const Clock& clock, const InstanceId& self,
                               std::set<std::string> keyed_services,
                               const Published<table::Table>& table, SharedRateLimiter& limiter,
                               RequestForwarder& forwarder, Metrics& metrics, StatusSource status)
    : clock_(clock),
      request_id_prefix_(fmt::format("{:016x}", self.incarnation)),
      keyed_services_(std::move(keyed_services)),
      table_(table),
      limiter_(limiter),
      forwarder_(forwarder),
      metrics_(metrics),
      status_(std::move(status)) {}

HttpResponse IngressHandler::Handle(HttpRequest request, transport::PeerWatch caller) {
  if (std::optional<HttpResponse> page = HandleOwnPage(request)) {
    return std::move(*page);
  }
  ++in_progress_;
  const Instant received = clock_.Now();
  Answer answer = Route(request, NextRequestId(), received, caller);
  metrics_.OnAnswer(answer.service, answer.caller_class, answer.response.status, answer.verdict,
                    clock_.Now() - received);
  answer.response.close_connection = leaving_;
  --in_progress_;
  return std::move(answer.response);
}

HttpResponse IngressHandler::RefuseUnreadable(const HttpRequest& request, int status) {
  const Verdict verdict =
      request.method.empty() ? Verdict::kMayHaveRun : VerdictBeforeForwarding(request);
  return ErrorResponse({status, "bad_request", "the request could not be read", verdict},
                       NextRequestId());
}

IngressHandler::Answer IngressHandler::Route(const HttpRequest& request,
                                             const std::string& request_id, Instant received,
                                             transport::PeerWatch caller) {
  const ParsedRequest parsed = ParseCallerRequest(request, keyed_services_);
  if (request.body_too_large) {
    return Refuse(TableError(request, 413, "body_too_large", "the body exceeds the limit"),
                  request_id);
  }
  if (const auto* error = std::get_if<RequestError>(&parsed)) {
    return Refuse(*error, request_id);
  }
  const auto& caller_request = std::get<CallerRequest>(parsed);
  std::optional<RequestError> refusal = CheckTable(caller_request, request, received);
  if (refusal.has_value()) {
    return Refuse(*refusal, request_id);
  }
  ForwardedResponse forwarded = forwarder_.Forward(caller_request, request, request_id,
                                                   received + caller_request.time_limit, caller);
  return {std::move(forwarded.response), forwarded.verdict, caller_request.service,
          caller_request.caller_class};
}

IngressHandler::Answer IngressHandler::Refuse(const RequestError& error,
                                              const std::string& request_id) const {
  return {ErrorResponse(error, request_id), error.verdict, "", ""};
}

std::optional<RequestError> IngressHandler::CheckTable(const CallerRequest& request,
                                                       const HttpRequest& original, Instant now) {
  const table::TableSnapshot table = table_.Current();
  if (table->revision() == 0) {
    RequestError error =
        TableError(original, 503, "no_table", "this instance has not read the table yet");
    error.retry_after = kRetryAfterNoTable;
    return error;
  }
  const table::Cell* cell = table->Lookup(request.service, request.caller_class);
  if (cell == nullptr && !table->HasService(request.service)) {
    return TableError(original, 404, "unknown_service", "the table has no such service");
  }
  if (cell == nullptr) {
    return TableError(original, 403, "unknown_class", "the service has no cell for this class");
  }
  std::optional<double> limit;
  if (cell->value.limit.has_value()) {
    limit = static_cast<double>(*cell->value.limit);
  }
  const std::lock_guard lock(limiter_.mutex);
  const admission::RateDecision decision =
      limiter_.limiter.Admit(now, request.service, request.caller_class, limit);
  if (decision.admitted) {
    return std::nullopt;
  }
  RequestError error =
      TableError(original, 429, "limit_exceeded", "the limit of this cell is reached");
  error.retry_after = decision.retry_after;
  return error;
}

std::optional<HttpResponse> IngressHandler::HandleOwnPage(const HttpRequest& request) const {
  if (request.method != "GET") {
    return std::nullopt;
  }
  if (request.target == "/status") {
    return Page("application/json", status_());
  }
  if (request.target == "/metrics") {
    return Page("text/plain; version=0.0.4", metrics_.Serialize());
  }
  if (request.target == "/healthz") {
    return Page("text/plain", "ok\n");
  }
  return std::nullopt;
}

std::string IngressHandler::NextRequestId() {
  return fmt::format("{}-{:x}", request_id_prefix_, ++next_request_);
}

}  // namespace runshelf::daemon
