#include "source/sidecar/interrupted_requests.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace runshelf::sidecar {
namespace {

// A worker runs a few dozen requests at once; requests of disconnected clients add some more.
constexpr size_t kMaxInterrupted = 256;
// A termination is detected within milliseconds if nothing listens at the worker's address any
// more, or with the first heartbeat of a replacement that starts at once, about a second later.
constexpr Duration kMaxAge = std::chrono::seconds(4);
// The operating system closes all connections of a process at once. This node reads the closes one
// by one, with delay when it is short of CPU time. A client may have disconnected that long before.
constexpr Duration kMaxCloseSpread = std::chrono::milliseconds(300);
// The longest gap between two closes of the same termination as they are read. A connection that
// closed longer before the others was reset for another reason, and does not indicate when the
// worker terminated.
constexpr Duration kMaxCloseGap = std::chrono::milliseconds(20);

// Returns when the first connection closed by the termination was read; nullopt if no request was
// on any.
std::optional<Instant> EstimateEnd(const std::vector<InterruptedRequest>& requests) {
  std::optional<Instant> end;
  for (auto request = requests.rbegin(); request != requests.rend(); ++request) {
    if (request->by_caller) continue;
    if (end.has_value() && *end - request->interrupted_at > kMaxCloseGap) break;
    end = request->interrupted_at;
  }
  return end;
}

}  // namespace

void InterruptedRequests::Add(InterruptedRequest request) {
  if (requests_.size() >= kMaxInterrupted) requests_.pop_front();
  requests_.push_back(std::move(request));
}

std::vector<InterruptedRequest> InterruptedRequests::TakeInFlight(Instant now,
                                                                  const std::string& worker_id) {
  std::erase_if(requests_, [now](const InterruptedRequest& request) {
    return now - request.interrupted_at > kMaxAge;
  });
  std::vector<InterruptedRequest> of_worker;
  std::erase_if(requests_, [&](InterruptedRequest& request) {
    if (request.worker_id != worker_id) return false;
    of_worker.push_back(std::move(request));
    return true;
  });
  if (of_worker.empty()) return of_worker;
  if (worker_id != ended_worker_) {
    ended_worker_ = worker_id;
    ended_at_ = EstimateEnd(of_worker).value_or(now);
  }
  std::erase_if(of_worker, [this](const InterruptedRequest& request) {
    // Requests sent later went to a worker that had already terminated.
    return request.interrupted_at < ended_at_ - kMaxCloseSpread || request.sent_at > ended_at_;
  });
  return of_worker;
}

}  // namespace runshelf::sidecar
