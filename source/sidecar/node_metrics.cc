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
                        .Help("From the arrival of a client's request to its final answer.")
                        .Register(*registry);
    for (size_t index = 0; index < kOutcomeNames.size(); ++index) {
      latencies[index] = &latency.Add({{"outcome", kOutcomeNames[index]}}, LatencyBuckets());
    }
    loop_turns = &prometheus::BuildHistogram()
                      .Name("runshelf_loop_turn_seconds")
                      .Help("Time for which the event loop was at work between two waits.")
                      .Register(*registry)
                      .Add({}, LatencyBuckets());
    auto& transfers = prometheus::BuildHistogram()
                          .Name("runshelf_state_transfer_seconds")
                          .Help("Duration of transfers of the state that this node began.")
                          .Register(*registry);
    transfers_succeeded = &transfers.Add({{"outcome", "succeeded"}}, LatencyBuckets());
    transfers_failed = &transfers.Add({{"outcome", "failed"}}, LatencyBuckets());
    transfer_bytes = &prometheus::BuildCounter()
                          .Name("runshelf_state_transfer_bytes_total")
                          .Help("Bytes of the state in transfers that this node began.")
                          .Register(*registry)
                          .Add({});
    auto& unexpected = prometheus::BuildCounter()
                           .Name("runshelf_unexpected_answers_total")
                           .Help("Answers that belong to no request under way; none was passed on.")
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
  gauge("runshelf_worker_running", "Requests in the slots of the worker.", gauges.load.running);
  gauge("runshelf_worker_queued", "Requests that wait for a slot.", gauges.load.queued);
  gauge("runshelf_worker_slots", "Requests that the worker runs at once.", gauges.load.slots);
  gauge("runshelf_requests_under_way", "Requests of clients without a final answer.",
        static_cast<double>(gauges.requests_under_way.clients));
  gauge("runshelf_nested_calls_under_way",
        "Calls of the worker beside the node, during its runs, without a final answer.",
        static_cast<double>(gauges.requests_under_way.nested));
  gauge("runshelf_forwarded_requests_under_way",
        "Requests that other nodes sent here, without a final answer.",
        static_cast<double>(gauges.requests_under_way.forwarded));
  gauge("runshelf_configuration_version", "Version in force; zero: none is known.",
        static_cast<double>(gauges.configuration_version));
  gauge("runshelf_shard_map_revision", "Revision of the shard map of the worker's service.",
        static_cast<double>(gauges.shard_map_revision));
  gauge("runshelf_store_reachable", "Whether the store answered lately.",
        gauges.store_reachable ? 1 : 0);
  gauge("runshelf_store_era", "Rises each time the store comes back from an older copy.",
        static_cast<double>(gauges.store_era));
  gauge("runshelf_ready", "Whether the node takes new clients.", gauges.ready ? 1 : 0);
  gauge("runshelf_stopping", "Whether the node was told to stop.", gauges.stopping ? 1 : 0);
  gauge("runshelf_live_nodes", "Nodes of the fleet that this one knows.",
        static_cast<double>(gauges.live_nodes));
  gauge("runshelf_quarantined_requests",
        "Different requests in quarantine: workers ended under them.",
        static_cast<double>(gauges.quarantined_requests));
  counter("runshelf_quarantine_refusals_total", "Requests refused since they are in quarantine.",
          gauges.quarantine_refusals);
  counter("runshelf_quarantine_trials_total", "Requests in quarantine that were sent to a worker.",
          gauges.quarantine_trials);
  counter("runshelf_store_calls_total", "Calls to the store, those passed on included.",
          gauges.store_calls);
  counter("runshelf_connections_opened_total",
          "Connections opened to workers, nodes and the store.", gauges.connections_opened);
  counter("runshelf_grants_sent_total", "Grants of keys sent to the worker, renewals included.",
          gauges.grants_sent);
  counter("runshelf_unstamped_successes_total",
          "Successes at the worker beside the node for which it does not vouch.",
          gauges.unstamped_successes);
  counter("runshelf_retries_total", "Requests sent once more.", gauges.retries);
  counter("runshelf_log_lines_dropped_total", "Log lines lost since nobody read them in time.",
          gauges.log_lines_dropped);
  gauge("runshelf_state_silence_seconds", "Since the latest beacon of another node.",
        std::chrono::duration<double>(gauges.since_peer_beacon).count());
  auto& behind = prometheus::BuildGauge()
                     .Name("runshelf_state_behind_seconds")
                     .Help("For how long others have announced changes that are missing here.")
                     .Register(now);
  auto& known = prometheus::BuildGauge()
                    .Name("runshelf_state_revision")
                    .Help("Up to which the copy of a part of the state is complete.")
                    .Register(now);
  auto& announced = prometheus::BuildGauge()
                        .Name("runshelf_state_announced_revision")
                        .Help("The newest that another node said to have.")
                        .Register(now);
  auto& stale_items = prometheus::BuildCounter()
                          .Name("runshelf_state_stale_items_total")
                          .Help("Items dropped since the copy has a higher revision of them.")
                          .Register(now);
  auto& lost_histories = prometheus::BuildCounter()
                             .Name("runshelf_state_lost_histories_total")
                             .Help("Watches that the store had no history for.")
                             .Register(now);
  for (const auto& [prefix, freshness] : gauges.freshness) {
    behind.Add({{"prefix", prefix}})
        .Set(std::chrono::duration<double>(freshness.behind_for).count());
    known.Add({{"prefix", prefix}}).Set(static_cast<double>(freshness.known));
    announced.Add({{"prefix", prefix}}).Set(static_cast<double>(freshness.announced));
    stale_items.Add({{"prefix", prefix}}).Increment(static_cast<double>(freshness.stale_items));
    lost_histories.Add({{"prefix", prefix}})
        .Increment(static_cast<double>(freshness.lost_histories));
  }
  // Single values first: a reader that takes only the beginning of a long text still has them.
  auto collected = now.Collect();
  for (auto& family : registry_->Collect()) collected.push_back(std::move(family));
  return prometheus::TextSerializer().Serialize(collected);
}

}  // namespace runshelf::sidecar
