#include "source/sidecar/interrupted_requests.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace runshelf::sidecar {
namespace {

// A worker runs some dozens at once; callers that leave add some.
constexpr size_t kMaxInterrupted = 256;
// The end of a worker shows within milliseconds when nothing listens at its address any more, and
// with the next one's first heartbeat, about a second later, when that comes at once.
constexpr Duration kMaxAge = std::chrono::seconds(4);
// The operating system closes all connections of a process at once; this node reads that one by
// one, and late when it is short of processor time. A caller may have left that long before.
constexpr Duration kMaxCloseSpread = std::chrono::milliseconds(300);
// Between two of the connections that one end closes, as they are read. A connection that broke
// longer before the others was reset for another reason, and says nothing of when the end was.
constexpr Duration kMaxCloseGap = std::chrono::milliseconds(20);

// When the first of the connections that the end closed broke; nullopt: no request was on any.
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
    // What was sent later went to a worker that was gone already.
    return request.interrupted_at < ended_at_ - kMaxCloseSpread || request.sent_at > ended_at_;
  });
  return of_worker;
}

}  // namespace runshelf::sidecar
