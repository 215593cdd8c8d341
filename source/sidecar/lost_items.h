// Restores items that the store acknowledged but lost when it was restored from an older copy of
// its data. Each lost item is tracked until a watch delivers it in the present era, even if the
// store is restored again.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "source/event/event_loop.h"
#include "source/sidecar/log_writer.h"
#include "source/store/prefix_watcher.h"
#include "source/store/store_client.h"

namespace runshelf::sidecar {

// Not thread-safe: must be used on the thread of its event loop.
class LostItemWriter {
 public:
  LostItemWriter(event::EventLoop& loop, store::StoreClient& store, Random& random, LogWriter& log);

  // The store acknowledged an item written by this process, and no watch has delivered it yet, so
  // that other nodes may not know of it.
  void OnWritten(const store::Item& item);
  // Schedules writes of the items that are missing or outdated at the beginning of an era. Items
  // that only this process knows are written immediately, all others by whichever node is first.
  // `completion` is written once no other item is lost. `writes_first`: this node need not wait for
  // others to write.
  void OnEraBegan(const store::EraChange& change, const store::Item& completion, bool writes_first);
  // The watch reported that an item was written or removed. Both return false if the change is part
  // of the loss itself, in which case the caller must keep its previous state.
  bool OnItem(const store::Item& item);
  bool OnRemoved(const std::string& key) const { return !lost_.contains(key); }

 private:
  using Items = std::map<std::string, store::Item>;  // By key.

  struct LostItem {
    store::Item item;                   // The last known version.
    store::Revision present = 0;        // Revision now in the store; zero: no item.
    store::Revision loss_revision = 0;  // Changes up to this revision are part of the loss.
    bool writing = false;
  };

  // Moves items acknowledged in earlier eras into `known` unless it has a newer version. Returns
  // the keys of the moved items.
  std::vector<std::string> TakeUnconfirmed(Items* known);
  // Adds the item to the lost ones if `present` lacks it or has an older version.
  void AddIfLost(const store::Item& item, const Items& present);
  void AddLost(const store::Item& item, store::Revision present);
  // Adds the completion item once nothing else is lost, unless it was added before.
  void AddCompletionIfDue();
  Duration WriteDelay();
  void WriteAll();
  // Writes those of the items that are lost and have no write in progress.
  void WriteKeys(const std::vector<std::string>& keys);
  // `lease`: used for items that had a lease; zero: none was granted.
  void Write(const std::string& key, store::LeaseId lease);
  // `loss_revision`: identifies the loss that the write was meant to repair.
  void OnCommitResult(const std::string& key, store::Revision loss_revision,
                      const absl::StatusOr<store::CommitResult>& result);
  void OnConflict(LostItem* lost, const store::CommitResult& result);

  store::StoreClient& store_;
  Random& random_;
  LogWriter& log_;
  event::Timer timer_;
  std::map<std::string, LostItem> lost_;   // By key, until the watch delivers the item.
  std::optional<store::Item> completion_;  // Until it is added to the lost items.
  std::string completion_key_;
  bool writes_first_ = false;
  Items unconfirmed_;  // Acknowledged but not yet delivered by a watch.
  // Revision of the first read in the present era; zero: the first era.
  store::Revision era_began_ = 0;
};

}  // namespace runshelf::sidecar
