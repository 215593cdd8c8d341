// Writes items again that the store has lost: those that it had acknowledged, and did not have when
// it came back from an older copy of its data.
#pragma once

#include <map>
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

  // What is missing or older at the beginning of an era is written again, by whichever node comes
  // first.
  void OnEraBegan(const store::EraChange& change);
  // An item was written, or is gone. Both return false when this is the loss itself, so that what
  // was known before holds on.
  bool OnItem(const store::Item& item);
  bool OnRemoved(const std::string& key) const { return !lost_.contains(key); }

 private:
  struct LostItem {
    store::Item item;             // As it was known.
    store::Revision present = 0;  // Of what the store has instead; zero: nothing.
    store::Revision lost_by = 0;  // Changes up to this one are the loss itself.
    bool writing = false;
  };

  void WriteAll();
  // `lease`: for items that had one; zero: none was granted.
  void Write(const std::string& key, store::LeaseId lease);
  void OnWritten(const std::string& key, const absl::StatusOr<store::CommitResult>& result);

  store::StoreClient& store_;
  Random& random_;
  LogWriter& log_;
  event::Timer timer_;
  std::map<std::string, LostItem> lost_;  // By key, until the item is seen again.
};

}  // namespace runshelf::sidecar
