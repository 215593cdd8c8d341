// Tells whether the fleet may have forgotten what it knew of ends of workers.
//
// The store may come back from a copy that lacks what nodes wrote last. As a rule nodes live on and
// write it again. When all of them are lost beside it, nobody remembers, and the requests that end
// workers are new to the fleet. The loss itself shows: each era of the store has a record, written
// by nodes that live on once all that they knew is there again, or at the first start of the fleet.
// Processes that start in an era without a record write that the history is lost.
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

// Keys of the records; the era follows.
constexpr std::string_view kCrashHistoryPrefix = "runshelf/memory/";

// What the nodes of a fleet remember in one era of the store.
enum class CrashHistory {
  kKept,  // All that was known before.
  kLost,  // Maybe nothing. Such a record lapses, as what is missing would have.
};

struct CrashHistoryRecordContext {
  event::EventLoop& loop;
  store::StoreClient& store;
  Random& random;
  LogWriter& log;
  // The fleet starts for the first time: there is nothing to remember.
  bool first_start = false;
  // This node is the first one to write what the whole fleet knows.
  std::function<bool()> writes_first;
};

class CrashHistoryRecord {
 public:
  explicit CrashHistoryRecord(CrashHistoryRecordContext context);

  static bool IsItemKey(std::string_view key) { return key.starts_with(kCrashHistoryPrefix); }

  // The record that a node which lives on writes of an era that has just begun, without a revision.
  // One with a lease is to be written under a lease of some minutes.
  store::Item ItemOfEra(store::StoreEra era) const;
  // False when the item cannot be read.
  bool OnItem(const store::Item& item);
  void OnRemoved(const std::string& key);
  // The state was read whole.
  void OnSynchronized();

  // Also true while this process does not know whether others live that remember.
  bool MayBeIncomplete() const { return may_be_incomplete_; }
  // Called when the answer to that may have changed.
  void set_on_changed(std::function<void()> on_changed) { on_changed_ = std::move(on_changed); }

 private:
  bool HasPresentRecord() const;
  void WriteIfMissing();
  // For another node to write the record.
  bool WriteDelayElapsed(Duration waited);
  void Write(CrashHistory history, store::LeaseId lease);
  void NotifyChanged();

  CrashHistoryRecordContext context_;
  event::Timer timer_;
  Instant missing_since_{};
  std::optional<Duration> write_delay_;  // Drawn when it may matter.
  std::optional<store::StoreEra> era_;   // Of the latest record that came.
  // A process that sees the store go back knows what it knew before.
  bool may_be_incomplete_;
  bool lapsed_ = false;  // The record of the present era told of a loss.
  std::function<void()> on_changed_;
};

}  // namespace runshelf::sidecar
