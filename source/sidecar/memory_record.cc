#include "source/sidecar/memory_record.h"

#include <absl/strings/numbers.h>

#include <utility>

#include "source/sidecar/part_configs.h"

namespace runshelf::sidecar {
namespace {

constexpr std::string_view kKeptText = "kept";
constexpr std::string_view kLostText = "lost";
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
// Nodes that live on have written their record by then: they write what was lost after 1.5 s at the
// latest, and the record after that. Others write at different times.
constexpr Duration kPatienceMin = std::chrono::seconds(3);
constexpr Duration kPatienceMax = std::chrono::seconds(6);
// As long as ends of workers and quarantines are kept.
constexpr Duration kLossRemembered = std::chrono::minutes(10);

std::string KeyOfEra(store::StoreEra era) { return KeyOf(kMemoryPrefix, std::to_string(era)); }

}  // namespace

MemoryRecord::MemoryRecord(MemoryRecordContext context)
    : context_(std::move(context)),
      timer_(context_.loop, [this] { WriteIfMissing(); }),
      may_have_forgotten_(!context_.first_start) {}

bool MemoryRecord::HasPresentRecord() const {
  return era_.has_value() && *era_ >= context_.store.era();
}

store::Item MemoryRecord::ItemOfEra(store::StoreEra era) const {
  store::Item item;
  item.key = KeyOfEra(era);
  const bool lost = MayHaveForgotten();
  item.value = std::string(lost ? kLostText : kKeptText);
  item.lease = lost ? 1 : 0;
  return item;
}

bool MemoryRecord::OnItem(const store::Item& item) {
  store::StoreEra era = 0;
  if (!absl::SimpleAtoi(NameAfter(item.key, kMemoryPrefix), &era)) return false;
  if (item.value != kKeptText && item.value != kLostText) return false;
  // Copies that the store comes back from hold records of former eras.
  if (era < context_.store.era() || (era_.has_value() && era < *era_)) return true;
  era_ = era;
  may_have_forgotten_ = item.value == kLostText;
  lapsed_ = false;
  NoteChanged();
  return true;
}

void MemoryRecord::OnRemoved(const std::string& key) {
  if (!HasPresentRecord() || key != KeyOfEra(context_.store.era())) return;
  may_have_forgotten_ = false;
  lapsed_ = true;
  NoteChanged();
  OnSynchronized();
}

void MemoryRecord::OnSynchronized() {
  // Nodes that live on write the record of an era together with what was lost.
  const bool missing = lapsed_ || (!HasPresentRecord() && !context_.store.restored());
  NoteChanged();
  if (!missing || timer_.active()) return;
  missing_since_ = context_.loop.Now();
  WriteIfMissing();
}

void MemoryRecord::WriteIfMissing() {
  if (!lapsed_ && HasPresentRecord()) return;
  timer_.Start(kCheckInterval);
  const bool nothing_to_wait_for = context_.first_start || lapsed_;
  const bool first = nothing_to_wait_for && context_.writes_first();
  const Duration waited = context_.loop.Now() - missing_since_;
  if (!first && !WaitedLongEnough(waited)) return;
  // Once more after the same time, if this one is not done.
  missing_since_ = context_.loop.Now();
  if (!lapsed_ && MayHaveForgotten()) {
    context_.store.GrantLease(kLossRemembered, [this](const absl::StatusOr<store::Lease>& lease) {
      const bool present = lease.ok() && lease->era == context_.store.era();
      if (present && !HasPresentRecord()) Write(Memory::kLost, lease->id);
    });
    return;
  }
  Write(Memory::kKept, 0);
}

bool MemoryRecord::WaitedLongEnough(Duration waited) {
  if (waited < kPatienceMin) return false;
  if (!patience_.has_value()) patience_ = context_.random.Between(kPatienceMin, kPatienceMax);
  return waited >= *patience_;
}

void MemoryRecord::Write(Memory memory, store::LeaseId lease) {
  const std::string key = KeyOfEra(context_.store.era());
  store::Transaction transaction;
  transaction.conditions.push_back({key, 0});
  const std::string value(memory == Memory::kLost ? kLostText : kKeptText);
  transaction.puts.push_back({key, value, lease});
  context_.store.Commit(
      transaction, [this, key, value](const absl::StatusOr<store::CommitResult>& result) {
        const bool committed = result.ok() && result->outcome == store::CommitOutcome::kCommitted;
        context_.log.Write(LogLevel::kInfo, "memory_record_written",
                           {{"key", key}, {"value", value}, {"committed", committed}});
      });
}

void MemoryRecord::NoteChanged() {
  if (on_changed_) on_changed_();
}

}  // namespace runshelf::sidecar
