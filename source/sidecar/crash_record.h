// Decides which requests may run, from the ends of workers that they were at work under.
//
// A request that ends the worker that begins it comes again, at any node, and each run costs a
// worker, its keys and all other requests in it. Workers also end for reasons of their own, and
// then everything at work in them is innocent. What tells the two apart is repetition without a
// good run: of 84 requests under 11 ends that had other reasons, none was at work under two, while
// the guilty one is under every end. So after the first end a worker runs a request only once at a
// time, and the node that saw its try end does not send it on. The second end puts it in
// quarantine. There only trials run, one in the fleet at a time, each counted before it is sent: an
// innocent request proves itself with the first, and the guilty one costs six workers in all, also
// when nobody sees how a trial ended.
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

enum class Clearance {
  kFree,         // Nothing speaks against it.
  kTrial,        // In quarantine, and a trial may begin.
  kQuarantined,  // In quarantine; refused at once.
};

// A fleet that may have forgotten ends, see MemoryRecord, is stricter: a request that it takes for
// new may have ended two workers already, and run in a few trials. The first end puts it in
// quarantine, and it has three runs in all from then on, as many as users allow after the proof.
//
// Deterministic; not thread-safe. Bounded, however many workers end.
class CrashRecord {
 public:
  // Ends that the fleet knew of may be forgotten, and with them trials.
  void SetHistoryMayBeIncomplete(bool history_may_be_incomplete);
  // The end of a worker; reported again, it adds what is new. Returns the requests that this end
  // brings into quarantine.
  std::vector<RequestFingerprint> OnWorkerEnd(const std::string& worker_id,
                                              const std::vector<RequestFingerprint>& requests);
  // Nobody has seen requests of this end in quarantine for long.
  void OnWorkerEndLapsed(const std::string& worker_id);
  // What the store holds of a request, as of `revision`.
  void OnQuarantine(Instant now, const RequestFingerprint& request, const QuarantineItem& item,
                    store::Revision revision);
  void OnQuarantineLapsed(const RequestFingerprint& request);
  // The request ran to an answer: no end that is known so far was its doing. True when the other
  // nodes should hear of it, which may hold these ends against it.
  bool OnGoodRun(const RequestFingerprint& request);

  bool empty() const { return suspects_.empty(); }
  // `excused_elsewhere`: another node, which takes its requests, has seen a good run since so many
  // of the ends.
  bool IsQuarantined(const RequestFingerprint& request, size_t excused_elsewhere = 0) const;
  // Ends that speak against the request.
  size_t Ends(const RequestFingerprint& request, size_t excused_elsewhere = 0) const;
  // Ends since which this node has seen a good run.
  size_t ExcusedEnds(const RequestFingerprint& request) const;
  Clearance ClearanceOf(Instant now, const RequestFingerprint& request) const;
  // Of one in quarantine: until the next trial may begin; nullopt: none will.
  std::optional<Duration> UntilTrial(Instant now, const RequestFingerprint& request) const;
  // What the store should hold once another trial has begun, and the revision that it replaces.
  struct Change {
    QuarantineItem item;
    store::Revision expected = 0;  // Zero: there is no item yet.
  };
  Change BeginTrial(const RequestFingerprint& request) const;
  // The trial did not reach a worker.
  Change ReturnTrial(const RequestFingerprint& request) const;
  // The request was found good.
  Change Release(const RequestFingerprint& request) const;
  // This node has seen a good run since all the ends that are held against the request.
  bool KnownGood(const RequestFingerprint& request) const;
  // All nodes know that the ends that are known here do not speak against it.
  bool ReleaseIsKnown(const RequestFingerprint& request) const;
  // Of the end of this worker; one that ran there more than once is named as often.
  std::vector<RequestFingerprint> RequestsOf(const std::string& worker_id) const;
  std::vector<std::string> WorkersOf(const RequestFingerprint& request) const;
  // Requests in quarantine.
  size_t quarantined() const { return quarantined_.size(); }

 private:
  struct Suspect {
    uint64_t number = 0;                 // In the order in which they came to be known.
    std::set<std::string> worker_ids;    // That ended under it.
    std::map<std::string, size_t> runs;  // Of it, that the end of each of these cut.
    std::set<std::string> excused;       // Ends before a good run.
    std::set<std::string> released;      // Of these, the ones that all nodes know of.
    std::optional<QuarantineItem> item;
    bool release_stored = false;   // The store's item is a release.
    store::Revision revision = 0;  // Of the item.
    Instant item_since{};
    // It was in quarantine until nobody sent it any more: one more end is enough.
    bool was_quarantined = false;
  };

  static size_t Ends(const Suspect& suspect, size_t excused_elsewhere = 0);
  bool Quarantined(const Suspect& suspect, size_t excused_elsewhere = 0) const;
  // Runs that were cut by ends that speak against it.
  static size_t InterruptedRuns(const Suspect& suspect);
  // So many were cut by one of these ends that it alone is proof for the users.
  static bool OneEndIsProof(const Suspect& suspect);
  // Trials that may still begin.
  uint32_t TrialsLeft(const Suspect& suspect) const;
  const Suspect* Find(const RequestFingerprint& request) const;
  Suspect& FindOrAdd(const RequestFingerprint& request);
  void EvictOne();
  void RemoveIfClear(const RequestFingerprint& request);
  void Remove(const RequestFingerprint& request);
  // To be called after every change of the suspect.
  void UpdateQuarantined(const RequestFingerprint& request);
  Change ChangeOf(const RequestFingerprint& request) const;

  std::map<RequestFingerprint, Suspect> suspects_;
  std::set<RequestFingerprint> quarantined_;                     // Of the suspects.
  std::map<std::string, std::vector<RequestFingerprint>> ends_;  // By worker.
  std::map<uint64_t, RequestFingerprint> by_age_;                // By number.
  uint64_t next_number_ = 0;
  bool history_may_be_incomplete_ = false;
};

}  // namespace runshelf::sidecar
