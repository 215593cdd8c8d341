// Workers of this machine other than the present one that were heard or replaced, to recognize
// their late messages.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "runshelf/common/clock.h"

namespace runshelf::sidecar {

// A message that a worker sent before it ended may arrive seconds late, after its successor was
// heard. But if the worker taken for the former one is heard twice, a heartbeat interval apart, and
// the supposed successor not at all in between, then it was the latter's message that came late.
// Deterministic; not thread-safe.
class FormerWorkers {
 public:
  // What a message from a worker shows.
  enum class Finding {
    kLate,      // The worker has been replaced; its message is late.
    kReturned,  // The worker is the present one, and is no former one any more.
  };

  void Add(const std::string& worker_id) { Insert(worker_id) = {}; }
  void Remove(const std::string& worker_id) { workers_.erase(worker_id); }
  bool Contains(const std::string& worker_id) const { return workers_.contains(worker_id); }
  // The present worker was heard.
  void OnPresentWorkerHeard();
  // A worker that counts as former, and is added if it was not known, sent a heartbeat with this
  // sequence number.
  Finding OnHeartbeat(Instant now, const std::string& worker_id, int64_t sequence,
                      Duration heartbeat_interval);

 private:
  // The first heartbeat since the present worker was last heard.
  struct FirstHeartbeat {
    Instant heard_at{};  // Instant{}: there was none.
    int64_t sequence = 0;
  };
  FirstHeartbeat& Insert(const std::string& worker_id);

  std::map<std::string, FirstHeartbeat> workers_;
  std::deque<std::string> inserted_;  // Ids in the order in which they were inserted.
};

}  // namespace runshelf::sidecar
