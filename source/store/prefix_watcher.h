// Keeps a copy of all items below one prefix of the store, and tells what changes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "source/event/event_loop.h"
#include "source/store/store_client.h"

namespace runshelf::store {

struct PrefixWatcherConfig {
  std::string prefix;
  // Events that come within this time of each other cost one call.
  Duration coalesce = std::chrono::milliseconds(20);
  Duration retry_min = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::seconds(1);
};

// Reads the range once, then watches from its revision on; reads it again whenever the history is
// gone. The copy never goes back to an older revision of an item.
class PrefixWatcher {
 public:
  struct Observer {
    std::function<void(const Item&)> on_item;                // Written, or first seen.
    std::function<void(const std::string& key)> on_removed;  // Known before, and gone.
    std::function<void()> on_synchronized;                   // A whole read was applied.
    std::function<void()> on_batch;                          // After each batch of changes.
  };

  PrefixWatcher(event::EventLoop& loop, StoreClient& store, PrefixWatcherConfig config,
                Observer observer);

  void Start();
  void Stop();
  // Reads the whole range again, for example after this process was stopped for long.
  void Refresh();
  // True once the range was read whole.
  bool synchronized() const { return synchronized_; }
  const std::map<std::string, Item>& items() const { return items_; }

 private:
  void ReadPage(uint64_t generation, const std::string& after_key);
  void OnPage(uint64_t generation, absl::StatusOr<RangePage> page);
  void FinishRead();
  void WatchNext();
  void OnWatch(uint64_t generation, absl::StatusOr<WatchPage> page);
  void Apply(const WatchEvent& event);
  void ApplyItem(const Item& item);
  void ApplyRemoval(const std::string& key, Revision revision);
  void RetryLater(bool read_again);

  StoreClient& store_;
  PrefixWatcherConfig config_;
  Observer observer_;
  event::Timer timer_;
  std::map<std::string, Item> items_;
  std::map<std::string, Item> reading_;  // Items of the read under way.
  Revision revision_ = 0;
  Revision read_revision_ = 0;
  Duration retry_delay_{0};
  uint64_t generation_ = 0;  // Answers to calls of earlier generations are ignored.
  bool synchronized_ = false;
  bool read_next_ = true;
  bool stopped_ = true;
};

}  // namespace runshelf::store
