// Decides which requests may run, based on the worker terminations that interrupted them.
//
// A request that terminates the worker that runs it (a poison request) is retried at any node, and
// each run costs a worker, its keys and all other requests in it. Workers also terminate for other
// reasons, and the requests in flight then are not at fault. Repeated terminations without a
// completed run in between identify the poison request: of 84 requests interrupted by 11
// terminations with other causes, none was interrupted twice, whereas the poison request is
// interrupted by every one. After the first termination a worker therefore runs only one instance
// of the request at a time, and the node whose attempt was interrupted does not retry it elsewhere.
// The second termination puts the request in quarantine, where only trial runs are allowed: one at
// a time in the fleet, each counted before it is sent. A harmless request is released by its first
// trial. A poison request terminates at most six workers, even if no node observes how a trial
// ended.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "source/sidecar/crash_items.h"
#include "source/store/store_operations.h"

namespace runshelf::sidecar {

// Whether a request may run.
enum class Clearance {
  kFree,         // No restriction.
  kTrial,        // Quarantined; a trial may start.
  kQuarantined,  // Quarantined; refused immediately.
};

// Tracks suspect requests and the worker terminations that interrupted them.
//
// The rules are stricter while terminations may be missing from the store (see CrashHistoryRecord),
// because a request that appears to be new may already have terminated two workers and have had
// some of its trials. The first termination then puts it in quarantine, and it is allowed three
// runs in all, as many as users accept once a request is proven to be poison.
//
// Deterministic; not thread-safe. Memory is bounded for any number of terminations.
class CrashRecord {
 public:
  // Whether terminations recorded in the past, and trials, may be missing from the store.
  void SetHistoryMayBeIncomplete(bool history_may_be_incomplete);
  // Records the termination of a worker. A repeated call adds only requests that were not known
  // yet. Returns the requests that this termination puts in quarantine.
  std::vector<RequestFingerprint> OnWorkerEnd(const std::string& worker_id,
                                              const std::vector<RequestFingerprint>& requests);
  // The store's record of this termination expired.
  void OnWorkerEndLapsed(const std::string& worker_id);
  // The store holds `item` for the request as of `revision`.
  void OnQuarantine(Instant now, const RequestFingerprint& request, const QuarantineItem& item,
                    store::Revision revision);
  // The quarantine item expired in the store.
  void OnQuarantineLapsed(const RequestFingerprint& request);
  // The request ran to completion, so that it caused none of the terminations known so far. Returns
  // true if the other nodes need to be told, because they may still count these terminations
  // against it.
  bool OnGoodRun(const RequestFingerprint& request);

  bool empty() const { return suspects_.empty(); }
  // `excused_elsewhere`: the number of terminations after which the node that forwarded the request
  // has seen it complete.
  bool IsQuarantined(const RequestFingerprint& request, size_t excused_elsewhere = 0) const;
  // Terminations that count against the request.
  size_t Ends(const RequestFingerprint& request, size_t excused_elsewhere = 0) const;
  // Terminations after which this node has seen the request complete.
  size_t ExcusedEnds(const RequestFingerprint& request) const;
  Clearance ClearanceOf(Instant now, const RequestFingerprint& request) const;
  // Time until the next trial of a quarantined request may start; nullopt if none will.
  std::optional<Duration> UntilTrial(Instant now, const RequestFingerprint& request) const;
  // The item to store, and the revision that it replaces.
  struct Change {
    QuarantineItem item;
    store::Revision expected = 0;  // Zero: no item exists yet.
  };
  // Starts another trial.
  Change BeginTrial(const RequestFingerprint& request) const;
  // Takes back a trial that did not reach a worker.
  Change ReturnTrial(const RequestFingerprint& request) const;
  // Releases a request that was found harmless.
  Change Release(const RequestFingerprint& request) const;
  // Whether this node has seen the request complete after all terminations that count against it.
  bool KnownGood(const RequestFingerprint& request) const;
  // Whether all nodes know that the terminations known here do not count against the request.
  bool ReleaseIsKnown(const RequestFingerprint& request) const;
  // The requests interrupted by the termination of this worker. A request appears once for each of
  // its runs there.
  std::vector<RequestFingerprint> RequestsOf(const std::string& worker_id) const;
  // Workers that terminated while running the request.
  std::vector<std::string> WorkersOf(const RequestFingerprint& request) const;
  // Number of quarantined requests.
  size_t quarantined() const { return quarantined_.size(); }

 private:
  struct Suspect {
    uint64_t number = 0;                 // Sequence number, in order of discovery.
    std::set<std::string> worker_ids;    // Workers that terminated while running it.
    std::map<std::string, size_t> runs;  // Interrupted runs, by terminated worker.
    std::set<std::string> excused;       // Terminations before a completed run.
    std::set<std::string> released;      // Those of `excused` that all nodes know of.
    std::optional<QuarantineItem> item;
    bool release_stored = false;   // The store's item is a release.
    store::Revision revision = 0;  // Revision of `item`.
    Instant item_since{};
    // The quarantine expired because no client sent the request. One more termination restores it.
    bool was_quarantined = false;
  };

  static size_t Ends(const Suspect& suspect, size_t excused_elsewhere = 0);
  bool Quarantined(const Suspect& suspect, size_t excused_elsewhere = 0) const;
  // Runs interrupted by terminations that count against the request.
  static size_t InterruptedRuns(const Suspect& suspect);
  // Whether one termination interrupted so many runs that users take it alone as proof.
  static bool OneEndIsProof(const Suspect& suspect);
  // Number of trials that may still start.
  uint32_t TrialsLeft(const Suspect& suspect) const;
  const Suspect* Find(const RequestFingerprint& request) const;
  Suspect& FindOrAdd(const RequestFingerprint& request);
  void EvictOne();
  void RemoveIfClear(const RequestFingerprint& request);
  void Remove(const RequestFingerprint& request);
  // Updates `quarantined_`. Must be called after every change of the suspect.
  void UpdateQuarantined(const RequestFingerprint& request);
  Change ChangeOf(const RequestFingerprint& request) const;

  std::map<RequestFingerprint, Suspect> suspects_;
  std::set<RequestFingerprint> quarantined_;                     // Subset of the suspects.
  std::map<std::string, std::vector<RequestFingerprint>> ends_;  // By worker id.
  std::map<uint64_t, RequestFingerprint> by_age_;                // By sequence number.
  uint64_t next_number_ = 0;
  bool history_may_be_incomplete_ = false;
};

}  // namespace runshelf::sidecar
