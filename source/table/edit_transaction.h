// Carries one conditional transaction to a certain outcome, although answers may be lost.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

#include "runshelf/infrastructure/key_value_store.h"
#include "runshelf/table/store_records.h"
#include "runshelf/table/table_editor.h"
#include "source/table/backoff.h"

namespace runshelf::table {

enum class TransactionOutcome {
  kApplied,           // At `revision`.
  kConditionsFailed,  // Certainly not applied and never will be.
  kNotAccepted,       // Certainly not applied and never will be: `status` says why.
  kUndetermined,      // `status` says why nothing could be found out.
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::kUndetermined;
  int64_t revision = 0;
  absl::Status status;
};

class EditTransaction {
 public:
  // `conditions` and `writes` concern the cells; the record's are added here.
  EditTransaction(infrastructure::KeyValueStore& store, Random& random, const WaitFunction& wait,
                  const TableEditorOptions& options, EditRecord record,
                  std::vector<infrastructure::Condition> conditions,
                  std::vector<infrastructure::Write> writes);

  TransactionResult Run();

 private:
  absl::Status GrantLease();
  TransactionResult Send();
  std::optional<TransactionResult> HandleAnswer(
      const absl::StatusOr<infrastructure::CommitResult>& answer);
  TransactionResult GiveUp(TransactionOutcome outcome, const absl::Status& status);
  absl::StatusOr<std::optional<EditRecord>> ReadRecord();
  TransactionResult FromRecord(const EditRecord& record, TransactionOutcome if_refused,
                               const absl::Status& status) const;
  absl::Status WriteRefusal();

  infrastructure::KeyValueStore& store_;
  const WaitFunction& wait_;
  int max_attempts_;
  Backoff backoff_;
  EditRecord record_;
  std::vector<infrastructure::Condition> conditions_;
  std::vector<infrastructure::Write> writes_;
  int64_t lease_ = 0;
  bool may_be_under_way_ = false;  // The answer to some sending was lost.
};

}  // namespace runshelf::table
