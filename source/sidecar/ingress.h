// Serves requests of clients and of the local worker: matches the route and hands each request to
// a RequestFlow, which selects the worker, retries where allowed and responds by the deadline.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "runshelf/common/random.h"
#include "runshelf/routing/retry_budget.h"
#include "source/http/server.h"
#include "source/routes/routing_configuration.h"
#include "source/sidecar/deadline_estimator.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/node_metrics.h"
#include "source/sidecar/peer_directory.h"
#include "source/sidecar/request_counts.h"
#include "source/sidecar/request_quarantine.h"
#include "source/sidecar/settings.h"
#include "source/sidecar/shard_directory.h"
#include "source/sidecar/stop_schedule.h"
#include "source/sidecar/table_overrides.h"
#include "source/sidecar/wire_format.h"
#include "source/sidecar/worker_gate.h"

namespace runshelf::sidecar {

// The components of the node that requests use. All of them must outlive the ingress.
struct IngressContext {
  event::EventLoop& loop;
  http::ConnectionPool& pool;
  const WireFormat& wire;
  const Settings& settings;
  PeerDirectory& peers;
  ShardDirectory& shards;
  TableOverrides& table;
  RequestQuarantine& quarantine;
  WorkerGate& gate;
  LogWriter& log;
  NodeMetrics& metrics;
  Random& random;
  const StopSchedule& stop;
};

class RequestFlow;

// Owns the requests in progress and the retry budgets of the services. Used on the thread of the
// event loop only.
class Ingress {
 public:
  explicit Ingress(const IngressContext& context);
  ~Ingress();
  Ingress(const Ingress&) = delete;
  Ingress& operator=(const Ingress&) = delete;

  // Sets the active configuration. Until the first call, requests are refused with 503.
  void SetConfiguration(std::shared_ptr<const routes::RoutingConfiguration> configuration);
  // `is_behind` returns whether other nodes have announced a configuration that this node has not
  // received yet. While it returns true, requests that match no route get 503 instead of 404.
  void set_configuration_is_behind(std::function<bool()> is_behind) {
    configuration_is_behind_ = std::move(is_behind);
  }
  // `is_current` returns whether the configuration is known to be current. While it returns false,
  // requests wait for OnConfigurationCurrent(), for a moment at most.
  void set_configuration_is_current(std::function<bool()> is_current) {
    configuration_is_current_ = std::move(is_current);
  }
  // Handles the requests that wait for the configuration to be confirmed.
  void OnConfigurationCurrent();
  // Whether a request that a client has sent behind an unanswered one may begin at once: only if it
  // is known to be repeatable. Calls of the local worker may not.
  bool MayOverlap(const http::RequestHead& head) const;
  // Starts handling a request; responds with 404 if no route matches its host and path.
  void Handle(const http::ExchangePtr& exchange);
  // The shard map changed: requests that wait for the owner of their key repeat the lookup.
  void OnShardsChanged() { RetryWaiting(); }
  // Refuses all requests that wait. Call after StopSchedule::Close().
  void RefuseWaiting() {
    RefuseUnconfirmed();
    RetryWaiting();
  }

  // Number of retries sent since the start of the process.
  uint64_t retries() const { return retries_; }
  // Number of requests in progress.
  RequestCounts UnderWay() const;
  // Number of requests refused because the node is stopping.
  uint64_t refused_in_stop() const { return refused_in_stop_; }
  // Logs each request in progress. Call when the process exits without answering them.
  void LogUnfinished() const;

 private:
  friend class RequestFlow;
  void RemoveFlow(RequestFlow* flow);
  // Whether the request is accepted. A stopping node accepts new requests until clients have
  // detected the stop. After that it accepts only nested calls, which running requests need in
  // order to complete, and only those whose deadline passes before the node exits.
  bool Accepts(bool nested, Instant deadline) const;
  // Responds with 503, since this node cannot tell whether a route matches the request.
  void RefuseUnconfigured(const http::ExchangePtr& exchange, const char* reason);
  void AnswerUnknownRoute(const http::ExchangePtr& exchange, const std::string& host,
                          std::string_view path);
  void WaitForConfirmation(const http::ExchangePtr& exchange);
  void RefuseUnconfirmed();
  void RetryWaiting();
  // The route that matches the host and path of the request; nullptr if there is none.
  const routes::Route* RouteOf(const http::RequestHead& head) const;
  // True if the local worker sent the request while it runs another one.
  bool IsNestedCall(const http::RequestHead& head) const;
  // Retry budgets of one service. The floors are divided by the number of live nodes.
  struct ServiceBudgets {
    routing::RetryBudget retries;        // All attempts beyond the first.
    routing::RetryBudget repeated_runs;  // Retries of requests that may have run before.
  };
  enum class RetryKind {
    kAfterRefusal,  // The request has not run.
    kRepeatedRun,   // The request has run or may have run.
  };
  ServiceBudgets& RetryBudgetsFor(const std::string& service);
  void OnFirstAttempt(const std::string& service);
  // True if the deadline is much shorter than is usual for the route.
  bool IsShortDeadline(const std::string& route, Duration deadline) {
    return deadline_estimators_[route].IsShort(deadline);
  }
  // Takes a retry from the budgets of the service. Returns false if the request must not be sent
  // again.
  bool TryConsumeRetry(const std::string& service, RetryKind kind);

  IngressContext context_;
  std::shared_ptr<const routes::RoutingConfiguration> configuration_;
  std::function<bool()> configuration_is_behind_;
  std::function<bool()> configuration_is_current_;
  std::vector<http::ExchangePtr> unconfirmed_;  // Wait for the configuration to be confirmed.
  event::Timer confirmation_timer_;
  std::map<std::string, ServiceBudgets> budgets_;
  std::map<std::string, DeadlineEstimator> deadline_estimators_;  // By route.
  uint64_t retries_ = 0;
  uint64_t refused_in_stop_ = 0;
  std::unordered_map<RequestFlow*, std::shared_ptr<RequestFlow>> flows_;
};

}  // namespace runshelf::sidecar
