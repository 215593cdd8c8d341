// Counters, gauges and latency histograms of one node in the Prometheus text format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/routing/target_load.h"
#include "source/http/client.h"
#include "source/http/server.h"
#include "source/sidecar/answer_pacer.h"
#include "source/sidecar/freshness_tracker.h"
#include "source/sidecar/request_counts.h"
#include "source/store/store_client.h"
#include "source/store/store_operations.h"

namespace prometheus {
class Registry;
}

namespace runshelf::sidecar {

// Outcome of a client's request.
enum class RequestOutcome {
  kServed,   // Answered by a worker, with any status.
  kRefused,  // Refused; guaranteed not to have been executed.
  kFailed,   // Status 502 or 504, or an incomplete response.
  kUnknownRoute,
  kCancelled,  // The client disconnected first.
};

// Values sampled when the metrics are requested.
struct NodeGauges {
  routing::TargetLoad load;            // Load of the node's worker.
  std::optional<double> worker_limit;  // Requests per second that the worker states.
  int64_t configuration_version = 0;   // Zero: no configuration is known.
  store::Revision shard_map_revision = 0;
  size_t keys_in_demand = 0;  // Zero on nodes that do not plan the shard map.
  bool store_reachable = false;
  store::StoreEra store_era = 0;
  bool ready = false;
  size_t evacuated_zones = 0;   // In the whole fleet.
  bool zone_evacuated = false;  // The node's own zone.
  // The settings name a service with keys since this process started.
  bool service_needs_restart = false;
  size_t live_nodes = 0;
  bool stopping = false;
  RequestCounts requests_under_way;
  PacerBacklog paced_answers;
  http::UnsentAnswers unsent_answers;  // To clients and to other nodes.
  size_t request_memory = 0;           // Bytes of requests, complete or not.
  size_t request_memory_limit = 0;
  size_t accepted_connections = 0;
  http::OverloadCounts overload;
  uint64_t store_calls = 0;
  std::map<store::StoreCallCause, store::StoreCallsOfCause> store_calls_by_cause;
  uint64_t connections_opened = 0;
  uint64_t grants_sent = 0;
  uint64_t unstamped_successes = 0;
  uint64_t retries = 0;
  size_t quarantined_requests = 0;  // Requests during whose execution workers ended.
  uint64_t quarantine_refusals = 0;
  uint64_t standstills = 0;
  http::OverlapCounts overlaps;  // Of the clients' requests.
  uint64_t quarantine_trials = 0;
  uint64_t log_lines_dropped = 0;
  std::map<std::string, Freshness> freshness;  // Freshness of the local state by key prefix.
  Duration since_peer_beacon{0};               // Time since the latest beacon of another node.
};

// Collects the metrics of one node and serializes them together with sampled gauges.
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  // `age`: time from the arrival of the request to its final response.
  void OnRequest(RequestOutcome outcome, Duration age);
  // `turn`: time that one event loop iteration took between two waits.
  void OnLoopTurn(Duration turn);
  void OnUnexpectedAnswer(http::UnexpectedAnswer::Kind kind);
  // To be called when a state transfer started by this node has ended.
  void OnStateTransfer(bool succeeded, size_t bytes, Duration took);
  // Returns all metrics in the Prometheus text format.
  std::string Serialize(const NodeGauges& gauges) const;

 private:
  struct Families;
  std::unique_ptr<prometheus::Registry> registry_;
  std::unique_ptr<Families> families_;
};

}  // namespace runshelf::sidecar
