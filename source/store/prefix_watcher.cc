#include "source/store/prefix_watcher.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace runshelf::store {

PrefixWatcher::PrefixWatcher(event::EventLoop& loop, StoreClient& store, PrefixWatcherConfig config,
                             Observer observer)
    : store_(store),
      config_(std::move(config)),
      observer_(std::move(observer)),
      timer_(loop, [this] {
        if (read_next_) {
          Refresh();
        } else {
          WatchNext();
        }
      }) {}

void PrefixWatcher::Start() {
  stopped_ = false;
  Refresh();
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
  // Pages are no snapshot: what changes between them comes again by the watch, which starts from
  // the revision of the first page.
  if (read_revision_ == 0) read_revision_ = page->revision;
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
  const auto read = std::exchange(reading_, {});
  std::vector<std::string> gone;
  for (const auto& [key, item] : items_) {
    if (!read.contains(key) && item.revision <= read_revision_) gone.push_back(key);
  }
  for (const std::string& key : gone) ApplyRemoval(key, read_revision_);
  for (const auto& [key, item] : read) ApplyItem(item);
  revision_ = std::max(revision_, read_revision_);
  synchronized_ = true;
  if (observer_.on_synchronized) observer_.on_synchronized();
  if (observer_.on_batch) observer_.on_batch();
  WatchNext();
}

void PrefixWatcher::WatchNext() {
  if (stopped_) return;
  const uint64_t generation = ++generation_;
  store_.Watch(config_.prefix, revision_, [this, generation](absl::StatusOr<WatchPage> page) {
    OnWatch(generation, std::move(page));
  });
}

void PrefixWatcher::OnWatch(uint64_t generation, absl::StatusOr<WatchPage> page) {
  if (generation != generation_) return;
  if (!page.ok()) {
    // After a cut the history may be incomplete for this process: a whole read settles it.
    if (absl::IsOutOfRange(page.status())) {
      Refresh();
    } else {
      RetryLater(/*read_again=*/true);
    }
    return;
  }
  retry_delay_ = Duration(0);
  for (const WatchEvent& event : page->events) Apply(event);
  revision_ = std::max(revision_, page->revision);
  if (!page->events.empty() && observer_.on_batch) observer_.on_batch();
  if (stopped_ || generation != generation_) return;
  if (page->events.empty()) {
    WatchNext();
    return;
  }
  read_next_ = false;
  timer_.Start(config_.coalesce);
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
  if (known != items_.end() && known->second.revision >= item.revision) return;
  items_[item.key] = item;
  if (observer_.on_item) observer_.on_item(item);
}

void PrefixWatcher::ApplyRemoval(const std::string& key, Revision revision) {
  const auto known = items_.find(key);
  if (known == items_.end() || known->second.revision > revision) return;
  items_.erase(known);
  if (observer_.on_removed) observer_.on_removed(key);
}

void PrefixWatcher::RetryLater(bool read_again) {
  retry_delay_ = retry_delay_ == Duration(0) ? config_.retry_min
                                             : std::min(retry_delay_ * 2, config_.retry_max);
  read_next_ = read_again;
  timer_.Start(retry_delay_);
}

}  // namespace runshelf::store
