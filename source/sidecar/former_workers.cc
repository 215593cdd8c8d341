#include "source/sidecar/former_workers.h"

namespace runshelf::sidecar {

void FormerWorkers::OnPresentWorkerHeard() {
  for (auto& [worker_id, first] : workers_) first.heard_at = Instant{};
}

FormerWorkers::Finding FormerWorkers::OnHeartbeat(Instant now, const std::string& worker_id,
                                                  int64_t sequence, Duration heartbeat_interval) {
  FirstHeartbeat& first = workers_[worker_id];
  if (first.heard_at == Instant{}) first = {now, sequence};
  const bool alive = sequence > first.sequence && now - first.heard_at >= heartbeat_interval;
  if (!alive) return Finding::kLate;
  workers_.erase(worker_id);
  return Finding::kReturned;
}

}  // namespace runshelf::sidecar
