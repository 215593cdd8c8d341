#include "source/table/edit_transaction.h"

#include <utility>

namespace runshelf::table {
namespace {

// Whether the call may succeed when it is repeated soon.
bool IsTransient(const absl::Status& status) {
  return absl::IsUnknown(status) || absl::IsResourceExhausted(status);
}

}  // namespace

EditTransaction::EditTransaction(infrastructure::KeyValueStore& store, Random& random,
                                 const WaitFunction& wait, const TableEditorOptions& options,
                                 EditRecord record,
                                 std::vector<infrastructure::Condition> conditions,
                                 std::vector<infrastructure::Write> writes)
    : store_(store),
      wait_(wait),
      max_attempts_(options.max_attempts),
      backoff_(options.first_backoff, options.longest_backoff, random),
      record_(std::move(record)),
      conditions_(std::move(conditions)),
      writes_(std::move(writes)) {}

TransactionResult EditTransaction::Run() {
  const absl::Status lease_status = GrantLease();
  if (!lease_status.ok()) return {TransactionOutcome::kNotAccepted, 0, lease_status};
  const std::string record_key = EditRecordKey(record_.edit_id);
  conditions_.push_back({record_key, 0});
  writes_.push_back({record_key, EncodeEditRecord(record_), lease_});
  TransactionResult result = Send();
  const bool lease_unused = !may_be_under_way_ && result.outcome != TransactionOutcome::kApplied;
  // The lease lapses by itself if this fails.
  if (lease_unused) store_.RevokeLease(lease_).IgnoreError();
  return result;
}

absl::Status EditTransaction::GrantLease() {
  absl::Status status;
  for (int attempt = 0; attempt < max_attempts_; ++attempt) {
    if (attempt > 0) wait_(backoff_.Next());
    const absl::StatusOr<int64_t> lease = store_.GrantLease(kEditRecordLifetime);
    if (lease.ok()) {
      lease_ = *lease;
      return absl::OkStatus();
    }
    status = lease.status();
    // A lease whose grant was not answered is unused and lapses by itself.
    if (!IsTransient(status)) return status;
  }
  return status;
}

TransactionResult EditTransaction::Send() {
  absl::Status last_error;
  for (int attempt = 0; attempt < max_attempts_; ++attempt) {
    if (attempt > 0) wait_(backoff_.Next());
    const absl::StatusOr<infrastructure::CommitResult> answer = store_.Commit(conditions_, writes_);
    const std::optional<TransactionResult> result = HandleAnswer(answer);
    if (result.has_value()) return *result;
    last_error = answer.status();
  }
  return GiveUp(TransactionOutcome::kNotAccepted, last_error);
}

// Returns the outcome, or nullopt when the same transaction is to be sent again.
std::optional<TransactionResult> EditTransaction::HandleAnswer(
    const absl::StatusOr<infrastructure::CommitResult>& answer) {
  if (answer.ok() && answer->succeeded) {
    return TransactionResult{TransactionOutcome::kApplied, answer->revision, absl::OkStatus()};
  }
  if (answer.ok()) return GiveUp(TransactionOutcome::kConditionsFailed, absl::OkStatus());
  const absl::Status& status = answer.status();
  if (!absl::IsUnknown(status)) {
    const bool try_again =
        IsTransient(status) || (may_be_under_way_ && absl::IsUnavailable(status));
    if (try_again) return std::nullopt;
    return GiveUp(TransactionOutcome::kNotAccepted, status);
  }
  may_be_under_way_ = true;
  const absl::StatusOr<std::optional<EditRecord>> record = ReadRecord();
  if (!record.ok()) {
    return TransactionResult{TransactionOutcome::kUndetermined, 0, record.status()};
  }
  if (!record->has_value()) return std::nullopt;
  return FromRecord(**record, TransactionOutcome::kNotAccepted, status);
}

// Reports `outcome`, after making sure that no sending can take effect any more.
TransactionResult EditTransaction::GiveUp(TransactionOutcome outcome, const absl::Status& status) {
  if (!may_be_under_way_) return {outcome, 0, status};
  absl::Status last_error = status;
  for (int attempt = 0; attempt < max_attempts_; ++attempt) {
    if (attempt > 0) wait_(backoff_.Next());
    const absl::StatusOr<std::optional<EditRecord>> record = ReadRecord();
    if (!record.ok()) return {TransactionOutcome::kUndetermined, 0, record.status()};
    if (record->has_value()) return FromRecord(**record, outcome, status);
    last_error = WriteRefusal();
    if (last_error.ok()) return {outcome, 0, status};
  }
  return {TransactionOutcome::kUndetermined, 0, last_error};
}

// Reads the record of this edit; nullopt when there is none.
absl::StatusOr<std::optional<EditRecord>> EditTransaction::ReadRecord() {
  const std::string key = EditRecordKey(record_.edit_id);
  absl::Status status;
  for (int attempt = 0; attempt < max_attempts_; ++attempt) {
    if (attempt > 0) wait_(backoff_.Next());
    const absl::StatusOr<infrastructure::RangeResult> range = store_.Range(key);
    if (!range.ok()) {
      status = range.status();
      continue;
    }
    if (range->key_values.empty()) return std::optional<EditRecord>();
    const absl::StatusOr<EditRecord> record = DecodeEditRecord(range->key_values.front());
    if (!record.ok()) return record.status();
    return std::optional<EditRecord>(*record);
  }
  return status;
}

TransactionResult EditTransaction::FromRecord(const EditRecord& record,
                                              TransactionOutcome if_refused,
                                              const absl::Status& status) const {
  if (record.refused) return {if_refused, 0, status};
  return {TransactionOutcome::kApplied, record.revision, absl::OkStatus()};
}

// Takes the place of the record. OK: this edit can no longer take effect.
absl::Status EditTransaction::WriteRefusal() {
  EditRecord refusal = record_;
  refusal.refused = true;
  const std::string key = EditRecordKey(record_.edit_id);
  const absl::StatusOr<infrastructure::CommitResult> answer =
      store_.Commit({{key, 0}}, {{key, EncodeEditRecord(refusal), lease_}});
  if (!answer.ok()) return answer.status();
  if (!answer->succeeded) return absl::AbortedError("the record of the edit exists already");
  return absl::OkStatus();
}

}  // namespace runshelf::table
