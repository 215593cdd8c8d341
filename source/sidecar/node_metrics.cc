#include "source/sidecar/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <utility>

namespace runshelf::sidecar {
namespace {

constexpr std::array<http::UnexpectedAnswer::Kind, 3> kUnexpectedAnswerKinds{
    http::UnexpectedAnswer::Kind::kSkipped, http::UnexpectedAnswer::Kind::kTrailing,
    http::UnexpectedAnswer::Kind::kIdle};
constexpr std::array<const char*, 5> kOutcomeNames{"served", "refused", "failed", "unknown_route",
                                                   "cancelled"};

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets{
      0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10};
  return buckets;
}

}  // namespace

struct NodeMetrics::Families {
  std::array<prometheus::Histogram*, kOutcomeNames.size()> latencies{};
  prometheus::Histogram* loop_turns;
  prometheus::Histogram* transfers_succeeded;
  prometheus::Histogram* transfers_failed;
  prometheus::Counter* transfer_bytes;
  std::array<prometheus::Counter*, kUnexpectedAnswerKinds.size()> unexpected_answers{};

  explicit Families(prometheus::Registry* registry) {
    auto& latency = prometheus::BuildHistogram()
                        .Name("runshelf_request_duration_seconds")
                        .Help("Time from the arrival of a client's request to its final response.")
                        .Register(*registry);
    for (size_t index = 0; index < kOutcomeNames.size(); ++index) {
      latencies[index] = &latency.Add({{"outcome", kOutcomeNames[index]}}, LatencyBuckets());
    }
    loop_turns = &prometheus::BuildHistogram()
                      .Name("runshelf_loop_turn_seconds")
                      .Help("Time that one event loop iteration took between two waits.")
                      .Register(*registry)
                      .Add({}, LatencyBuckets());
    auto& transfers = prometheus::BuildHistogram()
                          .Name("runshelf_state_transfer_seconds")
                          .Help("Duration of state transfers started by this node.")
                          .Register(*registry);
    transfers_succeeded = &transfers.Add({{"outcome", "succeeded"}}, LatencyBuckets());
    transfers_failed = &transfers.Add({{"outcome", "failed"}}, LatencyBuckets());
    transfer_bytes = &prometheus::BuildCounter()
                          .Name("runshelf_state_transfer_bytes_total")
                          .Help("Bytes transferred in state transfers started by this node.")
                          .Register(*registry)
                          .Add({});
    auto& unexpected = prometheus::BuildCounter()
                           .Name("runshelf_unexpected_answers_total")
                           .Help("Responses that match no pending request; all were discarded.")
                           .Register(*registry);
    for (const http::UnexpectedAnswer::Kind kind : kUnexpectedAnswerKinds) {
      unexpected_answers[static_cast<size_t>(kind)] =
          &unexpected.Add({{"kind", std::string(http::NameOf(kind))}});
    }
  }
};

NodeMetrics::NodeMetrics()
    : registry_(std::make_unique<prometheus::Registry>()),
      families_(std::make_unique<Families>(registry_.get())) {}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::OnRequest(RequestOutcome outcome, Duration age) {
  families_->latencies[static_cast<size_t>(outcome)]->Observe(
      std::chrono::duration<double>(age).count());
}

void NodeMetrics::OnLoopTurn(Duration turn) {
  families_->loop_turns->Observe(std::chrono::duration<double>(turn).count());
}

void NodeMetrics::OnUnexpectedAnswer(http::UnexpectedAnswer::Kind kind) {
  families_->unexpected_answers[static_cast<size_t>(kind)]->Increment();
}

void NodeMetrics::OnStateTransfer(bool succeeded, size_t bytes, Duration took) {
  prometheus::Histogram* transfers =
      succeeded ? families_->transfers_succeeded : families_->transfers_failed;
  transfers->Observe(std::chrono::duration<double>(took).count());
  families_->transfer_bytes->Increment(static_cast<double>(bytes));
}

std::string NodeMetrics::Serialize(const NodeGauges& gauges) const {
  prometheus::Registry now;
  const auto gauge = [&](const char* name, const char* help, double value) {
    prometheus::BuildGauge().Name(name).Help(help).Register(now).Add({}).Set(value);
  };
  const auto counter = [&](const char* name, const char* help, uint64_t value) {
    prometheus::BuildCounter().Name(name).Help(help).Register(now).Add({}).Increment(
        static_cast<double>(value));
  };
  gauge("runshelf_worker_running", "Requests that the worker is executing.", gauges.load.running);
  gauge("runshelf_worker_queued", "Requests waiting for a slot of the worker.", gauges.load.queued);
  gauge("runshelf_worker_slots",
        "Maximum number of requests that the worker executes concurrently.", gauges.load.slots);
  gauge("runshelf_requests_under_way", "Requests of clients without a final response.",
        static_cast<double>(gauges.requests_under_way.clients));
  gauge("runshelf_nested_calls_under_way",
        "Calls made by the node's worker while executing requests, without a final response.",
        static_cast<double>(gauges.requests_under_way.nested));
  gauge("runshelf_forwarded_requests_under_way",
        "Requests forwarded here by other nodes, without a final response.",
        static_cast<double>(gauges.requests_under_way.forwarded));
  gauge("runshelf_unsent_answer_bytes",
        "Bytes of answers to clients and other nodes that these have not read yet.",
        static_cast<double>(gauges.unsent_answers.bytes));
  gauge("runshelf_request_memory_bytes", "Memory of the requests that the process keeps.",
        static_cast<double>(gauges.request_memory));
  gauge("runshelf_request_memory_limit_bytes", "Memory that requests may take together.",
        static_cast<double>(gauges.request_memory_limit));
  counter("runshelf_overload_requests_refused_total",
          "Requests refused since they did not fit into the memory for requests.",
          gauges.overload.requests_refused);
  counter("runshelf_overload_requests_dropped_total",
          "Incomplete requests without progress that were refused to make room for others.",
          gauges.overload.requests_dropped);
  gauge("runshelf_accepted_connections", "Open connections of clients and other nodes.",
        static_cast<double>(gauges.accepted_connections));
  counter("runshelf_overload_connections_closed_total",
          "Accepted connections closed to make room for others.",
          gauges.overload.connections_closed);
  gauge("runshelf_paced_answers", "Large answers to other nodes that wait for the link.",
        static_cast<double>(gauges.paced_answers.answers));
  gauge("runshelf_paced_answer_bytes", "Bytes of large answers that wait for the link.",
        static_cast<double>(gauges.paced_answers.bytes));
  gauge("runshelf_paced_answer_longest_wait_seconds",
        "Longest time for which a waiting large answer has not been written.",
        std::chrono::duration<double>(gauges.paced_answers.longest_wait).count());
  gauge("runshelf_configuration_version",
        "Version of the configuration in force; zero: none is known.",
        static_cast<double>(gauges.configuration_version));
  gauge("runshelf_shard_map_revision", "Revision of the shard map of the worker's service.",
        static_cast<double>(gauges.shard_map_revision));
  gauge("runshelf_keys_in_demand",
        "Keys whose demand exceeds what an owner completes; zero on nodes that do not plan.",
        static_cast<double>(gauges.keys_in_demand));
  gauge("runshelf_store_reachable", "Whether the store is reachable.",
        gauges.store_reachable ? 1 : 0);
  gauge("runshelf_store_era", "Increases each time the store is restored from a backup.",
        static_cast<double>(gauges.store_era));
  gauge("runshelf_worker_limited", "Whether the worker states a limit of requests per second.",
        gauges.worker_limit.has_value() ? 1 : 0);
  gauge("runshelf_worker_limit", "Requests per second that the worker accepts; 0 if unlimited.",
        gauges.worker_limit.value_or(0));
  gauge("runshelf_worker_refused_percent",
        "Percentage of requests that the worker refuses although it has free slots.",
        gauges.load.refused_percent);
  gauge("runshelf_worker_cold", "Whether the worker is warming up after its start.",
        gauges.load.cold ? 1 : 0);
  gauge("runshelf_evacuated_zones", "Zones whose workers get no requests.",
        static_cast<double>(gauges.evacuated_zones));
  gauge("runshelf_zone_evacuated", "Whether the zone of this node is evacuated.",
        gauges.zone_evacuated ? 1 : 0);
  gauge("runshelf_ready", "Whether the node accepts new clients.", gauges.ready ? 1 : 0);
  gauge("runshelf_service_needs_restart",
        "Whether the settings name another service, whose keys this process cannot manage.",
        gauges.service_needs_restart ? 1 : 0);
  gauge("runshelf_stopping", "Whether the node is shutting down.", gauges.stopping ? 1 : 0);
  gauge("runshelf_live_nodes", "Live nodes of the fleet known to this node.",
        static_cast<double>(gauges.live_nodes));
  gauge("runshelf_quarantined_requests",
        "Distinct requests in quarantine because workers ended while executing them.",
        static_cast<double>(gauges.quarantined_requests));
  counter("runshelf_quarantine_refusals_total", "Requests refused because they are in quarantine.",
          gauges.quarantine_refusals);
  counter("runshelf_pipelined_requests_total",
          "Requests that began before the answer to an earlier one on their connection.",
          gauges.overlaps.requests);
  counter("runshelf_held_answers_total",
          "Complete answers that waited for an earlier one on their connection.",
          gauges.overlaps.held_answers);
  counter("runshelf_held_answer_milliseconds_total",
          "Sum of the times for which complete answers waited for an earlier one.",
          static_cast<uint64_t>(ToMilliseconds(gauges.overlaps.held_time)));
  counter("runshelf_standstills_total",
          "Times that the process did not run for so long that its configuration was checked.",
          gauges.standstills);
  counter("runshelf_quarantine_trials_total",
          "Quarantined requests that were sent to a worker as a trial.", gauges.quarantine_trials);
  counter("runshelf_store_calls_total", "Calls to the store, including those forwarded for peers.",
          gauges.store_calls);
  counter("runshelf_connections_opened_total",
          "Connections opened to workers, nodes and the store.", gauges.connections_opened);
  counter("runshelf_grants_sent_total", "Grants of keys sent to the worker, renewals included.",
          gauges.grants_sent);
  counter("runshelf_unstamped_successes_total",
          "Successful responses of the node's worker without its stamp.",
          gauges.unstamped_successes);
  counter("runshelf_retries_total", "Requests sent again after a failed attempt.", gauges.retries);
  counter("runshelf_log_lines_dropped_total",
          "Log lines dropped because the log's reader was too slow.", gauges.log_lines_dropped);
  gauge("runshelf_state_silence_seconds", "Time since the latest beacon of another node.",
        std::chrono::duration<double>(gauges.since_peer_beacon).count());
  auto& behind = prometheus::BuildGauge()
                     .Name("runshelf_state_behind_seconds")
                     .Help("How long changes announced by other nodes have been missing here.")
                     .Register(now);
  auto& known = prometheus::BuildGauge()
                    .Name("runshelf_state_revision")
                    .Help("Revision up to which the local copy of the prefix is complete.")
                    .Register(now);
  auto& announced = prometheus::BuildGauge()
                        .Name("runshelf_state_announced_revision")
                        .Help("Highest revision that another node announced.")
                        .Register(now);
  auto& stale_items = prometheus::BuildCounter()
                          .Name("runshelf_state_stale_items_total")
                          .Help("Items dropped because the copy has a higher revision of them.")
                          .Register(now);
  auto& lost_histories = prometheus::BuildCounter()
                             .Name("runshelf_state_lost_histories_total")
                             .Help("Watches refused because the store no longer has the history.")
                             .Register(now);
  auto& store_calls = prometheus::BuildCounter()
                          .Name("runshelf_store_calls_by_cause_total")
                          .Help("Calls to the store by operation and subject.")
                          .Register(now);
  auto& store_conflicts = prometheus::BuildCounter()
                              .Name("runshelf_store_conflicts_total")
                              .Help("Writes refused by the store since a condition failed.")
                              .Register(now);
  for (const auto& [cause, calls] : gauges.store_calls_by_cause) {
    const std::string operation(cause.operation);
    store_calls.Add({{"operation", operation}, {"subject", cause.subject}})
        .Increment(static_cast<double>(calls.sent));
    if (operation != "write") continue;
    store_conflicts.Add({{"subject", cause.subject}})
        .Increment(static_cast<double>(calls.conflicts));
  }
  for (const auto& [prefix, freshness] : gauges.freshness) {
    behind.Add({{"prefix", prefix}})
        .Set(std::chrono::duration<double>(freshness.behind_for).count());
    known.Add({{"prefix", prefix}}).Set(static_cast<double>(freshness.known));
    announced.Add({{"prefix", prefix}}).Set(static_cast<double>(freshness.announced));
    stale_items.Add({{"prefix", prefix}}).Increment(static_cast<double>(freshness.stale_items));
    lost_histories.Add({{"prefix", prefix}})
        .Increment(static_cast<double>(freshness.lost_histories));
  }
  // Gauges and counters come first, so that a reader that truncates a long text still gets them.
  auto collected = now.Collect();
  for (auto& family : registry_->Collect()) collected.push_back(std::move(family));
  return prometheus::TextSerializer().Serialize(collected);
}

}  // namespace runshelf::sidecar
