#include "source/store/shared_read.h"

#include <algorithm>
#include <string>
#include <utility>

namespace runshelf::store {
namespace {

std::string SharedPrefix(const std::vector<PrefixWatcher*>& watchers) {
  std::string shared = watchers.empty() ? std::string() : watchers.front()->prefix();
  for (const PrefixWatcher* watcher : watchers) {
    const std::string& prefix = watcher->prefix();
    const size_t length = std::min(shared.size(), prefix.size());
    const auto differing = std::mismatch(
        shared.begin(), shared.begin() + static_cast<std::ptrdiff_t>(length), prefix.begin());
    shared.erase(differing.first, shared.end());
  }
  const size_t slash = shared.rfind('/');
  return slash == std::string::npos ? std::string() : shared.substr(0, slash + 1);
}

}  // namespace

void StartWithSharedRead(StoreClient& store, const std::vector<PrefixWatcher*>& watchers) {
  const std::string shared = SharedPrefix(watchers);
  if (shared.empty()) {
    for (PrefixWatcher* watcher : watchers) watcher->Start();
    return;
  }
  store.Range(shared, "", [watchers](const absl::StatusOr<RangePage>& page) {
    for (PrefixWatcher* watcher : watchers) {
      if (page.ok() && !page->more) {
        watcher->StartWith(*page);
      } else {
        watcher->Start();
      }
    }
  });
}

}  // namespace runshelf::store
