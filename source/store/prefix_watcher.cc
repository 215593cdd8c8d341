#include "source/store/prefix_watcher.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace runshelf::store {
namespace {

// Consecutive peer responses without all missing changes after which the range is read.
constexpr int kMaxIncompleteAnswers = 3;
// A confirmation is answered at once, with or without changes.
constexpr WatchTimes kConfirmationTimes{std::chrono::milliseconds(1),
                                        std::chrono::milliseconds(300)};

}  // namespace

PrefixWatcher::PrefixWatcher(event::EventLoop& loop, StoreClient& store, PrefixWatcherConfig config,
                             Observer observer)
    : loop_(loop),
      store_(store),
      config_(std::move(config)),
      observer_(std::move(observer)),
      timer_(loop, [this] {
        if (read_next_) {
          Refresh();
        } else {
          ContinueWatching();
        }
      }) {}

void PrefixWatcher::Start() {
  stopped_ = false;
  Refresh();
}

void PrefixWatcher::StartWith(const RangePage& page) {
  stopped_ = false;
  ++generation_;
  for (const Item& item : page.items) {
    if (item.key.starts_with(config_.prefix)) reading_[item.key] = item;
  }
  read_revision_ = page.revision;
  FinishRead();
}

void PrefixWatcher::Stop() {
  stopped_ = true;
  ++generation_;
  timer_.Stop();
}

void PrefixWatcher::Refresh() {
  if (stopped_) return;
  timer_.Stop();
  ++generation_;
  watching_ = false;
  reading_range_ = true;
  reading_.clear();
  read_revision_ = 0;
  ReadPage(generation_, "");
}

void PrefixWatcher::ReadPage(uint64_t generation, const std::string& after_key) {
  store_.Range(config_.prefix, after_key, [this, generation](absl::StatusOr<RangePage> page) {
    OnPage(generation, std::move(page));
  });
}

void PrefixWatcher::OnPage(uint64_t generation, absl::StatusOr<RangePage> page) {
  if (generation != generation_) return;
  if (!page.ok()) {
    RetryLater(/*read_again=*/true);
    return;
  }
  // Pages do not form a snapshot: changes made between them arrive again through the watch, which
  // starts from the revision of the first page. The store may be restored from a backup between two
  // pages.
  if (read_revision_ == 0) read_revision_ = page->revision;
  if (EraOf(page->revision) != EraOf(read_revision_)) {
    Refresh();
    return;
  }
  std::string last_key;
  for (Item& item : page->items) {
    last_key = item.key;
    reading_[last_key] = std::move(item);
  }
  if (page->more && !last_key.empty()) {
    ReadPage(generation, last_key);
    return;
  }
  FinishRead();
}

void PrefixWatcher::FinishRead() {
  retry_delay_ = Duration(0);
  schedule_.Restart();
  reading_range_ = false;
  ChangeSet changes;
  changes.from = change_revision_;
  changes.events = ApplySnapshot(std::exchange(reading_, {}), read_revision_);
  changes.to = change_revision_;
  // Other processes may have changes of the former era that this process never received.
  const bool era_began = EraOf(changes.from) != EraOf(changes.to);
  if (era_began && !changes.events.empty()) changes = Snapshot();
  if (observer_.on_synchronized) observer_.on_synchronized();
  if (!changes.events.empty() && observer_.on_changes) observer_.on_changes(changes);
  ContinueWatching();
}

std::vector<WatchEvent> PrefixWatcher::ApplySnapshot(const std::map<std::string, Item>& items,
                                                     Revision revision) {
  if (synchronized_ && EraOf(revision) > EraOf(revision_) && observer_.on_era_began) {
    observer_.on_era_began({items_, items, revision});
  }
  std::vector<WatchEvent> events;
  for (const auto& [key, item] : items_) {
    if (items.contains(key) || item.revision > revision) continue;
    WatchEvent event;
    event.item.key = key;
    event.item.revision = revision;
    event.removed = true;
    events.push_back(std::move(event));
  }
  for (const auto& [key, item] : items) {
    const auto known = items_.find(key);
    if (known != items_.end() && known->second.revision >= item.revision) {
      if (known->second.revision > item.revision) ++stale_items_;
      continue;
    }
    events.push_back({item, false});
  }
  for (const WatchEvent& event : events) Apply(event);
  revision_ = std::max(revision_, revision);
  if (!synchronized_ || !events.empty()) change_revision_ = revision_;
  synchronized_ = true;
  store_is_silent_ = false;
  return events;
}

ChangeSet PrefixWatcher::Snapshot() const {
  ChangeSet snapshot;
  snapshot.complete = true;
  snapshot.to = revision_;
  for (const auto& [key, item] : items_) snapshot.events.push_back({item, false});
  return snapshot;
}

void PrefixWatcher::SetFollowing(bool following) {
  if (following == following_) return;
  following_ = following;
  if (stopped_ || reading_range_) return;
  if (following) {
    timer_.Stop();
    ++generation_;
    watching_ = false;
  } else {
    // The process that forwarded changes may have stopped before sending all of them.
    ContinueWatching();
  }
}

void PrefixWatcher::SetConfirming(bool confirming) {
  if (confirming == schedule_.confirming()) return;
  schedule_.SetConfirming(confirming);
  if (confirming) RestartWatch();
}

void PrefixWatcher::RestartWatch() {
  schedule_.Restart();
  if (following_ || !watching_ || short_watch_) return;
  watching_ = false;
  // A failure of the old watch later would say nothing about the connections of that time.
  store_.CancelWatch(watch_);
  WatchNext();
}

void PrefixWatcher::ContinueWatching() {
  if (!following_ && !watching_) WatchNext();
}

void PrefixWatcher::ApplyChanges(const ChangeSet& changes) {
  if (!synchronized_ || stopped_ || changes.to <= revision_) return;
  if (changes.complete) {
    std::map<std::string, Item> items;
    for (const WatchEvent& event : changes.events) items[event.item.key] = event.item;
    ApplySnapshot(items, changes.to);
    return;
  }
  if (changes.from > revision_) {
    CatchUp(changes.to);
    return;
  }
  for (const WatchEvent& event : changes.events) Apply(event);
  revision_ = changes.to;
  change_revision_ = changes.to;
}

void PrefixWatcher::CatchUp(Revision revision) {
  if (revision <= revision_ || !synchronized_ || (reading_range_ && !ReadRetryPending())) return;
  wanted_revision_ = std::max(wanted_revision_, revision);
  if (fetching_from_peer_) return;
  if (!fetch_from_peer_) {
    if (!reading_range_) Refresh();
    return;
  }
  fetching_from_peer_ = true;
  fetch_from_peer_([this](bool answered) { OnPeerFetched(answered); });
}

void PrefixWatcher::OnPeerFetched(bool answered) {
  fetching_from_peer_ = false;
  if (wanted_revision_ <= revision_) {
    incomplete_answers_ = 0;
    return;
  }
  // The peer may itself be slightly behind while there are many changes.
  const bool needs_read = !answered || ++incomplete_answers_ >= kMaxIncompleteAnswers;
  if (!needs_read || stopped_ || reading_range_) return;
  incomplete_answers_ = 0;
  Refresh();
}

void PrefixWatcher::WatchNext() {
  if (stopped_) return;
  // The store cannot report changes since a revision of a former era.
  if (EraOf(revision_) < store_.era()) {
    Refresh();
    return;
  }
  const uint64_t generation = ++generation_;
  watching_ = true;
  const auto on_page = [this, generation](absl::StatusOr<WatchPage> page) {
    OnWatch(generation, std::move(page));
  };
  watch_sent_at_ = loop_.Now();
  const auto times = schedule_.NextTimes();
  short_watch_ = schedule_.NextIsShort();
  if (times.has_value()) {
    watch_ = store_.Watch(config_.prefix, revision_, *times, on_page);
  } else {
    watch_ = store_.Watch(config_.prefix, revision_, on_page);
  }
}

void PrefixWatcher::OnWatch(uint64_t generation, absl::StatusOr<WatchPage> page) {
  if (generation != generation_) return;
  watching_ = false;
  if (!page.ok()) {
    OnWatchFailed(page.status());
    return;
  }
  retry_delay_ = Duration(0);
  store_is_silent_ = false;
  schedule_.OnAnswered();
  // The watch was sent in one era and answered in a later one.
  if (EraOf(page->revision) > EraOf(revision_)) {
    Refresh();
    return;
  }
  const bool changed = ApplyPage(*std::move(page));
  if (stopped_ || following_ || generation != generation_) return;
  if (!changed) {
    schedule_.OnNoChanges();
    WatchNext();
    return;
  }
  schedule_.Restart();
  read_next_ = false;
  timer_.Start(WaitAfterChanges());
}

bool PrefixWatcher::ApplyPage(WatchPage page) {
  ChangeSet changes;
  changes.from = change_revision_;
  changes.events = std::move(page.events);
  for (const WatchEvent& event : changes.events) Apply(event);
  revision_ = std::max(revision_, page.revision);
  if (!changes.events.empty()) change_revision_ = revision_;
  changes.to = change_revision_;
  if (!changes.events.empty() && observer_.on_changes) observer_.on_changes(changes);
  return !changes.events.empty();
}

void PrefixWatcher::Confirm(std::function<void(bool current)> callback) {
  if (stopped_ || !synchronized_) return;
  store_.Watch(config_.prefix, revision_, kConfirmationTimes,
               [this, callback = std::move(callback)](absl::StatusOr<WatchPage> page) {
                 OnConfirmation(std::move(page), callback);
               });
}

void PrefixWatcher::OnConfirmation(absl::StatusOr<WatchPage> page,
                                   const std::function<void(bool current)>& callback) {
  if (stopped_) return;
  const bool history_is_lost = absl::IsOutOfRange(page.status());
  const bool era_began = page.ok() && EraOf(page->revision) > EraOf(revision_);
  if ((history_is_lost || era_began) && !reading_range_) Refresh();
  if (!page.ok() || era_began) {
    callback(false);
    return;
  }
  const bool changed = ApplyPage(*std::move(page));
  // The pending watch did not deliver the changes, so its connection may be dead.
  if (changed && watching_) RestartWatch();
  callback(!changed);
}

void PrefixWatcher::OnWatchFailed(const absl::Status& status) {
  if (absl::IsOutOfRange(status)) {
    ++lost_histories_;
    Refresh();
    return;
  }
  const bool ask_again = absl::IsUnknown(status) && schedule_.OnUnanswered();
  if (absl::IsUnknown(status)) store_is_silent_ = true;
  if (absl::IsUnknown(status) && observer_.on_watch_unanswered) {
    observer_.on_watch_unanswered({revision_, loop_.Now() - watch_sent_at_, ask_again});
  }
  if (ask_again) {
    WatchNext();
  } else {
    // Changes may have been lost with the watch; a read of the whole range restores the copy.
    RetryLater(/*read_again=*/true);
  }
}

Duration PrefixWatcher::WaitAfterChanges() {
  const Instant now = loop_.Now();
  paced_until_ = std::max(paced_until_, now) + config_.pace.interval;
  const Duration ahead = paced_until_ - now - config_.pace.interval * config_.pace.burst;
  return std::max(config_.coalesce, ahead);
}

void PrefixWatcher::Apply(const WatchEvent& event) {
  if (event.removed) {
    ApplyRemoval(event.item.key, event.item.revision);
  } else {
    ApplyItem(event.item);
  }
}

void PrefixWatcher::ApplyItem(const Item& item) {
  const auto known = items_.find(item.key);
  if (known != items_.end() && known->second.revision >= item.revision) {
    if (known->second.revision > item.revision) ++stale_items_;
    return;
  }
  items_[item.key] = item;
  if (observer_.on_item) observer_.on_item(item);
}

void PrefixWatcher::ApplyRemoval(const std::string& key, Revision revision) {
  const auto known = items_.find(key);
  if (known == items_.end() || known->second.revision > revision) return;
  items_.erase(known);
  if (observer_.on_removed) observer_.on_removed(key);
}

void PrefixWatcher::RetryNow() {
  if (stopped_ || retry_delay_ == Duration(0) || !timer_.active()) return;
  retry_delay_ = Duration(0);
  timer_.Start(Duration(0));
}

void PrefixWatcher::RetryLater(bool read_again) {
  retry_delay_ = retry_delay_ == Duration(0) ? config_.retry_min
                                             : std::min(retry_delay_ * 2, config_.retry_max);
  read_next_ = read_again;
  timer_.Start(retry_delay_);
}

}  // namespace runshelf::store
