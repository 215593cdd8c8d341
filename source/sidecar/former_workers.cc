#include "source/sidecar/former_workers.h"

namespace runshelf::sidecar {

namespace {

// Bounds what messages with ever new ids can add.
constexpr size_t kMaxWorkers = 64;

}  // namespace

FormerWorkers::FirstHeartbeat& FormerWorkers::Insert(const std::string& worker_id) {
  if (const auto known = workers_.find(worker_id); known != workers_.end()) return known->second;
  std::erase(inserted_, worker_id);
  inserted_.push_back(worker_id);
  if (inserted_.size() > kMaxWorkers) {
    workers_.erase(inserted_.front());
    inserted_.pop_front();
  }
  return workers_[worker_id];
}

void FormerWorkers::OnPresentWorkerHeard() {
  for (auto& [worker_id, first] : workers_) first.heard_at = Instant{};
}

FormerWorkers::Finding FormerWorkers::OnHeartbeat(Instant now, const std::string& worker_id,
                                                  int64_t sequence, Duration heartbeat_interval) {
  FirstHeartbeat& first = Insert(worker_id);
  if (first.heard_at == Instant{}) first = {now, sequence};
  const bool alive = sequence > first.sequence && now - first.heard_at >= heartbeat_interval;
  if (!alive) return Finding::kLate;
  workers_.erase(worker_id);
  return Finding::kReturned;
}

}  // namespace runshelf::sidecar
