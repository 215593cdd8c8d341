// Writes items again that the store has lost: those that it had acknowledged, and did not have when
// it came back from an older copy of its data. Each is owed until a watch has brought it in the
// present era, however often the store goes back.
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

class LostItemWriter {
 public:
  LostItemWriter(event::EventLoop& loop, store::StoreClient& store, Random& random, LogWriter& log);

  // The store has acknowledged an item of this process, and no watch has brought it yet: nobody
  // else may know of it.
  void OnWritten(const store::Item& item);
  // What is missing or older at the beginning of an era is written again: what only this process
  // knows at once, everything else by whichever node comes first. `completion` is written when
  // nothing else is lost any more. `writes_first`: this node does not wait for others.
  void OnEraBegan(const store::EraChange& change, const store::Item& completion, bool writes_first);
  // An item was written, or is gone. Both return false when this is the loss itself, so that what
  // was known before holds on.
  bool OnItem(const store::Item& item);
  bool OnRemoved(const std::string& key) const { return !lost_.contains(key); }

 private:
  using Items = std::map<std::string, store::Item>;  // By key.

  struct LostItem {
    store::Item item;                   // As it was known.
    store::Revision present = 0;        // Of what the store has instead; zero: nothing.
    store::Revision loss_revision = 0;  // Changes up to this one are the loss itself.
    bool writing = false;
  };

  // Moves what was acknowledged in former eras into `known`, where it is the latest; returns the
  // keys of what was moved.
  std::vector<std::string> TakeUnconfirmed(Items* known);
  // Remembers the item when `present` lacks it, or has it older.
  void AddIfLost(const store::Item& item, const Items& present);
  void AddLost(const store::Item& item, store::Revision present);
  // Nothing but the completion is to be written, and it has not been.
  void AddCompletionIfDue();
  Duration WriteDelay();
  void WriteAll();
  // Those of them that are lost, and are not being written.
  void WriteKeys(const std::vector<std::string>& keys);
  // `lease`: for items that had one; zero: none was granted.
  void Write(const std::string& key, store::LeaseId lease);
  // `loss_revision`: of the loss that the write was to mend.
  void OnCommitResult(const std::string& key, store::Revision loss_revision,
                      const absl::StatusOr<store::CommitResult>& result);
  void OnConflict(LostItem* lost, const store::CommitResult& result);

  store::StoreClient& store_;
  Random& random_;
  LogWriter& log_;
  event::Timer timer_;
  std::map<std::string, LostItem> lost_;   // By key, until the item is seen again.
  std::optional<store::Item> completion_;  // Until it is among the lost items.
  std::string completion_key_;
  bool writes_first_ = false;
  Items unconfirmed_;              // Acknowledged, and not brought by a watch yet.
  store::Revision era_began_ = 0;  // Of the first read in the present era; zero: the first.
};

}  // namespace runshelf::sidecar
