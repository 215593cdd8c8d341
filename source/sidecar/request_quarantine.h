// Keeps requests that end their workers away from them, on all nodes together.
//
// The node beside a worker writes its end to the store, with the requests that were at work in it;
// so does a node whose try broke off there, in case the node beside the worker is gone as well
// (UnresolvedAttempts). All nodes hear of it as of every change of the state, those that start
// later too, and decide alike (CrashRecord). Trials are begun by compare-and-swap, so that the
// whole fleet runs one at a time and no more than are allowed, whatever each node knows.
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

// Belongs to the thread of its loop.
class RequestQuarantine {
 public:
  RequestQuarantine(event::EventLoop& loop, store::StoreClient& store, const WireFormat& wire,
                    Random& random, LogWriter& log, std::string node);

  // True when the key is one of the items that are kept here.
  static bool IsItemKey(const std::string& key);
  // False when the item cannot be read; what was known before holds.
  bool OnItem(const store::Item& item);
  void OnRemoved(const std::string& key);
  // The store came back from an older copy of its data: the leases of before may be another's, and
  // ends that were written may be gone.
  void OnStoreRestored();

  // Ends that the fleet knew of may be forgotten.
  void SetHistoryMayBeIncomplete(bool history_may_be_incomplete) {
    record_.SetHistoryMayBeIncomplete(history_may_be_incomplete);
  }

  // Tells all other nodes of a worker's end while the store does not take it: this process may be
  // gone before the store is back.
  using EndBroadcaster = std::function<void(const std::string& message)>;
  void set_end_broadcaster(EndBroadcaster broadcaster) { broadcast_end_ = std::move(broadcaster); }
  // Another node broadcast of an end; false when that cannot be read. `write`: it is to be written
  // to the store by this node as well.
  bool OnBroadcastEnd(const std::string& message, bool write);

  // Told of each change of a quarantine that this node has made: the store has acknowledged it, and
  // no watch has brought it yet.
  using WriteObserver = std::function<void(const store::Item& item)>;
  void set_on_written(WriteObserver observer) { on_written_ = std::move(observer); }

  // The worker beside this node ended.
  void OnWorkerEnded(const std::string& worker_id,
                     const std::vector<InterruptedRequest>& in_flight);
  // A try at the worker beside another node broke off, and the request may have run.
  void OnAttemptInterrupted(const std::string& node, const std::string& worker_id,
                            const RequestFingerprint& request);
  // This worker is beside the node now.
  void OnWorkerAt(const std::string& node, const std::string& worker_id);

  // False: no request needs to be looked at.
  bool has_suspects() const { return !record_.empty(); }
  Clearance ClearanceOf(const RequestFingerprint& request) const {
    return record_.ClearanceOf(loop_.Now(), request);
  }
  bool IsQuarantined(const RequestFingerprint& request, size_t excused_elsewhere) const {
    return record_.IsQuarantined(request, excused_elsewhere);
  }
  // Workers ended under it, and it had no good run since.
  bool IsSuspect(const RequestFingerprint& request, size_t excused_elsewhere = 0) const {
    return record_.Ends(request, excused_elsewhere) > 0;
  }
  size_t ExcusedEnds(const RequestFingerprint& request) const {
    return record_.ExcusedEnds(request);
  }
  // Takes note that one in quarantine was refused; returns when its caller may come back.
  Duration OnRefused(const RequestFingerprint& request);
  // Trials can be counted now. While the store is away none begins.
  bool CanCountTrials() const { return store_.reachable() && loop_.Now() >= no_trials_until_; }
  // Calls back with true when the request may be sent to one worker, once; never inside the call.
  void BeginTrial(const RequestFingerprint& request, const std::string& description,
                  const std::function<void(bool granted)>& callback);
  // The trial ended without reaching a worker.
  void ReturnTrial(const RequestFingerprint& request);
  // The request ran to an answer.
  void OnGoodRun(const RequestFingerprint& request);

  size_t quarantined() const { return record_.quarantined(); }
  uint64_t refusals() const { return refusals_; }
  uint64_t trials() const { return trials_; }

 private:
  // Kept until the item has been seen as of the present era of the store, which alone tells that
  // others see it too.
  struct PendingEnd {
    Instant since;
    std::string witness;   // The node that saw the end.
    Instant not_before{};  // It is not written earlier.
    bool writing = false;
    store::Revision written = 0;  // Acknowledged with this revision; zero: to be written.
    store::Revision seen = 0;     // The latest that came of its item while it was written.
    bool broadcast = false;       // To the other nodes, in place of the store.
  };

  // Writes what is not in the store yet.
  void WritePending();
  void WriteEnds();
  void WriteReleases();
  void WriteEnd(const std::string& worker_id, const std::string& witness);
  void OnEndWritten(const WorkerEnd& end, store::Revision revision);
  void OnEndNotWritten(const std::string& worker_id);
  void BroadcastEnd(const std::string& worker_id, PendingEnd* pending);
  void AddPendingEnd(const std::string& worker_id, const PendingEnd& pending);
  // All requests of the end that are known here are in `end`.
  bool IsComplete(const WorkerEnd& end) const;
  // The store's item of an end.
  void ApplyEndItem(const store::Item& item, const WorkerEnd& end);
  // Counts the ends that broken attempts tell of, once the node beside the worker had its time.
  void CountWitnessedEnds();
  // Calls back with a lease of the present era that lasts for minutes, or with zero when there is
  // none to be had.
  void WithLease(std::function<void(store::LeaseId)> callback);
  // Calls back with whether the change was made.
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
  std::map<std::string, PendingEnd> pending_ends_;  // By worker.
  std::map<std::string, std::string> end_items_;    // Worker, by key of the item in the store.
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
  std::map<RequestFingerprint, LeaseRenewal> lease_renewals_;  // Of those in quarantine.
  Instant no_trials_until_{};  // The store did not answer the latest one in time.
  uint64_t refusals_ = 0;
  uint64_t trials_ = 0;
};

}  // namespace runshelf::sidecar
