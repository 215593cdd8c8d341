// Serves the clients and the worker of this machine: finds the route and the worker, retries what
// may be retried, and always gives a final answer in time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

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

// Everything that requests need of the node around them. Outlives the ingress.
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

class Ingress {
 public:
  explicit Ingress(const IngressContext& context);
  ~Ingress();
  Ingress(const Ingress&) = delete;
  Ingress& operator=(const Ingress&) = delete;

  // The configuration in force; nullptr while none is known.
  void SetConfiguration(std::shared_ptr<const routes::RoutingConfiguration> configuration);
  // Tells whether a newer configuration is known to be in force elsewhere.
  void set_configuration_is_behind(std::function<bool()> is_behind) {
    configuration_is_behind_ = std::move(is_behind);
  }
  void Handle(const http::ExchangePtr& exchange);
  // The owner of some keys changed: requests that wait for one look again.
  void OnShardsChanged() { RetryWaiting(); }
  // The stop is closed: requests that wait for the owner of their key are refused.
  void RefuseWaiting() { RetryWaiting(); }

  // Requests that were sent once more.
  uint64_t retries() const { return retries_; }
  RequestCounts UnderWay() const;
  // Requests that were refused since the node stops.
  uint64_t refused_in_stop() const { return refused_in_stop_; }
  // Writes a line for each request under way: the process ends without its answer.
  void LogUnfinished() const;

 private:
  friend class RequestFlow;
  void RemoveFlow(RequestFlow* flow);
  // A stopping node takes new requests until clients have learnt of the stop, and then only calls
  // of the worker's runs, which need them to end, while they are certainly over before the node
  // ends.
  bool Accepts(bool nested, Instant deadline) const;
  // This node cannot tell whether the request has a route.
  void RefuseUnconfigured(const http::ExchangePtr& exchange, const char* reason);
  void AnswerUnknownRoute(const http::ExchangePtr& exchange, const std::string& host,
                          std::string_view path);
  void RetryWaiting();
  // The worker beside this node sent the request while it runs another one.
  bool IsNestedCall(const http::RequestHead& head) const;
  // Of one service; the floors follow the number of live nodes that share them.
  struct ServiceBudgets {
    routing::RetryBudget retries;        // All attempts beyond the first.
    routing::RetryBudget repeated_runs;  // Those of requests that may have run before.
  };
  enum class RetryKind {
    kAfterRefusal,  // The request certainly has not run.
    kRepeatedRun,
  };
  ServiceBudgets& RetryBudgetsFor(const std::string& service);
  void OnFirstAttempt(const std::string& service);
  // The caller has much less time than callers of the route usually have.
  bool IsShortDeadline(const std::string& route, Duration deadline) {
    return deadline_estimators_[route].IsShort(deadline);
  }
  // False: the request must not be sent to another worker.
  bool TryConsumeRetry(const std::string& service, RetryKind kind);

  IngressContext context_;
  std::shared_ptr<const routes::RoutingConfiguration> configuration_;
  std::function<bool()> configuration_is_behind_;
  std::map<std::string, ServiceBudgets> budgets_;
  std::map<std::string, DeadlineEstimator> deadline_estimators_;  // By route.
  // Requests that run alone and are under way.
  uint64_t retries_ = 0;
  uint64_t refused_in_stop_ = 0;
  std::unordered_map<RequestFlow*, std::shared_ptr<RequestFlow>> flows_;
};

}  // namespace runshelf::sidecar
