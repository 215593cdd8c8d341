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
      known_version_(ReadVersion()) {
  timer_.Start(interval, /*repeating=*/true);
}

void FileWatcher::MarkCurrent() { known_version_ = ReadVersion(); }

FileWatcher::FileVersion FileWatcher::ReadVersion() const {
  struct stat status {};
  if (stat(path_.c_str(), &status) != 0) return {};
  return {status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec, status.st_size,
          status.st_ino};
}

void FileWatcher::Check() {
  const FileVersion now = ReadVersion();
  if (now == known_version_ || now == FileVersion{}) return;
  known_version_ = now;
  on_changed_();
}

}  // namespace runshelf::event
