// Quarantines requests that terminate the workers that run them, across all nodes.
//
// When a worker terminates, its local node writes a record of the termination to the store, with
// the requests that were in flight in the worker. A remote node whose attempt at that worker was
// interrupted writes one as well, in case the local node has failed too (UnresolvedAttempts). All
// nodes, including those that start later, receive these records through the watch on the store and
// come to the same decisions (CrashRecord). Trial runs are started by compare-and-swap, so that the
// fleet runs at most one at a time per request and never more than the limit, whatever each node
// knows.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "source/sidecar/crash_record.h"
#include "source/sidecar/interrupted_requests.h"
#include "source/sidecar/log_writer.h"
#include "source/sidecar/unresolved_attempts.h"
#include "source/sidecar/wire_format.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Not thread-safe: must be used on the thread of its event loop.
class RequestQuarantine {
 public:
  RequestQuarantine(event::EventLoop& loop, store::StoreClient& store, const WireFormat& wire,
                    Random& random, LogWriter& log, std::string node);

  // Returns true if `key` names an item that this class handles.
  static bool IsItemKey(const std::string& key);
  // Applies an item from the store. Returns false, and changes nothing, if the item cannot be
  // parsed.
  bool OnItem(const store::Item& item);
  // An item was removed from the store or expired there.
  void OnRemoved(const std::string& key);
  // The store was restored from an older copy of its data: leases granted before may now belong to
  // other clients, and termination records that were written may be missing.
  void OnStoreRestored();

  // Whether records of worker terminations may be missing from the store; see CrashRecord.
  void SetHistoryMayBeIncomplete(bool history_may_be_incomplete) {
    record_.SetHistoryMayBeIncomplete(history_may_be_incomplete);
  }

  // Sends a worker termination to all other nodes directly while the store does not accept it,
  // because this process may be gone before the store is available again.
  using EndBroadcaster = std::function<void(const std::string& message)>;
  void set_end_broadcaster(EndBroadcaster broadcaster) { broadcast_end_ = std::move(broadcaster); }
  // Applies a worker termination that another node sent directly. Returns false if the message
  // cannot be parsed. `write`: this node must also write it to the store.
  bool OnBroadcastEnd(const std::string& message, bool write);

  // Called for each quarantine change of this node that the store has acknowledged but that the
  // watch has not delivered yet.
  using WriteObserver = std::function<void(const store::Item& item)>;
  void set_on_written(WriteObserver observer) { on_written_ = std::move(observer); }

  // The local worker terminated.
  void OnWorkerEnded(const std::string& worker_id,
                     const std::vector<InterruptedRequest>& in_flight);
  // An attempt at the worker of another node was interrupted, and the request may have run.
  void OnAttemptInterrupted(const std::string& node, const std::string& worker_id,
                            const RequestFingerprint& request);
  // `worker_id` is now the worker of `node`.
  void OnWorkerAt(const std::string& node, const std::string& worker_id);

  // Returns false if no request is suspect, so that callers can skip computing fingerprints.
  bool has_suspects() const { return !record_.empty(); }
  Clearance ClearanceOf(const RequestFingerprint& request) const {
    return record_.ClearanceOf(loop_.Now(), request);
  }
  bool IsQuarantined(const RequestFingerprint& request, size_t excused_elsewhere) const {
    return record_.IsQuarantined(request, excused_elsewhere);
  }
  // Workers terminated while running this request, and it has not completed since.
  bool IsSuspect(const RequestFingerprint& request, size_t excused_elsewhere = 0) const {
    return record_.Ends(request, excused_elsewhere) > 0;
  }
  size_t ExcusedEnds(const RequestFingerprint& request) const {
    return record_.ExcusedEnds(request);
  }
  // Records that a suspect request was refused, and renews the lease of its quarantine item if due.
  // Returns the delay after which the client should retry.
  Duration OnRefused(const RequestFingerprint& request);
  // Whether trials can be counted now. No trial starts while the store is unavailable.
  bool CanCountTrials() const { return store_.reachable() && loop_.Now() >= no_trials_until_; }
  // Calls `callback` with true if the request may be sent to one worker once. Never calls it before
  // returning.
  void BeginTrial(const RequestFingerprint& request, const std::string& description,
                  const std::function<void(bool granted)>& callback);
  // The trial ended before the request reached a worker, so that it does not count.
  void ReturnTrial(const RequestFingerprint& request);
  // The request ran to completion.
  void OnGoodRun(const RequestFingerprint& request);

  size_t quarantined() const { return record_.quarantined(); }
  uint64_t refusals() const { return refusals_; }
  uint64_t trials() const { return trials_; }

 private:
  // A worker termination that has not been confirmed in the store. It is kept until the watch
  // delivers the item in the present era of the store: only then is it certain that other nodes
  // receive it.
  struct PendingEnd {
    Instant since;
    std::string witness;   // The node that observed the termination.
    Instant not_before{};  // Earliest time of the write.
    bool writing = false;
    store::Revision written = 0;  // Revision of the acknowledged write; zero: not written.
    store::Revision seen = 0;     // Latest revision of the item delivered during the write.
    bool broadcast = false;       // Sent to the other nodes directly.
  };

  // Writes all terminations and releases that are not in the store yet.
  void WritePending();
  void WriteEnds();
  void WriteReleases();
  void WriteEnd(const std::string& worker_id, const std::string& witness);
  void OnEndWritten(const WorkerEnd& end, store::Revision revision);
  void OnEndNotWritten(const std::string& worker_id);
  void BroadcastEnd(const std::string& worker_id, PendingEnd* pending);
  void AddPendingEnd(const std::string& worker_id, const PendingEnd& pending);
  // Whether `end` contains all requests that this node knows of for that termination.
  bool IsComplete(const WorkerEnd& end) const;
  // Applies a termination record from the store.
  void ApplyEndItem(const store::Item& item, const WorkerEnd& end);
  // Records the terminations inferred from interrupted attempts, once the local node of the worker
  // has had time to record them itself.
  void CountWitnessedEnds();
  // Calls `callback` with a lease granted in the present era that is valid for several minutes, or
  // with zero if none could be obtained.
  void WithLease(std::function<void(store::LeaseId)> callback);
  // Calls `callback` with whether the change was committed.
  void Commit(const RequestFingerprint& request, const CrashRecord::Change& change,
              std::function<void(bool)> callback);
  void Release(const RequestFingerprint& request);
  void ApplyQuarantineItem(const RequestFingerprint& request, const QuarantineItem& item,
                           const store::Item& stored);
  void ApplyEnd(const WorkerEnd& end);

  event::EventLoop& loop_;
  store::StoreClient& store_;
  Random& random_;
  LogWriter& log_;
  std::string node_;
  EndBroadcaster broadcast_end_;
  WriteObserver on_written_;
  CrashRecord record_;
  std::map<std::string, PendingEnd> pending_ends_;  // By worker id.
  std::map<std::string, std::string> end_items_;    // Worker id by key of the item in the store.
  UnresolvedAttempts unresolved_;
  event::Timer witness_timer_;
  struct PendingRelease {
    int attempts_left = 0;
    bool writing = false;
  };
  std::map<RequestFingerprint, PendingRelease> pending_releases_;
  event::Timer write_timer_;
  store::LeaseId lease_ = 0;
  Instant lease_taken_at_{};
  struct LeaseRenewal {
    store::LeaseId lease = 0;
    Instant renew_at{};
  };
  std::map<RequestFingerprint, LeaseRenewal> lease_renewals_;  // Of quarantined requests.
  Instant no_trials_until_{};  // Set when the store did not answer the latest trial in time.
  uint64_t refusals_ = 0;
  uint64_t trials_ = 0;
};

}  // namespace runshelf::sidecar
