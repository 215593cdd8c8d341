// Structured logs to standard output that never hold the process up.
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

struct LogWriterConfig {
  size_t buffer_bytes = size_t{64} * 1024;  // Lines beyond it are dropped and counted.
  Duration flush_interval = std::chrono::milliseconds(500);
  // Lines of one event beyond this many within a second are folded into a count.
  uint32_t lines_per_event_and_second = 20;
};

// Collects lines and writes them in batches. A reader that stands still costs lines, never time.
class LogWriter {
 public:
  LogWriter(event::EventLoop& loop, int descriptor, LogWriterConfig config);
  ~LogWriter();

  void Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
  // Writes what the descriptor takes without waiting.
  void Flush();
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
  std::vector<EventBudget> budgets_;  // Few: one for each name of an event.
  Instant second_started_{};
  uint64_t dropped_ = 0;
  uint64_t dropped_reported_ = 0;
};

}  // namespace runshelf::sidecar
