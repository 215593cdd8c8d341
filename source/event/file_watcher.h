// Notices that a file was written or replaced. Asks from time to time: not every system tells.
#pragma once

#include <functional>
#include <string>

#include "source/event/event_loop.h"

namespace runshelf::event {

class FileWatcher {
 public:
  // `on_changed` is called after the file's time, size or identity changed; not when it goes away.
  FileWatcher(EventLoop& loop, std::string path, std::function<void()> on_changed,
              Duration interval = std::chrono::seconds(2));

  // What is there now counts as known, for example because it was read on a signal.
  void MarkCurrent();

 private:
  // Tells one content of the file from another.
  struct FileVersion {
    int64_t modified_ns = 0;
    int64_t size = 0;
    uint64_t identity = 0;

    bool operator==(const FileVersion&) const = default;
  };

  // A zero stamp when there is no such file.
  FileVersion ReadVersion() const;
  void Check();

  std::string path_;
  std::function<void()> on_changed_;
  Timer timer_;
  FileVersion known_version_;
};

}  // namespace runshelf::event
