// Detects that a file was written or replaced. Polls the file, because not every system supports
// change notifications.
#pragma once

#include <functional>
#include <string>

#include "source/event/event_loop.h"

namespace runshelf::event {

// Polls one file. The callback runs on the event loop.
class FileWatcher {
 public:
  // `on_changed` is called after the modification time, size or inode of the file changed, but not
  // when it is removed.
  FileWatcher(EventLoop& loop, std::string path, std::function<void()> on_changed,
              Duration interval = std::chrono::seconds(2));

  // Treats the present content as known, for example because it was just read on a signal.
  void MarkCurrent();

 private:
  // Distinguishes versions of the file's content.
  struct FileVersion {
    int64_t modified_ns = 0;
    int64_t size = 0;
    uint64_t identity = 0;

    bool operator==(const FileVersion&) const = default;
  };

  // Returns a zero version if the file does not exist.
  FileVersion ReadVersion() const;
  void Check();

  std::string path_;
  std::function<void()> on_changed_;
  Timer timer_;
  FileVersion known_version_;
};

}  // namespace runshelf::event
