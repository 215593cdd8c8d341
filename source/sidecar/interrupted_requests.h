// Determines which requests were in flight in a worker when its process terminated.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/sidecar/request_fingerprint.h"

namespace runshelf::sidecar {

// A request whose connection to the worker closed before the response was complete.
struct InterruptedRequest {
  RequestFingerprint fingerprint;
  std::string description;  // See DescribeRequest.
  std::string request_id;
  std::string worker_id;
  Instant sent_at;
  Instant interrupted_at;
  bool by_caller = false;  // The client disconnected; the worker may have continued for a moment.
};

// Keeps interrupted requests for a few seconds. A closed connection alone does not indicate a
// termination: a worker resets connections beyond its limit, and a client that disconnects closes
// its own. The requests on closed connections count as interrupted by a termination only once the
// worker is known to have terminated.
//
// Deterministic; not thread-safe.
class InterruptedRequests {
 public:
  void Add(InterruptedRequest request);
  // Returns the requests that were in flight when the worker terminated, and removes all requests
  // of that worker.
  std::vector<InterruptedRequest> TakeInFlight(Instant now, const std::string& worker_id);

 private:
  std::deque<InterruptedRequest> requests_;  // Ordered by `interrupted_at`.
  std::string ended_worker_;                 // The worker of the latest query.
  Instant ended_at_{};                       // When that worker terminated.
};

}  // namespace runshelf::sidecar
