// Counters and latencies of one node in the usual text format (prometheus-cpp underneath).
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/routing/target_load.h"
#include "source/http/client.h"
#include "source/sidecar/freshness_tracker.h"
#include "source/sidecar/request_counts.h"
#include "source/store/store_operations.h"

namespace prometheus {
class Registry;
}

namespace runshelf::sidecar {

// How the node answered a client.
enum class RequestOutcome {
  kServed,   // The answer of a worker, whatever its status.
  kRefused,  // Certainly not run.
  kFailed,   // 502, 504, or an answer that broke off.
  kUnknownRoute,
  kCancelled,  // The client left first.
};

// What is true at the moment of asking.
struct NodeGauges {
  routing::TargetLoad load;           // Of the worker beside the node.
  int64_t configuration_version = 0;  // Zero: none is known.
  store::Revision shard_map_revision = 0;
  bool store_reachable = false;
  store::StoreEra store_era = 0;
  bool ready = false;
  size_t live_nodes = 0;
  bool stopping = false;
  RequestCounts requests_under_way;
  uint64_t store_calls = 0;
  uint64_t connections_opened = 0;
  uint64_t grants_sent = 0;
  uint64_t unstamped_successes = 0;
  uint64_t retries = 0;
  size_t quarantined_requests = 0;  // Under which workers ended.
  uint64_t quarantine_refusals = 0;
  uint64_t quarantine_trials = 0;
  uint64_t log_lines_dropped = 0;
  std::map<std::string, Freshness> freshness;  // Of the parts of the state, by prefix.
  Duration since_peer_beacon{0};               // Since the latest beacon of another node.
};

class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  // `age`: from the arrival of the request to its final answer.
  void OnRequest(RequestOutcome outcome, Duration age);
  // `turn`: time for which the event loop was at work between two waits.
  void OnLoopTurn(Duration turn);
  void OnUnexpectedAnswer(http::UnexpectedAnswer::Kind kind);
  // A transfer of a part of the state that this node began has ended.
  void OnStateTransfer(bool succeeded, size_t bytes, Duration took);
  std::string Serialize(const NodeGauges& gauges) const;

 private:
  struct Families;
  std::unique_ptr<prometheus::Registry> registry_;
  std::unique_ptr<Families> families_;
};

}  // namespace runshelf::sidecar
