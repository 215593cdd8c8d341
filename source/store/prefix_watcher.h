// Maintains a local copy of all items below one key prefix of the store and reports its changes.
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

// Rate limit for watch calls while there are many changes: `burst` calls at once, then one per
// `interval`, which returns all changes of that time.
struct WatchPace {
  Duration interval = std::chrono::milliseconds(100);
  int burst = 5;
};

// Prefix to watch, and rate limits of the calls to the store.
struct PrefixWatcherConfig {
  std::string prefix;
  // Changes that arrive within this time of each other are fetched with one call.
  Duration coalesce = std::chrono::milliseconds(20);
  WatchPace pace;
  // Backoff between failed reads. It may be long because RetryNow ends it, and because reads of an
  // unreachable store are billed too.
  Duration retry_min = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::seconds(3);
};

// Changes below a prefix, as forwarded from one process to others.
struct ChangeSet {
  // The events contain all items of the prefix as of `to`; other items no longer exist.
  bool complete = false;
  Revision from = 0;  // Unless complete, the receiver's copy must include changes up to here.
  Revision to = 0;    // Revision up to which the copy is complete afterwards.
  std::vector<WatchEvent> events;
};

// Items of a prefix as known before the store was restored from a backup, and as read afterwards.
struct EraChange {
  const std::map<std::string, Item>& former;
  const std::map<std::string, Item>& present;
  Revision revision = 0;  // Revision at which `present` was read.
};

// A watch that the store did not answer before its timeout.
struct UnansweredWatch {
  Revision after = 0;
  Duration waited{0};
  bool asked_again = false;  // The watch is sent again from `after`; otherwise the range is read.
};

// Reads the range once, then either watches the store from that revision or follows the changes
// that another process forwards. Reads the range again whenever changes may be missing, for example
// after the store was restored from a backup. An item is never replaced by an older revision.
class PrefixWatcher {
 public:
  struct Observer {
    std::function<void(const Item&)> on_item;  // Item written or seen for the first time.
    std::function<void(const std::string& key)> on_removed;  // A known item was removed.
    std::function<void()> on_synchronized;  // A read of the whole range was applied.
    // A batch of changes arrived from the store and can be forwarded to other processes.
    std::function<void(const ChangeSet&)> on_changes;
    // A new era began; called before its first changes are applied.
    std::function<void(const EraChange&)> on_era_began = nullptr;
    // A watch got no response.
    std::function<void(const UnansweredWatch&)> on_watch_unanswered = nullptr;
  };

  PrefixWatcher(event::EventLoop& loop, StoreClient& store, PrefixWatcherConfig config,
                Observer observer);

  // Reads the range and begins to watch.
  void Start();
  // Begins to watch after `page`, which has all items of the prefix, and maybe items of others.
  void StartWith(const RangePage& page);
  // Ends all activity; callbacks are not invoked any more.
  void Stop();
  // Reads the whole range again, for example after this process was suspended for a long time.
  void Refresh();
  // Ends the current backoff; to be called when the store responds again.
  void RetryNow();
  // Takes effect from the next batch of changes.
  void set_pace(const WatchPace& pace) { config_.pace = pace; }
  // While confirming, the loss of a watch right after a change is detected soon, at the cost of
  // additional calls after changes; see WatchSchedule.
  void SetConfirming(bool confirming);
  // Replaces the pending watch with a new one, as it may never be answered. A pending short watch
  // is kept, because its loss is detected soon anyway.
  void RestartWatch();
  // Asks the store for changes that the copy lacks and applies them. `callback`: whether there were
  // none, so that the copy was current when it was asked; false also if the store did not answer.
  void Confirm(std::function<void(bool current)> callback);
  // While following, no watch is pending at the store; changes arrive through ApplyChanges.
  void SetFollowing(bool following);
  bool following() const { return following_; }
  // Applies changes forwarded by another process; calls CatchUp if earlier ones are missing.
  void ApplyChanges(const ChangeSet& changes);
  // The whole copy, to be forwarded to other processes.
  ChangeSet Snapshot() const;
  // To be called when another process has a copy complete up to `revision`. If this copy is behind,
  // fetches the copy of a peer, or reads the range if there is no peer to fetch from. A read of the
  // store in backoff does not delay the fetch: a peer may be reachable while the store is not.
  void CatchUp(Revision revision);
  // Fetches the copy of another process, which arrives through ApplyChanges; `done` is called
  // afterwards, with false if no copy arrived. If not set, the range is read instead.
  using FetchFromPeer = std::function<void(std::function<void(bool answered)> done)>;
  void set_fetch_from_peer(FetchFromPeer fetch_from_peer) {
    fetch_from_peer_ = std::move(fetch_from_peer);
  }
  const std::string& prefix() const { return config_.prefix; }
  // The copy includes all changes up to `revision`.
  bool CompleteTo(Revision revision) const { return revision <= revision_; }
  // Revision up to which the copy is complete.
  Revision revision() const { return revision_; }
  // Revision of the latest known change that the copy includes.
  Revision change_revision() const { return change_revision_; }
  // The latest watch got no response, and none to a watch or a read of the range came since.
  bool store_is_silent() const { return store_is_silent_; }
  bool started() const { return !stopped_; }
  // True once the whole range has been read.
  bool synchronized() const { return synchronized_; }
  const std::map<std::string, Item>& items() const { return items_; }
  // Number of items dropped because the copy already had a higher revision of them.
  uint64_t stale_items() const { return stale_items_; }
  // Number of watches refused because the store no longer has the history since their revision.
  uint64_t lost_histories() const { return lost_histories_; }

 private:
  void ReadPage(uint64_t generation, const std::string& after_key);
  void OnPage(uint64_t generation, absl::StatusOr<RangePage> page);
  void FinishRead();
  // Updates the copy to `items`, which are all items as of `revision`; returns the changes.
  std::vector<WatchEvent> ApplySnapshot(const std::map<std::string, Item>& items,
                                        Revision revision);
  void WatchNext();
  void OnWatchFailed(const absl::Status& status);
  void OnWatch(uint64_t generation, absl::StatusOr<WatchPage> page);
  void ContinueWatching();
  void OnConfirmation(absl::StatusOr<WatchPage> page,
                      const std::function<void(bool current)>& callback);
  // Applies the changes and reports them to the observer; returns whether there were any.
  bool ApplyPage(WatchPage page);
  void OnPeerFetched(bool answered);
  void Apply(const WatchEvent& event);
  void ApplyItem(const Item& item);
  void ApplyRemoval(const std::string& key, Revision revision);
  void RetryLater(bool read_again);
  // A read of the range failed, and its retry is not due yet.
  bool ReadRetryPending() const { return reading_range_ && timer_.active(); }
  // How long to wait before the next watch after a batch of changes arrived.
  Duration WaitAfterChanges();

  event::EventLoop& loop_;
  StoreClient& store_;
  PrefixWatcherConfig config_;
  Observer observer_;
  event::Timer timer_;
  std::map<std::string, Item> items_;
  std::map<std::string, Item> reading_;  // Items of the read in progress.
  Revision revision_ = 0;                // Revision up to which the copy is complete.
  Revision change_revision_ = 0;         // No changes between this revision and `revision_`.
  Revision read_revision_ = 0;
  Duration retry_delay_{0};
  Instant paced_until_{};    // When the calls so far would have been sent at one per pace interval.
  uint64_t generation_ = 0;  // Responses to calls of earlier generations are ignored.
  bool synchronized_ = false;
  bool reading_range_ = false;
  bool watching_ = false;  // A watch is pending at the store.
  StoreClient::WatchId watch_ = 0;
  Instant watch_sent_at_{};
  bool following_ = false;
  WatchSchedule schedule_;
  bool store_is_silent_ = false;
  bool short_watch_ = false;  // The pending watch is a short one; see WatchSchedule.
  bool read_next_ = true;
  bool stopped_ = true;
  FetchFromPeer fetch_from_peer_;
  bool fetching_from_peer_ = false;  // A fetch of a peer's copy is in progress.
  // Consecutive fetches after which the copy was still behind `wanted_revision_`.
  int incomplete_answers_ = 0;
  Revision wanted_revision_ = 0;  // Highest revision passed to CatchUp.
  uint64_t stale_items_ = 0;
  uint64_t lost_histories_ = 0;
};

}  // namespace runshelf::store
