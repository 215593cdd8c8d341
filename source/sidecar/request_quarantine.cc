#include "source/sidecar/request_quarantine.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "source/sidecar/part_configs.h"

namespace runshelf::sidecar {
namespace {

// The longest that the store grants. What nobody sends any more for this long is let go.
constexpr Duration kItemLifetime = std::chrono::minutes(10);
// One lease serves the ends of some time: each end then lasts half of the lifetime at least.
constexpr Duration kLeaseReuse = kItemLifetime / 2;
// While a request in quarantine is still sent, its item is kept; by many nodes, at different times.
constexpr Duration kRenewMin = std::chrono::minutes(3);
constexpr Duration kRenewMax = std::chrono::minutes(6);
constexpr Duration kWriteRetry = std::chrono::milliseconds(250);
// Longer than the store is away on bad days; the end is known at this node all the same.
constexpr Duration kWriteGivenUp = std::chrono::seconds(60);
// Callers of a request that no trial will be made of are told the longest.
constexpr Duration kLongRetryAfter = std::chrono::seconds(30);
constexpr int kReleaseTries = 4;
// The store takes keys of up to 200 bytes.
constexpr size_t kMaxKeyBytes = 190;

std::string EndKey(const std::string& worker_id) {
  return KeyOf(kWorkerEndPrefix, worker_id).substr(0, kMaxKeyBytes);
}

std::string QuarantineKey(const RequestFingerprint& request) {
  return KeyOf(kQuarantinePrefix, request.ToString());
}

}  // namespace

RequestQuarantine::RequestQuarantine(event::EventLoop& loop, store::StoreClient& store,
                                     Random& random, LogWriter& log, std::string node)
    : loop_(loop),
      store_(store),
      random_(random),
      log_(log),
      node_(std::move(node)),
      write_timer_(loop, [this] { WritePending(); }) {}

bool RequestQuarantine::IsItemKey(const std::string& key) {
  return key.starts_with(kWorkerEndPrefix) || key.starts_with(kQuarantinePrefix);
}

bool RequestQuarantine::OnItem(const store::Item& item) {
  if (item.key.starts_with(kWorkerEndPrefix)) {
    const auto end = WorkerEnd::Parse(item.value);
    if (!end.has_value() || EndKey(end->worker_id) != item.key) return false;
    TakeEnd(*end);
    return true;
  }
  const auto request = RequestFingerprint::Parse(NameAfter(item.key, kQuarantinePrefix));
  const auto quarantine = QuarantineItem::Parse(item.value);
  if (!request.has_value() || !quarantine.has_value()) return false;
  TakeQuarantineItem(*request, *quarantine, item);
  return true;
}

void RequestQuarantine::TakeEnd(const WorkerEnd& end) {
  for (const RequestFingerprint& request : record_.OnWorkerEnd(end.worker_id, end.requests)) {
    log_.Write(LogLevel::kWarning, "request_quarantined",
               {{"fingerprint", request.ToString()},
                {"ends", record_.Ends(request)},
                {"workers", absl::StrJoin(record_.WorkersOf(request), ",")},
                {"latest_beside", end.node}});
  }
}

void RequestQuarantine::TakeQuarantineItem(const RequestFingerprint& request,
                                           const QuarantineItem& item, const store::Item& stored) {
  record_.OnQuarantine(loop_.Now(), request, item, stored.revision);
  log_.Write(LogLevel::kWarning, item.released ? "request_released" : "request_in_quarantine",
             {{"fingerprint", request.ToString()},
              {"asks", item.description},
              {"trials", item.trials},
              {"workers", absl::StrJoin(item.worker_ids, ",")},
              {"revision", stored.revision}});
  if (item.released) {
    seen_.erase(request);
    return;
  }
  seen_[request] = {stored.lease, loop_.Now() + random_.Between(kRenewMin, kRenewMax)};
  if (record_.KnownGood(request)) Release(request);
}

void RequestQuarantine::OnRemoved(const std::string& key) {
  if (key.starts_with(kWorkerEndPrefix)) {
    record_.OnWorkerEndLapsed(NameAfter(key, kWorkerEndPrefix));
    return;
  }
  const auto request = RequestFingerprint::Parse(NameAfter(key, kQuarantinePrefix));
  if (!request.has_value()) return;
  seen_.erase(*request);
  record_.OnQuarantineLapsed(*request);
  log_.Write(LogLevel::kInfo, "quarantine_lapsed", {{"fingerprint", request->ToString()}});
}

void RequestQuarantine::OnWorkerEnded(const std::string& worker_id,
                                      const std::vector<InterruptedRequest>& at_work) {
  WorkerEnd end{worker_id, node_, {}};
  for (const InterruptedRequest& request : at_work) end.requests.push_back(request.fingerprint);
  TakeEnd(end);
  pending_ends_.try_emplace(worker_id, PendingEnd{loop_.Now()});
  WritePending();
}

void RequestQuarantine::WritePending() {
  WriteEnds();
  WriteReleases();
}

void RequestQuarantine::WriteEnds() {
  for (auto entry = pending_ends_.begin(); entry != pending_ends_.end();) {
    if (loop_.Now() - entry->second.since > kWriteGivenUp) {
      log_.Write(LogLevel::kError, "worker_end_not_told", {{"worker", entry->first}});
      entry = pending_ends_.erase(entry);
      continue;
    }
    if (!std::exchange(entry->second.writing, true)) WriteEnd(entry->first);
    ++entry;
  }
}

void RequestQuarantine::WriteEnd(const std::string& worker_id) {
  WithLease([this, worker_id](store::LeaseId lease) {
    if (lease == 0) return OnEndNotWritten(worker_id);
    const WorkerEnd end{worker_id, node_, record_.RequestsOf(worker_id)};
    store::Transaction transaction;
    transaction.puts.push_back({EndKey(worker_id), end.Serialize(), lease});
    const size_t written = end.requests.size();
    store_.Commit(transaction,
                  [this, worker_id, written](absl::StatusOr<store::CommitResult> result) {
                    if (!result.ok() || result->outcome != store::CommitOutcome::kCommitted) {
                      if (result.ok()) lease_ = 0;
                      return OnEndNotWritten(worker_id);
                    }
                    pending_ends_.erase(worker_id);
                    // More of its requests may have been told of meanwhile.
                    if (record_.RequestsOf(worker_id).size() == written) return;
                    pending_ends_.try_emplace(worker_id, PendingEnd{loop_.Now()});
                    write_timer_.Start(kWriteRetry);
                  });
  });
}

void RequestQuarantine::OnEndNotWritten(const std::string& worker_id) {
  write_timer_.Start(kWriteRetry);
  const auto pending = pending_ends_.find(worker_id);
  if (pending == pending_ends_.end()) return;
  pending->second.writing = false;
  if (std::exchange(pending->second.told, true) || !tell_others_) return;
  tell_others_(WorkerEnd{worker_id, node_, record_.RequestsOf(worker_id)}.Serialize());
}

bool RequestQuarantine::OnToldEnd(const std::string& message) {
  const auto end = WorkerEnd::Parse(message);
  if (end.has_value()) TakeEnd(*end);
  return end.has_value();
}

void RequestQuarantine::WithLease(std::function<void(store::LeaseId)> callback) {
  if (lease_ != 0 && loop_.Now() - lease_taken_at_ < kLeaseReuse) {
    callback(lease_);
    return;
  }
  const Instant asked = loop_.Now();
  store_.GrantLease(kItemLifetime, [this, asked, callback = std::move(callback)](
                                       absl::StatusOr<store::Lease> lease) {
    if (lease.ok()) {
      lease_ = lease->id;
      lease_taken_at_ = asked;
    }
    callback(lease.ok() ? lease->id : 0);
  });
}

Duration RequestQuarantine::OnRefused(const RequestFingerprint& request) {
  ++refusals_;
  const auto seen = seen_.find(request);
  if (seen != seen_.end() && seen->second.lease != 0 && loop_.Now() >= seen->second.renew_at) {
    seen->second.renew_at = loop_.Now() + random_.Between(kRenewMin, kRenewMax);
    store_.KeepLease(seen->second.lease, [this, request](const absl::Status& status) {
      if (status.ok()) return;
      log_.Write(LogLevel::kInfo, "quarantine_not_renewed",
                 {{"fingerprint", request.ToString()}, {"reason", std::string(status.message())}});
    });
  }
  const Duration until = record_.UntilTrial(loop_.Now(), request).value_or(kLongRetryAfter);
  return std::max<Duration>(until, std::chrono::milliseconds(1));
}

void RequestQuarantine::BeginTrial(const RequestFingerprint& request,
                                   const std::string& description,
                                   std::function<void(bool granted)> callback) {
  CrashRecord::Change change = record_.BeginTrial(request);
  change.item.description = description;
  Commit(request, change, [this, request, callback = std::move(callback)](bool committed) {
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
  pending_releases_.try_emplace(request, PendingRelease{kReleaseTries, false});
  WritePending();
}

// Another node may begin a trial at the same time: its change comes first, and the release again.
void RequestQuarantine::WriteReleases() {
  for (auto entry = pending_releases_.begin(); entry != pending_releases_.end();) {
    const RequestFingerprint request = entry->first;
    PendingRelease& release = entry->second;
    ++entry;
    if (release.writing) continue;
    if (release.tries_left-- == 0 || !record_.KnownGood(request)) {
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
  // A lease of its own: it is kept while the request is still sent.
  store_.GrantLease(kItemLifetime, [this, request, change, callback = std::move(callback)](
                                       absl::StatusOr<store::Lease> lease) {
    if (!lease.ok()) return callback(false);
    const std::string key = QuarantineKey(request);
    store::Transaction transaction;
    transaction.conditions.push_back({key, change.expected});
    transaction.puts.push_back({key, change.item.Serialize(), lease->id});
    store_.Commit(transaction, [this, request, change, key, lease = lease->id,
                                callback](absl::StatusOr<store::CommitResult> result) {
      if (!result.ok()) return callback(false);
      if (result->outcome != store::CommitOutcome::kCommitted) {
        for (const store::Item& found : result->found) OnItem(found);
        return callback(false);
      }
      OnItem({key, change.item.Serialize(), result->revision, lease});
      callback(true);
    });
  });
}

}  // namespace runshelf::sidecar
