#include "source/sidecar/ingress.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "source/sidecar/request_flow.h"

namespace runshelf::sidecar {
namespace {

constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr const char* kRetryAfterWithoutConfiguration = "0.3";
// Retries of this node stay below its part of what the fleet allows: others may be counted twice.
constexpr double kBudgetShare = 0.75;

routing::RetryBudgetConfig BudgetConfig(const FleetBounds& bounds) {
  routing::RetryBudgetConfig config;
  config.fraction = bounds.retry_budget_ratio * kBudgetShare;
  config.window = bounds.retry_budget_window;
  config.floor = 0;
  return config;
}

}  // namespace

Ingress::Ingress(const IngressContext& context) : context_(context) {}

Ingress::~Ingress() = default;

void Ingress::SetConfiguration(std::shared_ptr<const routes::RoutingConfiguration> configuration) {
  configuration_ = std::move(configuration);
}

void Ingress::Handle(const http::ExchangePtr& exchange) {
  if (configuration_ == nullptr) {
    http::Headers headers;
    headers.Add(context_.wire.headers().retry_after, kRetryAfterWithoutConfiguration);
    exchange->Respond(kServiceUnavailable, headers, "");
    context_.metrics.OnRequest(RequestOutcome::kRefused, Duration(0));
    return;
  }
  const http::RequestHead& head = exchange->request().head;
  const std::string* host = head.headers.Find("host");
  const std::string_view path = std::string_view(head.target).substr(0, head.target.find('?'));
  const routes::Route* route = host == nullptr ? nullptr : configuration_->Match(*host, path);
  if (route == nullptr) {
    context_.metrics.OnRequest(RequestOutcome::kUnknownRoute, Duration(0));
    context_.log.Write(LogLevel::kInfo, "route_unknown",
                       {{"host", host == nullptr ? std::string() : *host},
                        {"path", std::string(path)},
                        {"configuration", configuration_->version()}});
    exchange->Respond(kNotFound, {}, "");
    return;
  }
  auto flow = std::make_shared<RequestFlow>(this, exchange, *route);
  flows_[flow.get()] = flow;
  flow->Begin();
}

void Ingress::OnShardsChanged() {
  std::vector<std::shared_ptr<RequestFlow>> waiting;
  for (const auto& [pointer, flow] : flows_) {
    if (flow->waiting_for_owner()) waiting.push_back(flow);
  }
  for (const auto& flow : waiting) flow->OnShardsChanged();
}

routing::RetryBudget& Ingress::RetryBudgetOf(const std::string& service) {
  const FleetBounds& bounds = context_.settings.bounds;
  const auto [found, added] = retry_budgets_.try_emplace(service, BudgetConfig(bounds));
  const auto nodes = static_cast<double>(std::max<size_t>(1, context_.peers.live_nodes()));
  found->second.set_floor(static_cast<uint32_t>(bounds.retry_budget_extra * kBudgetShare / nodes));
  return found->second;
}

void Ingress::Forget(RequestFlow* flow) { flows_.erase(flow); }

}  // namespace runshelf::sidecar
