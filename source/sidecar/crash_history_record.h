// Tracks whether the store may lack records of worker terminations.
//
// After a restore from a backup the store lacks the latest writes of the nodes. Surviving nodes
// normally write them again. If all nodes failed together with the store, these records are lost,
// and poison requests appear to be new. To detect this, each era of the store has a record.
// Surviving nodes write it once all data that they know has been restored, or at the first start of
// the fleet. Processes that start in an era without a record write one that states the loss.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "source/sidecar/log_writer.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Key prefix of the records, followed by the era.
constexpr std::string_view kCrashHistoryPrefix = "runshelf/memory/";

// State of the records of worker terminations in one era of the store.
enum class CrashHistory {
  kKept,  // Complete.
  // Possibly incomplete. This record expires after the time in which the missing records would
  // have.
  kLost,
};

// Dependencies of a CrashHistoryRecord. The references must outlive it.
struct CrashHistoryRecordContext {
  event::EventLoop& loop;
  store::StoreClient& store;
  Random& random;
  LogWriter& log;
  // The fleet starts for the first time, so that there is no history to lose.
  bool first_start = false;
  // Returns true if this node is the first one to write data that the whole fleet knows.
  std::function<bool()> writes_first;
};

// Maintains the record of the present era in the store. Not thread-safe: must be used on the thread
// of its event loop.
class CrashHistoryRecord {
 public:
  explicit CrashHistoryRecord(CrashHistoryRecordContext context);

  static bool IsItemKey(std::string_view key) { return key.starts_with(kCrashHistoryPrefix); }

  // Returns the record, without a revision, that a surviving node writes in an era that has just
  // begun. If it has a lease, the caller must write it with a lease of several minutes.
  store::Item ItemOfEra(store::StoreEra era) const;
  // Applies a record from the store. Returns false if it cannot be parsed.
  bool OnItem(const store::Item& item);
  // A record was removed or expired.
  void OnRemoved(const std::string& key);
  // The state has been read completely.
  void OnSynchronized();

  // Also returns true while this process does not know whether any node has a complete history.
  bool MayBeIncomplete() const { return may_be_incomplete_; }
  // `on_changed` is called when the result of MayBeIncomplete may have changed.
  void set_on_changed(std::function<void()> on_changed) { on_changed_ = std::move(on_changed); }

 private:
  bool HasPresentRecord() const;
  void WriteIfMissing();
  // Whether other nodes have had enough time to write the record.
  bool WriteDelayElapsed(Duration waited);
  void Write(CrashHistory history, store::LeaseId lease);
  void NotifyChanged();

  CrashHistoryRecordContext context_;
  event::Timer timer_;
  Instant missing_since_{};
  std::optional<Duration> write_delay_;  // Random; chosen when it is first needed.
  std::optional<store::StoreEra> era_;   // Era of the latest record received.
  // Starts as true unless this is the first start of the fleet. A process that is running when the
  // store is restored keeps its value.
  bool may_be_incomplete_;
  bool lapsed_ = false;  // The record of the present era, which stated a loss, has expired.
  std::function<void()> on_changed_;
};

}  // namespace runshelf::sidecar
