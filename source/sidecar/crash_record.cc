#include "source/sidecar/crash_record.h"

#include <algorithm>
#include <utility>

namespace runshelf::sidecar {
namespace {

// Number of terminations from which each run is counted before it is sent. A threshold of one would
// quarantine all requests of a worker, some 8 to 20, each time a worker terminates for an unrelated
// reason.
constexpr size_t kEndsForQuarantine = 2;
// The threshold while earlier terminations of a request may be missing from the store.
constexpr size_t kEndsForQuarantineIfIncomplete = 1;
// Runs of such a request, including the first one and its trials: as many as users accept after
// proof.
constexpr uint32_t kMaxRunsIfIncomplete = 3;
// Users take three terminations as proof, and accept three more runs after that in a whole day. The
// first trial is the third run. A request that happened to run under five unrelated terminations is
// still served.
constexpr uint32_t kMaxTrials = 4;
// Several runs of a request may be in flight in one worker. Users count each interrupted run.
constexpr size_t kRunsInOneEndForProof = 3;
// A run takes about 100 ms, and all nodes know its outcome within about 500 ms.
constexpr Duration kTrialSpacing = std::chrono::seconds(1);
// A few hundred bytes each. A power failure terminates hundreds of workers with about 20 requests
// each.
constexpr size_t kMaxSuspects = 20000;
// Each termination expires minutes after it was written. Terminations beyond this limit are
// ignored.
constexpr size_t kMaxEnds = 5000;
// Limits the size of an item, which is sent to all nodes.
constexpr size_t kMaxWorkersInItem = 16;

// Returns the number of `names` that are not in `others`.
size_t CountMissing(const std::set<std::string>& names, const std::set<std::string>& others) {
  return static_cast<size_t>(std::count_if(
      names.begin(), names.end(), [&](const std::string& name) { return !others.contains(name); }));
}

}  // namespace

// Both counts of excused terminations cover the earliest ones, so that they overlap.
size_t CrashRecord::Ends(const Suspect& suspect, size_t excused_elsewhere) {
  const size_t all = suspect.worker_ids.size();
  return std::min(CountMissing(suspect.worker_ids, suspect.excused),
                  all - std::min(all, excused_elsewhere));
}

void CrashRecord::SetHistoryMayBeIncomplete(bool history_may_be_incomplete) {
  if (history_may_be_incomplete == history_may_be_incomplete_) return;
  history_may_be_incomplete_ = history_may_be_incomplete;
  for (const auto& [request, suspect] : suspects_) UpdateQuarantined(request);
}

bool CrashRecord::Quarantined(const Suspect& suspect, size_t excused_elsewhere) const {
  if (suspect.item.has_value() && !suspect.item->released) return true;
  const size_t usual =
      history_may_be_incomplete_ ? kEndsForQuarantineIfIncomplete : kEndsForQuarantine;
  const size_t enough = suspect.was_quarantined ? 1 : usual;
  return Ends(suspect, excused_elsewhere) >= enough;
}

size_t CrashRecord::InterruptedRuns(const Suspect& suspect) {
  size_t sum = 0;
  for (const auto& [worker_id, runs] : suspect.runs) {
    if (!suspect.excused.contains(worker_id)) sum += runs;
  }
  return sum;
}

bool CrashRecord::OneEndIsProof(const Suspect& suspect) {
  return std::any_of(suspect.runs.begin(), suspect.runs.end(), [&suspect](const auto& entry) {
    return entry.second >= kRunsInOneEndForProof && !suspect.excused.contains(entry.first);
  });
}

// Runs that started before all nodes knew of the second termination are not trials, but use up one:
// the request was then interrupted three times before its first trial, so that all trials follow
// the proof. If the first termination was proof by itself, the second one may follow the proof too,
// and uses up another. They never use up more, because a power failure terminates many workers
// under a harmless request.
uint32_t CrashRecord::TrialsLeft(const Suspect& suspect) const {
  const bool has_item = suspect.item.has_value() && !suspect.item->released;
  const uint32_t begun = has_item ? suspect.item->trials : 0;
  if (history_may_be_incomplete_) {
    const auto runs = std::max(static_cast<uint32_t>(InterruptedRuns(suspect)), begun + 1);
    return runs >= kMaxRunsIfIncomplete ? 0 : kMaxRunsIfIncomplete - runs;
  }
  const bool proven_before = InterruptedRuns(suspect) > kEndsForQuarantine + begun;
  const uint32_t used = begun + (proven_before ? 1 : 0) + (OneEndIsProof(suspect) ? 1 : 0);
  return used >= kMaxTrials ? 0 : kMaxTrials - used;
}

const CrashRecord::Suspect* CrashRecord::Find(const RequestFingerprint& request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? nullptr : &found->second;
}

CrashRecord::Suspect& CrashRecord::FindOrAdd(const RequestFingerprint& request) {
  const auto found = suspects_.find(request);
  if (found != suspects_.end()) return found->second;
  if (suspects_.size() >= kMaxSuspects) EvictOne();
  Suspect& suspect = suspects_[request];
  suspect.number = next_number_++;
  by_age_.emplace(suspect.number, request);
  return suspect;
}

// Evicts the oldest request that is not quarantined, or the oldest of all. A poison request is
// interrupted repeatedly, so that a flood of unrelated requests does not evict it.
void CrashRecord::EvictOne() {
  const auto dispensable = [this](const auto& entry) {
    return !Quarantined(suspects_.at(entry.second));
  };
  auto victim = std::find_if(by_age_.begin(), by_age_.end(), dispensable);
  if (victim == by_age_.end()) victim = by_age_.begin();
  Remove(victim->second);
}

void CrashRecord::Remove(const RequestFingerprint& request) {
  const auto found = suspects_.find(request);
  const uint64_t number = found->second.number;
  quarantined_.erase(request);
  suspects_.erase(found);
  // Last, because `request` may refer to the key in this entry.
  by_age_.erase(number);
}

void CrashRecord::UpdateQuarantined(const RequestFingerprint& request) {
  if (Quarantined(suspects_.at(request))) {
    quarantined_.insert(request);
  } else {
    quarantined_.erase(request);
  }
}

std::vector<RequestFingerprint> CrashRecord::OnWorkerEnd(
    const std::string& worker_id, const std::vector<RequestFingerprint>& requests) {
  std::vector<RequestFingerprint> newly_quarantined;
  if (ends_.size() >= kMaxEnds && !ends_.contains(worker_id)) return newly_quarantined;
  std::vector<RequestFingerprint>& known = ends_[worker_id];
  std::map<RequestFingerprint, size_t> reported;
  for (const RequestFingerprint& request : requests) {
    Suspect& suspect = FindOrAdd(request);
    size_t& runs = suspect.runs[worker_id];
    if (++reported[request] <= runs) continue;
    ++runs;
    known.push_back(request);
    const bool before = Quarantined(suspect);
    if (!suspect.worker_ids.insert(worker_id).second) continue;
    UpdateQuarantined(request);
    if (!before && Quarantined(suspect)) newly_quarantined.push_back(request);
  }
  return newly_quarantined;
}

void CrashRecord::OnWorkerEndLapsed(const std::string& worker_id) {
  const auto found = ends_.find(worker_id);
  if (found == ends_.end()) return;
  for (const RequestFingerprint& request : found->second) {
    const auto suspect = suspects_.find(request);
    if (suspect == suspects_.end()) continue;
    suspect->second.worker_ids.erase(worker_id);
    suspect->second.runs.erase(worker_id);
    suspect->second.excused.erase(worker_id);
    suspect->second.released.erase(worker_id);
    UpdateQuarantined(request);
    RemoveIfClear(request);
  }
  ends_.erase(found);
}

void CrashRecord::RemoveIfClear(const RequestFingerprint& request) {
  const Suspect& suspect = suspects_.at(request);
  if (!suspect.worker_ids.empty() || suspect.item.has_value() || suspect.was_quarantined) return;
  Remove(request);
}

void CrashRecord::OnQuarantine(Instant now, const RequestFingerprint& request,
                               const QuarantineItem& item, store::Revision revision) {
  Suspect& suspect = FindOrAdd(request);
  if (revision <= suspect.revision) return;
  suspect.item = item;
  suspect.release_stored = item.released;
  suspect.revision = revision;
  suspect.item_since = now;
  if (item.released) {
    suspect.was_quarantined = false;
    suspect.excused.insert(item.worker_ids.begin(), item.worker_ids.end());
    suspect.released.insert(item.worker_ids.begin(), item.worker_ids.end());
  }
  UpdateQuarantined(request);
}

void CrashRecord::OnQuarantineLapsed(const RequestFingerprint& request) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || !found->second.item.has_value()) return;
  found->second.was_quarantined = !found->second.item->released;
  found->second.item.reset();
  found->second.release_stored = false;
  UpdateQuarantined(request);
  RemoveIfClear(request);
}

bool CrashRecord::OnGoodRun(const RequestFingerprint& request) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) return false;
  Suspect& suspect = found->second;
  const bool held_against =
      Quarantined(suspect) ||
      CountMissing(suspect.worker_ids, suspect.released) >= kEndsForQuarantine;
  suspect.excused = suspect.worker_ids;
  suspect.was_quarantined = false;
  if (suspect.item.has_value()) suspect.item->released = true;
  UpdateQuarantined(request);
  return held_against;
}

bool CrashRecord::IsQuarantined(const RequestFingerprint& request, size_t excused_elsewhere) const {
  const Suspect* suspect = Find(request);
  return suspect != nullptr && Quarantined(*suspect, excused_elsewhere);
}

size_t CrashRecord::Ends(const RequestFingerprint& request, size_t excused_elsewhere) const {
  const Suspect* suspect = Find(request);
  return suspect == nullptr ? 0 : Ends(*suspect, excused_elsewhere);
}

size_t CrashRecord::ExcusedEnds(const RequestFingerprint& request) const {
  const Suspect* suspect = Find(request);
  return suspect == nullptr ? 0 : suspect->worker_ids.size() - Ends(*suspect);
}

Clearance CrashRecord::ClearanceOf(Instant now, const RequestFingerprint& request) const {
  const Suspect* suspect = Find(request);
  if (suspect == nullptr || !Quarantined(*suspect)) return Clearance::kFree;
  const auto until_trial = UntilTrial(now, request);
  return until_trial == Duration(0) ? Clearance::kTrial : Clearance::kQuarantined;
}

std::optional<Duration> CrashRecord::UntilTrial(Instant now,
                                                const RequestFingerprint& request) const {
  const Suspect* suspect = Find(request);
  if (suspect == nullptr || !Quarantined(*suspect) || suspect->was_quarantined) return std::nullopt;
  if (TrialsLeft(*suspect) == 0) return std::nullopt;
  if (!suspect->item.has_value() || suspect->item->released) return Duration(0);
  return std::max(Duration(0), suspect->item_since + kTrialSpacing - now);
}

// A new quarantine starts with no trials; an existing one keeps its count.
CrashRecord::Change CrashRecord::ChangeOf(const RequestFingerprint& request) const {
  Change change;
  const Suspect* suspect = Find(request);
  if (suspect == nullptr) return change;
  change.expected = suspect->item.has_value() ? suspect->revision : 0;
  if (suspect->item.has_value()) change.item = *suspect->item;
  if (change.item.released) change.item.trials = 0;
  change.item.released = false;
  change.item.worker_ids.clear();
  for (const std::string& worker_id : suspect->worker_ids) {
    if (change.item.worker_ids.size() == kMaxWorkersInItem) break;
    change.item.worker_ids.push_back(worker_id);
  }
  return change;
}

CrashRecord::Change CrashRecord::BeginTrial(const RequestFingerprint& request) const {
  Change change = ChangeOf(request);
  ++change.item.trials;
  return change;
}

CrashRecord::Change CrashRecord::ReturnTrial(const RequestFingerprint& request) const {
  Change change = ChangeOf(request);
  if (change.item.trials > 0) --change.item.trials;
  return change;
}

CrashRecord::Change CrashRecord::Release(const RequestFingerprint& request) const {
  Change change = ChangeOf(request);
  change.item.released = true;
  return change;
}

bool CrashRecord::KnownGood(const RequestFingerprint& request) const {
  const Suspect* suspect = Find(request);
  if (suspect == nullptr || Ends(*suspect) > 0) return false;
  if (!suspect->item.has_value()) return true;
  const std::vector<std::string>& held_against = suspect->item->worker_ids;
  return std::all_of(held_against.begin(), held_against.end(), [&](const std::string& worker_id) {
    return suspect->excused.contains(worker_id);
  });
}

bool CrashRecord::ReleaseIsKnown(const RequestFingerprint& request) const {
  const Suspect* suspect = Find(request);
  return suspect != nullptr && suspect->release_stored &&
         CountMissing(suspect->worker_ids, suspect->released) == 0;
}

std::vector<RequestFingerprint> CrashRecord::RequestsOf(const std::string& worker_id) const {
  const auto found = ends_.find(worker_id);
  return found == ends_.end() ? std::vector<RequestFingerprint>() : found->second;
}

std::vector<std::string> CrashRecord::WorkersOf(const RequestFingerprint& request) const {
  const Suspect* suspect = Find(request);
  if (suspect == nullptr) return {};
  return {suspect->worker_ids.begin(), suspect->worker_ids.end()};
}

}  // namespace runshelf::sidecar
