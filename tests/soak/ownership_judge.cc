#include "tests/soak/ownership_judge.h"

#include <fmt/format.h>

#include <algorithm>

namespace runshelf::soak {
namespace {

// Longest overlap of ownership that the user documentation permits (half a second).
constexpr Duration kAllowedOverlap = std::chrono::milliseconds(500);

bool SameGrant(const HeldKeys& left, const HeldKeys& right) {
  return left.fence == right.fence && left.keys.first == right.keys.first &&
         left.keys.last == right.keys.last;
}

KeyRange Intersection(const KeyRange& left, const KeyRange& right) {
  return {std::max(left.first, right.first), std::min(left.last, right.last)};
}

}  // namespace

void OwnershipJudge::OnGrant(Instant now, const std::string& worker, const HeldKeys& grant,
                             OrderArrival arrival) {
  CheckToken(worker, grant, arrival);
  if (arrival == OrderArrival::kTimely) {
    CheckRunningRequests(now, worker, grant);
    std::erase_if(released_[worker],
                  [&](const KeyRange& keys) { return keys.Overlaps(grant.keys); });
  }
  RecordGrant(worker, grant, arrival);
}

void OwnershipJudge::RecordGrant(const std::string& worker, const HeldKeys& grant,
                                 OrderArrival arrival) {
  std::vector<Grant>& grants = grants_[worker];
  const auto same = std::find_if(grants.begin(), grants.end(), [&](const Grant& known) {
    return known.arrival == arrival && SameGrant(known.held, grant);
  });
  if (same == grants.end()) {
    grants.push_back({grant, arrival});
  } else {
    same->held.until = std::max(same->held.until, grant.until);
  }
}

bool OwnershipJudge::HasReleased(const std::string& worker, uint32_t key) const {
  const auto released = released_.find(worker);
  return released != released_.end() &&
         std::any_of(released->second.begin(), released->second.end(),
                     [key](const KeyRange& keys) { return keys.Contains(key); });
}

// A restarted worker counts as another worker even if it keeps its identity, so it needs a higher
// token. A grant that was applied late may be older than the current grants of other workers,
// unless the worker acknowledged a release after it had received the grant.
void OwnershipJudge::CheckToken(const std::string& worker, const HeldKeys& grant,
                                OrderArrival arrival) {
  bool reported = false;
  for (uint32_t key = grant.keys.first; key <= grant.keys.last; ++key) {
    Latest& latest = latest_[key];
    const bool above = grant.fence > latest.held.fence;
    const bool allowed = above || latest.worker == worker || latest.worker.empty() ||
                         (arrival == OrderArrival::kTakenLate && !HasReleased(worker, key));
    if (!allowed && !reported) {
      reported = true;
      violations_.push_back(fmt::format("fence: key {} went from {} ({}) to {} ({})", key,
                                        latest.worker, latest.held.fence, worker, grant.fence));
    }
    if (above || latest.worker.empty()) latest = {worker, grant};
  }
}

void OwnershipJudge::CheckRunningRequests(Instant now, const std::string& worker,
                                          const HeldKeys& grant) {
  for (const auto& [other, runs] : runs_) {
    if (other == worker) continue;
    const auto found = std::find_if(runs.begin(), runs.end(), [&](const Run& run) {
      return grant.keys.Contains(run.key) && now < run.lease_end;
    });
    if (found == runs.end()) continue;
    violations_.push_back(fmt::format("owner: {} was given key {} while {} was at work on it",
                                      worker, found->key, other));
  }
}

void OwnershipJudge::OnRunBegan(Instant now, const std::string& worker, uint32_t key,
                                Instant lease_end, const std::vector<std::string>& others) {
  runs_[worker].push_back({key, lease_end});
  for (const std::string& other : others) {
    if (OwnsKey(now, worker, key, /*timely=*/true) && OwnsKey(now, other, key, /*timely=*/true)) {
      violations_.push_back(
          fmt::format("owner: {} runs a request of key {} that {} holds", worker, key, other));
      continue;
    }
    if (!OwnsKey(now, worker, key, /*timely=*/false)) continue;
    if (!OwnsKey(now, other, key, /*timely=*/false)) continue;
    begun_[{worker, other}] = {now, key};
    const auto since = sharing_since_.find(std::minmax(worker, other));
    const auto opposite = begun_.find({other, worker});
    if (since == sharing_since_.end() || opposite == begun_.end()) continue;
    if (opposite->second.first < since->second) continue;
    violations_.push_back(
        fmt::format("owner: {} runs a request of key {} and {} one of key {} while they share keys",
                    worker, key, other, opposite->second.second));
  }
}

void OwnershipJudge::OnRunEnded(const std::string& worker, uint32_t key) {
  std::vector<Run>& runs = runs_[worker];
  const auto found =
      std::find_if(runs.begin(), runs.end(), [&](const Run& run) { return run.key == key; });
  if (found != runs.end()) runs.erase(found);
}

void OwnershipJudge::OnWorkerEnded(const std::string& worker) {
  runs_.erase(worker);
  grants_.erase(worker);
  released_.erase(worker);
}

// Grants applied shortly after a resume are ignored; grants applied late only count once both
// workers have begun requests.
bool OwnershipJudge::OwnsKey(Instant now, const std::string& worker, uint32_t key,
                             bool timely) const {
  const auto grants = grants_.find(worker);
  if (grants == grants_.end()) return false;
  return std::any_of(grants->second.begin(), grants->second.end(), [&](const Grant& grant) {
    const bool counts =
        timely ? grant.arrival == OrderArrival::kTimely : grant.arrival != OrderArrival::kAfterThaw;
    return counts && grant.held.keys.Contains(key) && now < grant.held.until;
  });
}

bool OwnershipJudge::CoveredByTimelyGrant(Instant now, const std::string& worker,
                                          KeyRange* keys) const {
  const auto grants = grants_.find(worker);
  if (grants == grants_.end()) return false;
  for (const Grant& grant : grants->second) {
    if (grant.arrival != OrderArrival::kTimely || now >= grant.held.until) continue;
    if (!grant.held.keys.Overlaps(*keys)) continue;
    *keys = Intersection(*keys, grant.held.keys);
    return true;
  }
  return false;
}

void OwnershipJudge::Check(Instant now, const std::vector<WorkerHoldings>& workers) {
  for (auto& [worker, grants] : grants_) {
    std::erase_if(grants, [&](const Grant& grant) { return grant.held.until <= now; });
  }
  for (size_t left = 0; left < workers.size(); ++left) {
    for (size_t right = left + 1; right < workers.size(); ++right) {
      const bool ordered = workers[left].worker < workers[right].worker;
      ComparePair(now, workers[ordered ? left : right], workers[ordered ? right : left]);
    }
  }
}

void OwnershipJudge::ComparePair(Instant now, const WorkerHoldings& left,
                                 const WorkerHoldings& right) {
  const Pair pair(left.worker, right.worker);
  std::vector<SharedKeys> before;
  if (const auto known = shared_.extract(pair); !known.empty()) before = known.mapped();
  bool sharing = false;
  std::vector<SharedKeys> result;
  for (const HeldKeys& mine : left.held) {
    if (mine.until <= now) continue;
    for (const HeldKeys& theirs : right.held) {
      if (theirs.until <= now || !mine.keys.Overlaps(theirs.keys)) continue;
      sharing = true;
      KeyRange keys = Intersection(mine.keys, theirs.keys);
      if (!CoveredByTimelyGrant(now, left.worker, &keys)) continue;
      if (!CoveredByTimelyGrant(now, right.worker, &keys)) continue;
      SharedKeys shared{keys, now, false};
      // An overlap that continues an earlier one, even partly, keeps its start time.
      for (const SharedKeys& earlier : before) {
        if (!earlier.keys.Overlaps(keys)) continue;
        shared.keys = Intersection(earlier.keys, keys);
        shared.since = earlier.since;
        shared.reported = earlier.reported;
        break;
      }
      if (!shared.reported && now - shared.since > kAllowedOverlap) {
        shared.reported = true;
        violations_.push_back(fmt::format("owner: {} and {} hold keys {} to {} for {} ms",
                                          pair.first, pair.second, shared.keys.first,
                                          shared.keys.last, ToMilliseconds(now - shared.since)));
      }
      result.push_back(shared);
    }
  }
  if (!result.empty()) shared_[pair] = std::move(result);
  if (sharing) {
    sharing_since_.try_emplace(pair, now);
  } else {
    sharing_since_.erase(pair);
  }
}

}  // namespace runshelf::soak
