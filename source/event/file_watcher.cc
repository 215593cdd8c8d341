#include "source/event/file_watcher.h"

#include <sys/stat.h>

#include <utility>

namespace runshelf::event {
namespace {

constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

FileWatcher::FileWatcher(EventLoop& loop, std::string path, std::function<void()> on_changed,
                         Duration interval)
    : path_(std::move(path)),
      on_changed_(std::move(on_changed)),
      timer_(loop, [this] { Check(); }),
      known_(ReadStamp()) {
  timer_.Start(interval, /*repeating=*/true);
}

void FileWatcher::MarkKnown() { known_ = ReadStamp(); }

FileWatcher::Stamp FileWatcher::ReadStamp() const {
  struct stat status {};
  if (stat(path_.c_str(), &status) != 0) return {};
  return {status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec, status.st_size,
          status.st_ino};
}

void FileWatcher::Check() {
  const Stamp now = ReadStamp();
  if (now == known_ || now == Stamp{}) return;
  known_ = now;
  on_changed_();
}

}  // namespace runshelf::event
