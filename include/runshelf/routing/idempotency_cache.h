// Remembers requests that carry an idempotency key, at the daemon of the instance that owns the
// key's slot, so that a caller's own repeat never runs a request twice.
//
// Exclusive ownership of the slot makes the memory exclusive too. It has an end: a new owner does
// not know what the previous one ran (unless the records were handed over), and a full memory
// drops the oldest records. A repeat (attempt >= 2) without a record is run only if this cache
// would certainly remember an earlier attempt; otherwise the answer is that it may have run.
//
// Invariants:
//  - Two requests with one key run only if the first one certainly did not run.
//  - Running records are never dropped.
// Broken by: a caller that numbers a repeat as attempt 1 after the slot moved; a repeat later than
// `retention` after the first sending; Begin for a slot that the instance does not own.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"
#include "runshelf/common/verdict.h"

namespace runshelf::routing {

struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

// A server's complete answer, as it is replayed.
struct RecordedAnswer {
  int http_status = 200;
  std::vector<HeaderField> headers;
  std::string body;

  bool operator==(const RecordedAnswer&) const = default;
};

struct IdempotencyConfig {
  // How long after its end a request is remembered; callers may repeat within this time.
  Duration retention = std::chrono::seconds(120);
  size_t entries_max = 100'000;
  size_t bytes_max = size_t{32} * 1024 * 1024;   // Keys and answers.
  size_t answer_bytes_max = size_t{256} * 1024;  // Larger answers are not kept.
  Duration retry_after_full = std::chrono::seconds(1);
};

struct IdempotentRequest {
  std::string key;         // Idempotency key, made unique by service and class if they share.
  std::string request_id;  // Of this sending.
  SlotNumber slot = 0;
  uint32_t attempt = 1;      // 1 for the first sending, 2 and up for repeats.
  uint64_t fingerprint = 0;  // Of method, path and body; see FingerprintOf.
  bool repeatable = false;   // Running twice does no harm: never answered kUnknownRepeat.
  Instant slot_held_since;   // From SlotGate::HeldSince.
};

enum class BeginOutcome {
  kRun,            // Run it and call Complete.
  kAttach,         // An earlier sending runs; its Complete names this request_id.
  kReplay,         // An earlier sending ran; pass `answer` on.
  kUnknownRepeat,  // An earlier sending may have run, and its answer is not known.
  kMismatch,       // The key was used for another request (another fingerprint); not run.
  kFull,           // The memory is full of running requests; not run, `retry_after` is set.
};

struct BeginResult {
  BeginOutcome outcome = BeginOutcome::kRun;
  std::shared_ptr<const RecordedAnswer> answer;  // With kReplay.
  Duration retry_after{0};                       // With kFull.
};

// A finished request as handed over to the next owner. Times are ages, since clocks of different
// machines are not comparable.
struct ExportedRecord {
  std::string key;
  uint64_t fingerprint = 0;
  Duration age{0};                               // Since it finished.
  std::shared_ptr<const RecordedAnswer> answer;  // Null: it may have run, answer not known.
};

// All that is known of one slot when its owner has released it.
struct SlotRecords {
  SlotNumber slot = 0;
  Duration known_for{0};  // Every request that may have run within this time is in `records`.
  std::vector<ExportedRecord> records;
};

// One per service at each instance. Deterministic; not thread-safe.
class IdempotencyCache {
 public:
  explicit IdempotencyCache(const IdempotencyConfig& config) : config_(config) {}

  BeginResult Begin(Instant now, const IdempotentRequest& request);

  // Ends the running request of `key`. kNotRun removes the record; kRan records the answer (null
  // when it was not received whole); kMayHaveRun records that nothing is known. Returns the
  // request ids that were attached: they get the same result.
  std::vector<std::string> Complete(Instant now, const std::string& key, Verdict verdict,
                                    std::shared_ptr<const RecordedAnswer> answer);

  // An attached request whose caller has gone.
  void Detach(const std::string& key, const std::string& request_id);

  // The records of `slot`, to be called after the slot's last request ended and before it is
  // released. `slot_held_since` as in Begin. Running records are exported as may-have-run.
  SlotRecords ExportSlot(Instant now, SlotNumber slot, Instant slot_held_since) const;

  // Takes over the records of a slot that this instance holds since `slot_held_since`, for that
  // holding only. To be called only when the exporter was the owner right before this instance.
  // Ages count from `now`, later than they are: records are kept a little longer than needed.
  void ImportSlot(Instant now, const SlotRecords& records, Instant slot_held_since);

  size_t entries() const { return records_.size(); }
  size_t bytes() const { return bytes_; }

 private:
  using ByAge = std::multimap<Instant, std::string>;  // Keys by when the request finished.
  struct Record {
    SlotNumber slot = 0;
    uint64_t fingerprint = 0;
    bool running = true;
    Instant finished_at{};
    std::shared_ptr<const RecordedAnswer> answer;
    size_t bytes = 0;
    std::vector<std::string> attached;
    ByAge::iterator age_position;  // When finished.
  };
  struct ImportedHistory {
    Instant slot_held_since;
    Instant known_since;
  };
  using Records = std::unordered_map<std::string, Record>;

  static BeginResult BeginKnown(const IdempotentRequest& request, Record& record);
  Records::iterator AddRunning(const std::string& key, SlotNumber slot, uint64_t fingerprint);
  void DropExpired(Instant now);
  bool HasRoomFor(size_t bytes) const;
  bool MakeRoomFor(size_t bytes);
  void DropOldest();
  void Erase(Records::iterator record);
  void Finish(Instant finished_at, Records::iterator record,
              std::shared_ptr<const RecordedAnswer> answer);
  Instant KnownSince(SlotNumber slot, Instant slot_held_since) const;

  IdempotencyConfig config_;
  Records records_;
  ByAge by_age_;  // Of finished records only.
  size_t bytes_ = 0;
  // Records that finished up to here may have been dropped before their retention was over.
  std::optional<Instant> evicted_until_;
  std::map<SlotNumber, ImportedHistory> imported_;
};

// Returns a stable hash of what must be equal between a request and its repeat.
uint64_t FingerprintOf(std::string_view method, std::string_view path, std::string_view body);

}  // namespace runshelf::routing
