#include "tests/platform_adapter/crashing_workers.h"

#include <algorithm>
#include <utility>

namespace runshelf::platform_adapter {
namespace {

// Start time of the first worker processes, in milliseconds since the Unix epoch.
constexpr int64_t kFirstStartTimeMs = 1700000000000;
constexpr int kSlots = 16;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(100);

bool IsFatal(const http::ExchangePtr& exchange) {
  return exchange->request().head.target.find("fatal") != std::string::npos;
}

}  // namespace

CrashingWorkers::CrashingWorkers(Fleet& fleet)
    : fleet_(fleet), born_(fleet.nodes.size(), kFirstStartTimeMs) {
  for (size_t node = 0; node < fleet_.nodes.size(); ++node) {
    ports_.push_back(fleet_.nodes[node].worker->endpoint().port);
    Attach(node);
  }
}

void CrashingWorkers::Attach(size_t node) {
  if (fleet_.nodes[node].settings.worker_service == "other") return;
  FakeWorker* worker = fleet_.nodes[node].worker.get();
  worker->set_born(born_[node]);
  worker->set_slots(kSlots);
  worker->set_behaviour([this, node, worker](const http::ExchangePtr& exchange) {
    const std::string& target = exchange->request().head.target;
    begun_[target].push_back(fleet_.loop.Now());
    last_node_[target] = node;
    if (IsFatal(exchange)) {
      const bool beside_another = !crashing_nodes_.insert(node).second;
      if (beside_another && ends_ == 0) ++beside_first_[target];
      Later(run_time_, [this, node] { End(node); });
      return;
    }
    Later(run_time_, [worker, exchange] { AnswerRun(exchange, 200); });
  });
}

void CrashingWorkers::End(size_t node) {
  if (fleet_.nodes[node].worker == nullptr) return;
  ++ends_;
  crashing_nodes_.erase(node);
  fleet_.nodes[node].worker.reset();
  Later(down_, [this, node] { StartNext(node); });
}

void CrashingWorkers::StartNext(size_t node) {
  Fleet::Node& place = fleet_.nodes[node];
  born_[node] += 1000;
  place.worker = std::make_unique<FakeWorker>(fleet_.loop, "w" + std::to_string(node),
                                              place.settings.worker_service);
  place.worker->set_sharded(place.settings.worker_service == "keyed");
  place.worker->set_keys_in_heartbeats(place.settings.grant_delivery ==
                                       routes::GrantDelivery::kHeartbeats);
  Attach(node);
  place.worker->Listen(ports_[node]);
  place.worker->StartHeartbeats(*place.settings.control_plane, kHeartbeatInterval);
}

void CrashingWorkers::Later(Duration delay, std::function<void()> action) {
  std::erase_if(later_, [](const auto& timer) { return !timer->active(); });
  later_.push_back(std::make_unique<event::Timer>(fleet_.loop, std::move(action)));
  later_.back()->Start(delay);
}

size_t CrashingWorkers::BegunAfterThird(const std::string& target, Duration after) {
  const std::vector<Instant>& begun = begun_[target];
  if (begun.size() < 3) return 0;
  const Instant since = begun[2] + run_time_ + after;
  return static_cast<size_t>(
      std::count_if(begun.begin() + 3, begun.end(), [since](Instant at) { return at > since; }));
}

bool CrashingWorkers::AllUp() const {
  return std::all_of(fleet_.nodes.begin(), fleet_.nodes.end(),
                     [](const Fleet::Node& node) { return node.worker != nullptr; });
}

RepeatingCaller::RepeatingCaller(Fleet& fleet, std::vector<size_t> nodes, Message message,
                                 Duration interval)
    : fleet_(fleet),
      nodes_(std::move(nodes)),
      message_(std::move(message)),
      timer_(fleet.loop, [this] { Send(); }) {
  timer_.Start(interval, /*repeating=*/true);
}

void RepeatingCaller::Send() {
  const size_t node = nodes_[requests_.size() % nodes_.size()];
  requests_.push_back(
      fleet_.Begin(node, message_.method, message_.target, message_.body, message_.headers));
}

void RepeatingCaller::Finish() {
  timer_.Stop();
  event::RunUntil(fleet_.loop, [this] {
    return std::all_of(requests_.begin(), requests_.end(),
                       [](const auto& request) { return request->over; });
  });
}

size_t RepeatingCaller::Count(int status) const {
  return static_cast<size_t>(
      std::count_if(requests_.begin(), requests_.end(), [status](const auto& request) {
        return (request->answer.has_value() ? request->answer->status : 0) == status;
      }));
}

}  // namespace runshelf::platform_adapter
