// Non-blocking structured logging to a file descriptor.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "runshelf/common/log.h"
#include "source/event/event_loop.h"

namespace runshelf::sidecar {

// Limits and timing of a LogWriter.
struct LogWriterConfig {
  size_t buffer_bytes = size_t{64} * 1024;  // Lines beyond this are dropped and counted.
  Duration flush_interval = std::chrono::milliseconds(500);
  // Further lines of the same event within a second are suppressed and reported as a count.
  uint32_t lines_per_event_and_second = 20;
};

// Buffers lines and writes them in batches. If the reader does not keep up, lines are dropped
// instead of blocking the process.
class LogWriter {
 public:
  LogWriter(event::EventLoop& loop, int descriptor, LogWriterConfig config);
  ~LogWriter();

  // Buffers one line unless the limit for `event` has been reached.
  void Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
  // Writes as much as the descriptor accepts without blocking.
  void Flush();
  // Number of lines dropped because the buffer was full.
  uint64_t dropped() const { return dropped_; }

 private:
  struct EventBudget {
    std::string_view event;
    uint32_t lines = 0;
    uint64_t suppressed = 0;
  };

  bool TakeBudget(std::string_view event);
  void StartSecond();
  void Append(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

  event::EventLoop& loop_;
  int descriptor_;
  LogWriterConfig config_;
  event::Timer timer_;
  std::string buffer_;
  std::vector<EventBudget> budgets_;  // One entry for each event name.
  Instant second_started_{};
  uint64_t dropped_ = 0;
  uint64_t dropped_reported_ = 0;
};

}  // namespace runshelf::sidecar
