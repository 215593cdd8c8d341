#include "runshelf/routing/idempotency_cache.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace runshelf::routing {
namespace {

size_t BytesOf(const RecordedAnswer& answer) {
  size_t bytes = answer.body.size();
  for (const HeaderField& header : answer.headers)
    bytes += header.name.size() + header.value.size();
  return bytes;
}

}  // namespace

BeginResult IdempotencyCache::Begin(Instant now, const IdempotentRequest& request) {
  DropExpired(now);
  const auto found = records_.find(request.key);
  if (found != records_.end()) {
    BeginResult known = BeginKnown(request, found->second);
    if (known.outcome != BeginOutcome::kUnknownRepeat || !request.repeatable) return known;
    Erase(found);
  } else if (request.attempt > 1 && !request.repeatable) {
    const Instant known_since = KnownSince(request.slot, request.slot_held_since);
    const bool would_remember = known_since + config_.retention <= now;
    if (!would_remember) return {BeginOutcome::kUnknownRepeat, nullptr, {}};
  }
  if (!MakeRoomFor(request.key.size())) {
    return {BeginOutcome::kFull, nullptr, config_.retry_after_full};
  }
  AddRunning(request.key, request.slot, request.fingerprint);
  return {BeginOutcome::kRun, nullptr, {}};
}

BeginResult IdempotencyCache::BeginKnown(const IdempotentRequest& request, Record& record) {
  if (record.fingerprint != request.fingerprint) return {BeginOutcome::kMismatch, nullptr, {}};
  if (record.running) {
    record.attached.push_back(request.request_id);
    return {BeginOutcome::kAttach, nullptr, {}};
  }
  if (record.answer == nullptr) return {BeginOutcome::kUnknownRepeat, nullptr, {}};
  return {BeginOutcome::kReplay, record.answer, {}};
}

IdempotencyCache::Records::iterator IdempotencyCache::AddRunning(const std::string& key,
                                                                 SlotNumber slot,
                                                                 uint64_t fingerprint) {
  Record record;
  record.slot = slot;
  record.fingerprint = fingerprint;
  record.bytes = key.size();
  bytes_ += record.bytes;
  return records_.emplace(key, std::move(record)).first;
}

std::vector<std::string> IdempotencyCache::Complete(Instant now, const std::string& key,
                                                    Verdict verdict,
                                                    std::shared_ptr<const RecordedAnswer> answer) {
  const auto found = records_.find(key);
  if (found == records_.end() || !found->second.running) return {};
  std::vector<std::string> attached = std::move(found->second.attached);
  if (verdict == Verdict::kNotRun) {
    Erase(found);
    return attached;
  }
  if (verdict != Verdict::kRan) answer = nullptr;
  Finish(now, found, std::move(answer));
  return attached;
}

void IdempotencyCache::Detach(const std::string& key, const std::string& request_id) {
  const auto found = records_.find(key);
  if (found == records_.end()) return;
  std::erase(found->second.attached, request_id);
}

SlotRecords IdempotencyCache::ExportSlot(Instant now, SlotNumber slot,
                                         Instant slot_held_since) const {
  SlotRecords exported;
  exported.slot = slot;
  exported.known_for =
      std::clamp(now - KnownSince(slot, slot_held_since), Duration::zero(), config_.retention);
  for (const auto& [key, record] : records_) {
    if (record.slot != slot) continue;
    const Duration age = record.running ? Duration::zero() : now - record.finished_at;
    if (age >= config_.retention) continue;
    exported.records.push_back({key, record.fingerprint, age, record.answer});
  }
  std::sort(
      exported.records.begin(), exported.records.end(),
      [](const ExportedRecord& left, const ExportedRecord& right) { return left.key < right.key; });
  return exported;
}

void IdempotencyCache::ImportSlot(Instant now, const SlotRecords& records,
                                  Instant slot_held_since) {
  DropExpired(now);
  imported_[records.slot] = {slot_held_since, now - records.known_for};
  for (const ExportedRecord& imported : records.records) {
    const Instant finished_at = now - imported.age;
    if (records_.contains(imported.key)) continue;
    if (!MakeRoomFor(imported.key.size())) {
      evicted_until_ = std::max(evicted_until_.value_or(finished_at), finished_at);
      continue;
    }
    const auto position = AddRunning(imported.key, records.slot, imported.fingerprint);
    Finish(finished_at, position, imported.answer);
  }
}

void IdempotencyCache::DropExpired(Instant now) {
  while (!by_age_.empty() && by_age_.begin()->first + config_.retention <= now) {
    Erase(records_.find(by_age_.begin()->second));
  }
}

bool IdempotencyCache::HasRoomFor(size_t bytes) const {
  return records_.size() < config_.entries_max && bytes_ + bytes <= config_.bytes_max;
}

bool IdempotencyCache::MakeRoomFor(size_t bytes) {
  while (!HasRoomFor(bytes)) {
    if (by_age_.empty()) return false;
    DropOldest();
  }
  return true;
}

void IdempotencyCache::DropOldest() {
  const auto oldest = by_age_.begin();
  evicted_until_ = std::max(evicted_until_.value_or(oldest->first), oldest->first);
  Erase(records_.find(oldest->second));
}

void IdempotencyCache::Erase(Records::iterator record) {
  bytes_ -= record->second.bytes;
  if (!record->second.running) by_age_.erase(record->second.age_position);
  records_.erase(record);
}

void IdempotencyCache::Finish(Instant finished_at, Records::iterator record,
                              std::shared_ptr<const RecordedAnswer> answer) {
  Record& finished = record->second;
  if (answer != nullptr && BytesOf(*answer) > config_.answer_bytes_max) answer = nullptr;
  const size_t answer_bytes = answer == nullptr ? 0 : BytesOf(*answer);
  finished.running = false;
  finished.finished_at = finished_at;
  finished.answer = std::move(answer);
  finished.bytes += answer_bytes;
  bytes_ += answer_bytes;
  finished.age_position = by_age_.emplace(finished_at, record->first);
  while (bytes_ > config_.bytes_max && !by_age_.empty()) DropOldest();
}

Instant IdempotencyCache::KnownSince(SlotNumber slot, Instant slot_held_since) const {
  Instant known_since = slot_held_since;
  const auto imported = imported_.find(slot);
  if (imported != imported_.end() && imported->second.slot_held_since == slot_held_since) {
    known_since = std::min(known_since, imported->second.known_since);
  }
  return std::max(known_since, evicted_until_.value_or(known_since));
}

uint64_t FingerprintOf(std::string_view method, std::string_view path, std::string_view body) {
  uint64_t hash = XXH3_64bits(method.data(), method.size());
  hash = XXH3_64bits_withSeed(path.data(), path.size(), hash);
  return XXH3_64bits_withSeed(body.data(), body.size(), hash);
}

}  // namespace runshelf::routing
