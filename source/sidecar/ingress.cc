#include "source/sidecar/ingress.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/sidecar/request_flow.h"

namespace runshelf::sidecar {
namespace {

constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr const char* kRetryAfterSeconds = "0.3";
// How long a request waits until the configuration is confirmed; the store answers in a fraction.
constexpr Duration kMaxConfirmationWait = std::chrono::milliseconds(250);
// Share of the fleet's retry budget that this node uses for all retries to a service.
constexpr double kRetryShare = 0.6;
// Share for retries of requests that may have run. A repeated run also repeats the calls that its
// worker makes, which load the called service in addition to that service's own retries. The two
// shares together stay below 1, so that even then the fleet's budget is not exceeded.
constexpr double kRepeatedRunShare = 0.35;

routing::RetryBudgetConfig BudgetConfig(const FleetBounds& bounds, double share) {
  routing::RetryBudgetConfig config;
  config.fraction = bounds.retry_budget_ratio * share;
  config.window = bounds.retry_budget_window;
  config.floor = 0;
  return config;
}

std::string_view PathOf(const http::RequestHead& head) {
  return std::string_view(head.target).substr(0, head.target.find('?'));
}

}  // namespace

Ingress::Ingress(const IngressContext& context)
    : context_(context), confirmation_timer_(context.loop, [this] { RefuseUnconfirmed(); }) {}

// Moves the flows out of the map first: destroying a flow can end other flows, which then call
// RemoveFlow(). See ~InboundHandler().
Ingress::~Ingress() { const auto ending = std::exchange(flows_, {}); }

void Ingress::SetConfiguration(std::shared_ptr<const routes::RoutingConfiguration> configuration) {
  configuration_ = std::move(configuration);
}

void Ingress::Handle(const http::ExchangePtr& exchange) {
  const http::RequestHead& head = exchange->request().head;
  if (configuration_ == nullptr) {
    RefuseUnconfigured(exchange, "no-configuration");
    return;
  }
  if (configuration_is_current_ && !configuration_is_current_()) {
    WaitForConfirmation(exchange);
    return;
  }
  const routes::Route* route = RouteOf(head);
  if (route == nullptr) {
    const std::string* host = head.headers.Find("host");
    AnswerUnknownRoute(exchange, host == nullptr ? std::string() : *host, PathOf(head));
    return;
  }
  auto flow = std::make_shared<RequestFlow>(this, exchange, *route);
  flows_[flow.get()] = flow;
  flow->Begin();
}

const routes::Route* Ingress::RouteOf(const http::RequestHead& head) const {
  const std::string* host = head.headers.Find("host");
  return host == nullptr ? nullptr : configuration_->Match(*host, PathOf(head));
}

bool Ingress::MayOverlap(const http::RequestHead& head) const {
  if (configuration_ == nullptr || IsNestedCall(head)) return false;
  const routes::Route* route = RouteOf(head);
  return route != nullptr && routes::IsRepeatable(route->kind);
}

bool Ingress::Accepts(bool nested, Instant deadline) const {
  if (context_.stop.TakesNewRequests(context_.loop.Now())) return true;
  return nested && context_.stop.EndsInTime(deadline);
}

// The route may be in a configuration that this node has not received yet. Clients do not retry
// after a 404, so that case gets a 503.
void Ingress::AnswerUnknownRoute(const http::ExchangePtr& exchange, const std::string& host,
                                 std::string_view path) {
  if (configuration_is_behind_ && configuration_is_behind_()) {
    RefuseUnconfigured(exchange, "configuration-behind");
    return;
  }
  context_.metrics.OnRequest(RequestOutcome::kUnknownRoute, Duration(0));
  context_.log.Write(
      LogLevel::kInfo, "route_unknown",
      {{"host", host}, {"path", std::string(path)}, {"configuration", configuration_->version()}});
  exchange->Respond(kNotFound, {}, "");
}

void Ingress::RefuseUnconfigured(const http::ExchangePtr& exchange, const char* reason) {
  const std::string* id = exchange->request().head.headers.Find(context_.wire.headers().request_id);
  context_.log.Write(LogLevel::kInfo, "request_refused",
                     {{"request", id == nullptr ? std::string() : *id},
                      {"status", kServiceUnavailable},
                      {"reason", std::string(reason)},
                      {"verdict", VerdictName(Verdict::kNotRun)}});
  http::Headers headers;
  headers.Add(context_.wire.headers().retry_after, kRetryAfterSeconds);
  exchange->Respond(kServiceUnavailable, headers, "");
  context_.metrics.OnRequest(RequestOutcome::kRefused, Duration(0));
}

void Ingress::WaitForConfirmation(const http::ExchangePtr& exchange) {
  if (unconfirmed_.empty()) confirmation_timer_.Start(kMaxConfirmationWait);
  unconfirmed_.push_back(exchange);
}

void Ingress::OnConfigurationCurrent() {
  confirmation_timer_.Stop();
  for (const http::ExchangePtr& exchange : std::exchange(unconfirmed_, {})) {
    if (!exchange->client_gone()) Handle(exchange);
  }
}

void Ingress::RefuseUnconfirmed() {
  confirmation_timer_.Stop();
  for (const http::ExchangePtr& exchange : std::exchange(unconfirmed_, {})) {
    if (!exchange->client_gone()) RefuseUnconfigured(exchange, "configuration-unconfirmed");
  }
}

RequestCounts Ingress::UnderWay() const {
  RequestCounts counts;
  counts.clients = unconfirmed_.size();
  for (const auto& [pointer, flow] : flows_) ++(flow->nested() ? counts.nested : counts.clients);
  return counts;
}

void Ingress::LogUnfinished() const {
  for (const auto& [pointer, flow] : flows_) flow->LogUnfinished();
}

bool Ingress::IsNestedCall(const http::RequestHead& head) const {
  const std::string* id = head.headers.Find(context_.wire.headers().request_id);
  if (id == nullptr) return false;
  const std::string_view parent = context_.wire.ParentRequestId(*id);
  return !parent.empty() && context_.gate.IsRunning(std::string(parent));
}

void Ingress::RetryWaiting() {
  std::vector<std::shared_ptr<RequestFlow>> waiting;
  for (const auto& [pointer, flow] : flows_) {
    if (flow->waiting_for_owner()) waiting.push_back(flow);
  }
  for (const auto& flow : waiting) flow->RetryOwnerLookup();
}

Ingress::ServiceBudgets& Ingress::RetryBudgetsFor(const std::string& service) {
  const FleetBounds& bounds = context_.settings.bounds;
  const auto [found, added] = budgets_.try_emplace(
      service, ServiceBudgets{routing::RetryBudget(BudgetConfig(bounds, kRetryShare)),
                              routing::RetryBudget(BudgetConfig(bounds, kRepeatedRunShare))});
  const auto nodes = static_cast<double>(std::max<size_t>(1, context_.peers.live_nodes()));
  const double extra = bounds.retry_budget_extra / nodes;
  found->second.retries.set_floor(static_cast<uint32_t>(extra * kRetryShare));
  found->second.repeated_runs.set_floor(static_cast<uint32_t>(extra * kRepeatedRunShare));
  return found->second;
}

void Ingress::OnFirstAttempt(const std::string& service) {
  const Instant now = context_.loop.Now();
  ServiceBudgets& budgets = RetryBudgetsFor(service);
  budgets.retries.OnFirstAttempt(now);
  budgets.repeated_runs.OnFirstAttempt(now);
}

bool Ingress::TryConsumeRetry(const std::string& service, RetryKind kind) {
  const Instant now = context_.loop.Now();
  ServiceBudgets& budgets = RetryBudgetsFor(service);
  if (kind == RetryKind::kRepeatedRun && !budgets.repeated_runs.TryRetry(now)) return false;
  if (!budgets.retries.TryRetry(now)) return false;
  ++retries_;
  return true;
}

void Ingress::RemoveFlow(RequestFlow* flow) { flows_.erase(flow); }

}  // namespace runshelf::sidecar
