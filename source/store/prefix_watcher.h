// Keeps a copy of all items below one prefix of the store, and tells what changes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "source/event/event_loop.h"
#include "source/store/store_client.h"
#include "source/store/watch_schedule.h"

namespace runshelf::store {

// How often a watcher may ask for changes while there are many: `burst` calls at once, then one in
// each `interval`, which brings all changes of that time.
struct WatchPace {
  Duration interval = std::chrono::milliseconds(100);
  int burst = 5;
};

struct PrefixWatcherConfig {
  std::string prefix;
  // Events that come within this time of each other cost one call.
  Duration coalesce = std::chrono::milliseconds(20);
  WatchPace pace;
  // Between reads that fail. RetryNow ends the wait, so that it may be long: each read of a store
  // that is away is priced too.
  Duration retry_min = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::seconds(3);
};

// Changes of a prefix, as one process passes them on to others.
struct ChangeSet {
  // The events are all items of the prefix as of `to`; what is not among them is gone.
  bool complete = false;
  Revision from = 0;  // Changes up to this revision must be included already, unless complete.
  Revision to = 0;    // The copy is complete up to this revision afterwards.
  std::vector<WatchEvent> events;
};

// What was known of a prefix when the store came back from an older copy, and what it has since.
struct EraChange {
  const std::map<std::string, Item>& former;
  const std::map<std::string, Item>& present;
  Revision revision = 0;  // At which `present` was read.
};

// A watch that the store did not answer within the time that it was given.
struct UnansweredWatch {
  Revision after = 0;
  Duration waited{0};
  bool asked_again = false;  // From the same revision; otherwise the range is read.
};

// Reads the range once, then watches from its revision on, or follows what another process passes
// on; reads the range again whenever something may be missing, as when the store comes back from an
// older copy of its data. The copy never goes back to an older revision of an item.
class PrefixWatcher {
 public:
  struct Observer {
    std::function<void(const Item&)> on_item;                // Written, or first seen.
    std::function<void(const std::string& key)> on_removed;  // Known before, and gone.
    std::function<void()> on_synchronized;                   // A whole read was applied.
    // A batch of changes came from the store, to be passed on.
    std::function<void(const ChangeSet&)> on_changes;
    // Called before the first changes of a new era are applied.
    std::function<void(const EraChange&)> on_era_began = nullptr;
    // A watch got no answer.
    std::function<void(const UnansweredWatch&)> on_watch_unanswered = nullptr;
  };

  PrefixWatcher(event::EventLoop& loop, StoreClient& store, PrefixWatcherConfig config,
                Observer observer);

  void Start();
  void Stop();
  // Reads the whole range again, for example after this process was stopped for long.
  void Refresh();
  // The store answers again: what waits for its next try is tried now.
  void RetryNow();
  // Applies from the next batch of changes on.
  void set_pace(const WatchPace& pace) { config_.pace = pace; }
  // While confirming, a lost watch is noticed soon, at the price of some more calls after changes;
  // see WatchSchedule.
  void SetConfirming(bool confirming);
  // Asks for changes again, since the watch that waits may never be answered; not when that is
  // noticed soon.
  void RestartWatch();
  // While following, no watch is held at the store: changes come by Apply.
  void SetFollowing(bool following);
  bool following() const { return following_; }
  // Takes over changes that another process passed on; reads the range when some are missing.
  void ApplyChanges(const ChangeSet& changes);
  // The whole copy, for passing it on.
  ChangeSet Snapshot() const;
  // Another process has the copy complete up to `revision`, and this one has not: asks for what is
  // missing, or reads the range. A read of the store that waits for its next try is no reason to
  // wait: the other one may be reached while the store is not.
  void CatchUp(Revision revision);
  // Asks another process for its copy, which comes by ApplyChanges; `done` is called after it, or
  // with false when none came. Without it the range is read.
  using FetchFromPeer = std::function<void(std::function<void(bool answered)> done)>;
  void set_fetch_from_peer(FetchFromPeer fetch_from_peer) {
    fetch_from_peer_ = std::move(fetch_from_peer);
  }
  const std::string& prefix() const { return config_.prefix; }
  // The copy includes all changes up to `revision`.
  bool CompleteTo(Revision revision) const { return revision <= revision_; }
  // The copy is complete up to here.
  Revision revision() const { return revision_; }
  // Of the latest change that the copy includes, as far as is known.
  Revision change_revision() const { return change_revision_; }
  bool started() const { return !stopped_; }
  // True once the range was read whole.
  bool synchronized() const { return synchronized_; }
  const std::map<std::string, Item>& items() const { return items_; }
  // Items that came with a lower revision than the copy has, and were dropped.
  uint64_t stale_items() const { return stale_items_; }
  // Watches that the store refused since it has no history from their revision on.
  uint64_t lost_histories() const { return lost_histories_; }

 private:
  void ReadPage(uint64_t generation, const std::string& after_key);
  void OnPage(uint64_t generation, absl::StatusOr<RangePage> page);
  void FinishRead();
  // Makes the copy equal to `items`, which are all items as of `revision`; returns what changed.
  std::vector<WatchEvent> ApplySnapshot(const std::map<std::string, Item>& items,
                                        Revision revision);
  void WatchNext();
  void OnWatchFailed(const absl::Status& status);
  void OnWatch(uint64_t generation, absl::StatusOr<WatchPage> page);
  void ContinueWatching();
  void OnPeerFetched(bool answered);
  void Apply(const WatchEvent& event);
  void ApplyItem(const Item& item);
  void ApplyRemoval(const std::string& key, Revision revision);
  void RetryLater(bool read_again);
  // A read failed, and its next try is not due yet.
  bool ReadRetryPending() const { return reading_range_ && timer_.active(); }
  // How long to wait for further changes after a batch has come.
  Duration WaitAfterChanges();

  event::EventLoop& loop_;
  StoreClient& store_;
  PrefixWatcherConfig config_;
  Observer observer_;
  event::Timer timer_;
  std::map<std::string, Item> items_;
  std::map<std::string, Item> reading_;  // Items of the read under way.
  Revision revision_ = 0;                // The copy is complete up to here.
  Revision change_revision_ = 0;         // Nothing has changed between this one and `revision_`.
  Revision read_revision_ = 0;
  Duration retry_delay_{0};
  Instant paced_until_{};    // When the pace would have allowed all calls so far, one by one.
  uint64_t generation_ = 0;  // Answers to calls of earlier generations are ignored.
  bool synchronized_ = false;
  bool reading_range_ = false;
  bool watching_ = false;  // A watch waits at the store.
  StoreClient::WatchId watch_ = 0;
  Instant watch_sent_at_{};
  bool following_ = false;
  WatchSchedule schedule_;
  bool short_watch_ = false;  // The loss of the watch that waits is noticed soon.
  bool read_next_ = true;
  bool stopped_ = true;
  FetchFromPeer fetch_from_peer_;
  bool fetching_from_peer_ = false;  // Another process, for its copy.
  int incomplete_answers_ = 0;  // Times in a row that an answer did not bring all that was missing.
  Revision wanted_revision_ = 0;  // What it was asked for.
  uint64_t stale_items_ = 0;
  uint64_t lost_histories_ = 0;
};

}  // namespace runshelf::store
