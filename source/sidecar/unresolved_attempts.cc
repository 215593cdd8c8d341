#include "source/sidecar/unresolved_attempts.h"

#include <utility>

namespace runshelf::sidecar {
namespace {

// A node that is lost breaks off the attempts of all others at its worker, some dozens in all.
constexpr size_t kMaxEntries = 256;
// A node that was killed is back within seconds. What ends much later had other reasons.
constexpr Duration kMaxAge = std::chrono::seconds(10);
// The node beside the worker tells of its end before it announces the next one; its item takes the
// time of a change of the state, some hundred milliseconds, and a second while the store is slow.
constexpr Duration kReportGracePeriod = std::chrono::seconds(1);

}  // namespace

void UnresolvedAttempts::Add(Instant now, Attempt attempt) {
  if (attempts_.size() >= kMaxEntries) attempts_.pop_front();
  attempts_.push_back({std::move(attempt), now, Instant{}});
}

void UnresolvedAttempts::OnWorkerAt(Instant now, const std::string& node,
                                    const std::string& worker_id) {
  if (worker_id.empty()) return;
  for (Entry& entry : attempts_) {
    if (entry.attempt.node != node || entry.replaced_at != Instant{}) continue;
    if (!may_be_same_(entry.attempt.worker_id, worker_id)) entry.replaced_at = now;
  }
}

std::vector<UnresolvedAttempts::Attempt> UnresolvedAttempts::TakeEnded(Instant now) {
  std::vector<Attempt> ended;
  std::erase_if(attempts_, [&](Entry& entry) {
    if (entry.replaced_at == Instant{}) return now - entry.broken_at > kMaxAge;
    if (now - entry.replaced_at < kReportGracePeriod) return false;
    ended.push_back(std::move(entry.attempt));
    return true;
  });
  return ended;
}

}  // namespace runshelf::sidecar
