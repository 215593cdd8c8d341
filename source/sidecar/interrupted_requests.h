// Which requests were at work in a worker when its process ended.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/sidecar/request_fingerprint.h"

namespace runshelf::sidecar {

// A request whose connection to the worker went before its answer was whole.
struct InterruptedRequest {
  RequestFingerprint fingerprint;
  std::string description;  // See DescribeRequest.
  std::string request_id;
  std::string worker_id;
  Instant sent_at;
  Instant interrupted_at;
  bool by_caller = false;  // Its caller left; the worker may have worked on for a moment.
};

// Remembers interrupted requests for a short while. That a connection broke says little: a worker
// resets connections beyond its limit, and a caller that leaves closes its own. Only when the
// worker turns out to have ended do the requests on them count as having been at work under it.
// Deterministic; not thread-safe.
class InterruptedRequests {
 public:
  void Add(InterruptedRequest request);
  // The worker has ended: those of its requests that were at work then; forgets all of them.
  std::vector<InterruptedRequest> TakeInFlight(Instant now, const std::string& worker_id);

 private:
  std::deque<InterruptedRequest> requests_;  // By `interrupted_at`.
  std::string ended_worker_;                 // That was asked for last,
  Instant ended_at_{};                       // and when it had ended.
};

}  // namespace runshelf::sidecar
