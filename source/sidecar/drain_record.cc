#include "source/sidecar/drain_record.h"

#include <utility>

namespace runshelf::sidecar {
namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

}  // namespace

DrainRecord::DrainRecord(event::EventLoop& loop, store::StoreClient& store, std::string key,
                         Observer observer)
    : store_(store),
      key_(std::move(key)),
      observer_(std::move(observer)),
      retry_timer_(loop, [this] { WriteUntilRecorded(); }) {}

void DrainRecord::OnRecord(const std::string& worker_id, store::Revision revision) {
  if (revision < revision_) return;
  worker_id_ = worker_id;
  revision_ = revision;
  observer_.on_record();
}

void DrainRecord::Write(const std::string& worker_id, std::function<void(bool recorded)> callback) {
  if (worker_id_ == worker_id) {
    callback(true);
    return;
  }
  store::Transaction transaction;
  transaction.purpose = "drain_record";
  transaction.conditions.push_back({key_, revision_});
  transaction.puts.push_back({key_, worker_id, 0});
  store_.Commit(transaction, [this, worker_id, callback = std::move(callback)](
                                 absl::StatusOr<store::CommitResult> result) {
    if (!result.ok()) {
      callback(false);
      return;
    }
    if (result->outcome == store::CommitOutcome::kCommitted) {
      OnRecord(worker_id, result->revision);
      callback(true);
      return;
    }
    // Another write came first, perhaps an earlier attempt of this one whose response was lost.
    revision_ = 0;
    worker_id_.clear();
    for (const store::Item& item : result->found) OnRecord(item.value, item.revision);
    Write(worker_id, callback);
  });
}

void DrainRecord::WriteUntilRecorded() {
  const std::string worker_id = observer_.leaving_worker();
  if (worker_id.empty()) return;
  worker_id_.clear();
  Write(worker_id, [this](bool recorded) {
    if (!recorded) retry_timer_.Start(kRetryInterval);
  });
}

}  // namespace runshelf::sidecar
