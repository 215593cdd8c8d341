#include "source/sidecar/request_quarantine.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "source/sidecar/part_configs.h"

namespace runshelf::sidecar {
namespace {

// The longest lease that the store grants. The quarantine of a request that no client sends for
// this long expires.
constexpr Duration kItemLifetime = std::chrono::minutes(10);
// One lease is shared by the terminations of this period, so that each record lasts for at least
// half of the lifetime.
constexpr Duration kLeaseReuse = kItemLifetime / 2;
// The lease of a quarantine item is renewed while clients still send the request. Random times
// spread the renewals of many nodes.
constexpr Duration kRenewMin = std::chrono::minutes(3);
constexpr Duration kRenewMax = std::chrono::minutes(6);
constexpr Duration kWriteRetry = std::chrono::milliseconds(250);
// A write takes 10 to 40 ms, and one that is not answered up to 1.8 s. Until then only this node
// would know of the termination.
constexpr Duration kBroadcastDelay = std::chrono::milliseconds(250);
// The watch normally delivers a change back to its writer within this time. If it has not, other
// nodes may not have received it either.
constexpr Duration kWatchDelay = std::chrono::seconds(1);
// Nodes that received the same termination directly write it at different times: once the first
// item arrives, the others need not write theirs.
constexpr Duration kReceivedWriteDelayMin = std::chrono::milliseconds(250);
constexpr Duration kReceivedWriteDelayMax = std::chrono::milliseconds(1500);
// Interval between checks of interrupted attempts.
constexpr Duration kWitnessInterval = std::chrono::milliseconds(250);
// Retry delay while the request is already running in the target worker: its typical run time.
constexpr Duration kInFlightRetryAfter = std::chrono::milliseconds(150);
// Longer than typical store outages. This node still applies the termination after the time-out.
constexpr Duration kWriteTimeout = std::chrono::seconds(60);
// Counting a trial takes two calls to the store of 10 to 40 ms each. A store that stopped answering
// is detected only after up to 3.6 s, which is too long for a client to wait.
constexpr Duration kTrialDecisionTimeout = std::chrono::milliseconds(300);
// Retry delay of clients that were refused because a trial had just started: it is over by then.
constexpr Duration kTrialRetryAfter = std::chrono::milliseconds(150);
// Minimum retry delay while trials cannot be counted: store outages last for seconds.
constexpr Duration kStoreUnavailableRetryAfter = std::chrono::seconds(1);
// Retry delay of requests for which no further trial will start.
constexpr Duration kLongRetryAfter = std::chrono::seconds(30);
constexpr int kMaxReleaseAttempts = 4;
// The store accepts keys of up to 200 bytes.
constexpr size_t kMaxKeyBytes = 190;

// Each witness of a termination writes an item of its own, so that no node overwrites the requests
// that another one recorded.
std::string EndKey(const std::string& worker_id, const std::string& witness) {
  return KeyOf(kWorkerEndPrefix, worker_id + "/" + witness).substr(0, kMaxKeyBytes);
}

std::string QuarantineKey(const RequestFingerprint& request) {
  return KeyOf(kQuarantinePrefix, request.ToString());
}

}  // namespace

RequestQuarantine::RequestQuarantine(event::EventLoop& loop, store::StoreClient& store,
                                     const WireFormat& wire, Random& random, LogWriter& log,
                                     std::string node)
    : loop_(loop),
      store_(store),
      random_(random),
      log_(log),
      node_(std::move(node)),
      unresolved_([&wire](const std::string& worker_id, const std::string& other) {
        return worker_id == other || worker_id == wire.StatedIdentity(other) ||
               other == wire.StatedIdentity(worker_id);
      }),
      witness_timer_(loop, [this] { CountWitnessedEnds(); }),
      write_timer_(loop, [this] { WritePending(); }) {}

bool RequestQuarantine::IsItemKey(const std::string& key) {
  return key.starts_with(kWorkerEndPrefix) || key.starts_with(kQuarantinePrefix);
}

bool RequestQuarantine::OnItem(const store::Item& item) {
  if (item.key.starts_with(kWorkerEndPrefix)) {
    const auto end = WorkerEnd::Parse(item.value);
    if (!end.has_value() || EndKey(end->worker_id, end->node) != item.key) return false;
    ApplyEndItem(item, *end);
    return true;
  }
  const auto request = RequestFingerprint::Parse(NameAfter(item.key, kQuarantinePrefix));
  const auto quarantine = QuarantineItem::Parse(item.value);
  if (!request.has_value() || !quarantine.has_value()) return false;
  ApplyQuarantineItem(*request, *quarantine, item);
  return true;
}

void RequestQuarantine::ApplyEnd(const WorkerEnd& end) {
  for (const RequestFingerprint& request : record_.OnWorkerEnd(end.worker_id, end.requests)) {
    log_.Write(LogLevel::kWarning, "request_quarantined",
               {{"fingerprint", request.ToString()},
                {"ends", record_.Ends(request)},
                {"workers", absl::StrJoin(record_.WorkersOf(request), ",")},
                {"latest_beside", end.node}});
  }
}

void RequestQuarantine::ApplyQuarantineItem(const RequestFingerprint& request,
                                            const QuarantineItem& item, const store::Item& stored) {
  record_.OnQuarantine(loop_.Now(), request, item, stored.revision);
  log_.Write(LogLevel::kWarning, item.released ? "request_released" : "request_in_quarantine",
             {{"fingerprint", request.ToString()},
              {"asks", item.description},
              {"trials", item.trials},
              {"workers", absl::StrJoin(item.worker_ids, ",")},
              {"revision", store::RevisionText(stored.revision)}});
  if (item.released) {
    lease_renewals_.erase(request);
    return;
  }
  lease_renewals_[request] = {stored.lease, loop_.Now() + random_.Between(kRenewMin, kRenewMax)};
  if (record_.KnownGood(request)) Release(request);
}

bool RequestQuarantine::IsComplete(const WorkerEnd& end) const {
  return record_.RequestsOf(end.worker_id).size() == end.requests.size();
}

void RequestQuarantine::ApplyEndItem(const store::Item& item, const WorkerEnd& end) {
  ApplyEnd(end);
  end_items_[item.key] = end.worker_id;
  const auto found = pending_ends_.find(end.worker_id);
  if (found == pending_ends_.end()) return;
  PendingEnd& pending = found->second;
  const bool own = item.key == EndKey(end.worker_id, pending.witness);
  if (pending.writing) {
    // The response to the write tells whether this item is the one written.
    if (own) pending.seen = item.revision;
    return;
  }
  // The item was written by this node or by another one.
  if (IsComplete(end)) {
    pending_ends_.erase(found);
  } else if (own && item.revision >= pending.written) {
    // Further requests of this termination became known after the write.
    pending.written = 0;
  }
}

void RequestQuarantine::OnRemoved(const std::string& key) {
  if (key.starts_with(kWorkerEndPrefix)) {
    const auto item = end_items_.find(key);
    if (item == end_items_.end()) return;
    const std::string worker_id = item->second;
    end_items_.erase(item);
    const bool another = std::any_of(end_items_.begin(), end_items_.end(),
                                     [&](const auto& entry) { return entry.second == worker_id; });
    if (!another) record_.OnWorkerEndLapsed(worker_id);
    return;
  }
  const auto request = RequestFingerprint::Parse(NameAfter(key, kQuarantinePrefix));
  if (!request.has_value()) return;
  lease_renewals_.erase(*request);
  record_.OnQuarantineLapsed(*request);
  log_.Write(LogLevel::kInfo, "quarantine_lapsed", {{"fingerprint", request->ToString()}});
}

void RequestQuarantine::OnStoreRestored() {
  lease_ = 0;
  for (auto& [request, seen] : lease_renewals_) seen.lease = 0;
  for (auto& [worker_id, pending] : pending_ends_) pending.written = 0;
  WritePending();
}

void RequestQuarantine::OnWorkerEnded(const std::string& worker_id,
                                      const std::vector<InterruptedRequest>& in_flight) {
  WorkerEnd end{worker_id, node_, {}};
  for (const InterruptedRequest& request : in_flight) end.requests.push_back(request.fingerprint);
  ApplyEnd(end);
  AddPendingEnd(worker_id, {loop_.Now(), node_});
}

void RequestQuarantine::AddPendingEnd(const std::string& worker_id, const PendingEnd& pending) {
  pending_ends_.try_emplace(worker_id, pending);
  WritePending();
}

void RequestQuarantine::OnAttemptInterrupted(const std::string& node, const std::string& worker_id,
                                             const RequestFingerprint& request) {
  unresolved_.Add(loop_.Now(), {node, worker_id, request});
  if (!witness_timer_.active()) witness_timer_.Start(kWitnessInterval);
}

void RequestQuarantine::OnWorkerAt(const std::string& node, const std::string& worker_id) {
  unresolved_.OnWorkerAt(loop_.Now(), node, worker_id);
}

// The local node of a worker normally records a termination within 50 ms. This handles terminations
// after which that node was gone too.
void RequestQuarantine::CountWitnessedEnds() {
  for (const UnresolvedAttempts::Attempt& attempt : unresolved_.TakeEnded(loop_.Now())) {
    const auto known = record_.RequestsOf(attempt.worker_id);
    if (std::find(known.begin(), known.end(), attempt.request) != known.end()) continue;
    log_.Write(LogLevel::kWarning, "worker_end_witnessed",
               {{"worker", attempt.worker_id},
                {"beside", attempt.node},
                {"fingerprint", attempt.request.ToString()}});
    ApplyEnd({attempt.worker_id, node_, {attempt.request}});
    AddPendingEnd(attempt.worker_id, {loop_.Now(), node_});
  }
  if (!unresolved_.empty()) witness_timer_.Start(kWitnessInterval);
}

void RequestQuarantine::WritePending() {
  WriteEnds();
  WriteReleases();
}

void RequestQuarantine::WriteEnds() {
  const Instant now = loop_.Now();
  for (auto entry = pending_ends_.begin(); entry != pending_ends_.end();) {
    PendingEnd& pending = entry->second;
    const bool written = pending.written != 0;
    if (now - pending.since > kWriteTimeout) {
      if (!written) {
        log_.Write(LogLevel::kError, "worker_end_not_told", {{"worker", entry->first}});
      }
      entry = pending_ends_.erase(entry);
      continue;
    }
    const Duration broadcast_after = written ? kWatchDelay : kBroadcastDelay;
    const bool waits = pending.writing || written;
    if (waits && now - pending.since >= broadcast_after) BroadcastEnd(entry->first, &pending);
    if (!waits && now >= pending.not_before) {
      pending.writing = true;
      WriteEnd(entry->first, pending.witness);
    }
    ++entry;
  }
  if (!pending_ends_.empty()) write_timer_.Start(kWriteRetry);
}

void RequestQuarantine::WriteEnd(const std::string& worker_id, const std::string& witness) {
  WithLease([this, worker_id, witness](store::LeaseId lease) {
    if (lease == 0) return OnEndNotWritten(worker_id);
    const WorkerEnd end{worker_id, witness, record_.RequestsOf(worker_id)};
    const std::string key = EndKey(worker_id, witness);
    store::Transaction transaction;
    transaction.purpose = "worker_end";
    transaction.puts.push_back({key, end.Serialize(), lease});
    store_.Commit(transaction, [this, end](absl::StatusOr<store::CommitResult> result) {
      if (!result.ok() || result->outcome != store::CommitOutcome::kCommitted) {
        if (result.ok()) lease_ = 0;
        return OnEndNotWritten(end.worker_id);
      }
      OnEndWritten(end, result->revision);
    });
  });
}

void RequestQuarantine::OnEndWritten(const WorkerEnd& end, store::Revision revision) {
  const auto found = pending_ends_.find(end.worker_id);
  if (found == pending_ends_.end()) return;
  PendingEnd& pending = found->second;
  pending.writing = false;
  // Written again if the store was restored in the meantime, or if further requests of this
  // termination became known.
  if (store::EraOf(revision) < store_.era() || !IsComplete(end)) return;
  pending.written = revision;
  if (pending.seen >= revision) pending_ends_.erase(found);
}

void RequestQuarantine::OnEndNotWritten(const std::string& worker_id) {
  const auto pending = pending_ends_.find(worker_id);
  if (pending == pending_ends_.end()) return;
  pending->second.writing = false;
  BroadcastEnd(worker_id, &pending->second);
  if (pending->second.witness == node_) return;
  pending->second.not_before =
      loop_.Now() + random_.Between(kReceivedWriteDelayMin, kReceivedWriteDelayMax);
}

void RequestQuarantine::BroadcastEnd(const std::string& worker_id, PendingEnd* pending) {
  if (std::exchange(pending->broadcast, true) || !broadcast_end_) return;
  const WorkerEnd end{worker_id, pending->witness, record_.RequestsOf(worker_id)};
  broadcast_end_(end.Serialize());
}

bool RequestQuarantine::OnBroadcastEnd(const std::string& message, bool write) {
  const auto end = WorkerEnd::Parse(message);
  if (!end.has_value()) return false;
  ApplyEnd(*end);
  if (!write) return true;
  const Instant now = loop_.Now();
  PendingEnd pending{now, end->node,
                     now + random_.Between(kReceivedWriteDelayMin, kReceivedWriteDelayMax)};
  pending.broadcast = true;
  AddPendingEnd(end->worker_id, pending);
  return true;
}

void RequestQuarantine::WithLease(std::function<void(store::LeaseId)> callback) {
  if (lease_ != 0 && loop_.Now() - lease_taken_at_ < kLeaseReuse) {
    callback(lease_);
    return;
  }
  const Instant asked = loop_.Now();
  store_.GrantLease(kItemLifetime, [this, asked, callback = std::move(callback)](
                                       absl::StatusOr<store::Lease> lease) {
    const bool present = lease.ok() && lease->era == store_.era();
    if (present) {
      lease_ = lease->id;
      lease_taken_at_ = asked;
    }
    callback(present ? lease->id : 0);
  });
}

Duration RequestQuarantine::OnRefused(const RequestFingerprint& request) {
  ++refusals_;
  const auto seen = lease_renewals_.find(request);
  if (seen != lease_renewals_.end() && seen->second.lease != 0 &&
      loop_.Now() >= seen->second.renew_at) {
    seen->second.renew_at = loop_.Now() + random_.Between(kRenewMin, kRenewMax);
    store_.KeepLease(seen->second.lease, [this, request](const absl::Status& status) {
      if (status.ok()) return;
      log_.Write(LogLevel::kInfo, "quarantine_not_renewed",
                 {{"fingerprint", request.ToString()}, {"reason", std::string(status.message())}});
    });
  }
  if (!record_.IsQuarantined(request)) return kInFlightRetryAfter;
  const Duration until = record_.UntilTrial(loop_.Now(), request).value_or(kLongRetryAfter);
  return std::max(until, CanCountTrials() ? kTrialRetryAfter : kStoreUnavailableRetryAfter);
}

void RequestQuarantine::BeginTrial(const RequestFingerprint& request,
                                   const std::string& description,
                                   const std::function<void(bool granted)>& callback) {
  CrashRecord::Change change = record_.BeginTrial(request);
  change.item.description = description;
  const auto decided = std::make_shared<bool>(false);
  const auto timer = std::make_shared<event::Timer>(loop_, [this, decided, callback] {
    *decided = true;
    no_trials_until_ = loop_.Now() + kStoreUnavailableRetryAfter;
    callback(false);
  });
  timer->Start(kTrialDecisionTimeout);
  Commit(request, change, [this, request, decided, timer, callback](bool committed) {
    timer->Stop();
    if (std::exchange(*decided, true)) {
      // The trial was counted after the time-out, when its client had already been refused.
      if (committed) ReturnTrial(request);
      return;
    }
    if (committed) ++trials_;
    callback(committed);
  });
}

void RequestQuarantine::ReturnTrial(const RequestFingerprint& request) {
  Commit(request, record_.ReturnTrial(request), [](bool) {});
}

void RequestQuarantine::OnGoodRun(const RequestFingerprint& request) {
  if (record_.OnGoodRun(request)) Release(request);
}

void RequestQuarantine::Release(const RequestFingerprint& request) {
  pending_releases_.try_emplace(request, PendingRelease{kMaxReleaseAttempts, false});
  WritePending();
}

// A trial that another node starts concurrently makes the commit fail; the release is then retried.
void RequestQuarantine::WriteReleases() {
  for (auto entry = pending_releases_.begin(); entry != pending_releases_.end();) {
    const RequestFingerprint request = entry->first;
    PendingRelease& release = entry->second;
    ++entry;
    if (release.writing) continue;
    if (release.attempts_left-- == 0 || !record_.KnownGood(request) ||
        record_.ReleaseIsKnown(request)) {
      pending_releases_.erase(request);
      continue;
    }
    release.writing = true;
    Commit(request, record_.Release(request), [this, request](bool committed) {
      const auto found = pending_releases_.find(request);
      if (found == pending_releases_.end()) return;
      found->second.writing = false;
      if (committed) {
        pending_releases_.erase(found);
      } else {
        write_timer_.Start(kWriteRetry);
      }
    });
  }
}

void RequestQuarantine::Commit(const RequestFingerprint& request, const CrashRecord::Change& change,
                               std::function<void(bool)> callback) {
  // Each quarantine item has its own lease, which is renewed while clients still send the request.
  store_.GrantLease(kItemLifetime, [this, request, change, callback = std::move(callback)](
                                       absl::StatusOr<store::Lease> lease) {
    if (!lease.ok() || lease->era != store_.era()) return callback(false);
    const std::string key = QuarantineKey(request);
    store::Transaction transaction;
    transaction.purpose = "quarantine";
    transaction.conditions.push_back({key, change.expected});
    transaction.puts.push_back({key, change.item.Serialize(), lease->id});
    store_.Commit(transaction, [this, request, change, key, lease = lease->id,
                                callback](absl::StatusOr<store::CommitResult> result) {
      if (!result.ok()) return callback(false);
      if (result->outcome != store::CommitOutcome::kCommitted) {
        for (const store::Item& found : result->found) OnItem(found);
        return callback(false);
      }
      const store::Item item{key, change.item.Serialize(), result->revision, lease};
      if (on_written_) on_written_(item);
      OnItem(item);
      callback(true);
    });
  });
}

}  // namespace runshelf::sidecar
