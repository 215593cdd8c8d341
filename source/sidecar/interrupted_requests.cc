#include "source/sidecar/interrupted_requests.h"

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

// A worker runs some dozens at once; callers that leave add some.
constexpr size_t kMaxRemembered = 256;
// The end of a worker shows within milliseconds when nothing listens at its address any more, and
// with the next one's first heartbeat, about a second later, when that comes at once.
constexpr Duration kMaxAge = std::chrono::seconds(4);
// The operating system closes all connections of a process at once; this node reads that one by
// one, and late when it is short of processor time. A caller may have left that long before.
constexpr Duration kSameEnd = std::chrono::milliseconds(300);

}  // namespace

void InterruptedRequests::Add(InterruptedRequest request) {
  if (requests_.size() >= kMaxRemembered) requests_.pop_front();
  requests_.push_back(std::move(request));
}

std::vector<InterruptedRequest> InterruptedRequests::TakeAtWork(Instant now,
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
  const Instant since = of_worker.back().interrupted_at - kSameEnd;
  std::erase_if(of_worker, [since](const InterruptedRequest& request) {
    return request.interrupted_at < since;
  });
  // What was sent after the first connection broke went to a worker that was gone already.
  const Instant ended_by = of_worker.front().interrupted_at;
  std::erase_if(of_worker, [ended_by](const InterruptedRequest& request) {
    return request.sent_at > ended_by;
  });
  return of_worker;
}

}  // namespace runshelf::sidecar
