#include "source/sidecar/log_writer.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace runshelf::sidecar {
namespace {

// PIPE_BUF on Linux: a pipe that polls as writable accepts this many bytes without blocking.
constexpr size_t kAtomicWriteBytes = 4096;
constexpr Duration kSecond = std::chrono::seconds(1);

bool IsWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

LogWriter::LogWriter(event::EventLoop& loop, int descriptor, LogWriterConfig config)
    : loop_(loop), descriptor_(descriptor), config_(config), timer_(loop, [this] { Flush(); }) {}

LogWriter::~LogWriter() { Flush(); }

void LogWriter::Write(LogLevel level, std::string_view event,
                      std::initializer_list<LogField> fields) {
  if (!TakeBudget(event)) return;
  Append(level, event, fields);
}

bool LogWriter::TakeBudget(std::string_view event) {
  if (loop_.Now() - second_started_ >= kSecond) StartSecond();
  auto budget = std::find_if(budgets_.begin(), budgets_.end(),
                             [&](const EventBudget& entry) { return entry.event == event; });
  if (budget == budgets_.end()) budget = budgets_.insert(budgets_.end(), {event, 0, 0});
  if (budget->lines >= config_.lines_per_event_and_second) {
    ++budget->suppressed;
    return false;
  }
  ++budget->lines;
  return true;
}

void LogWriter::StartSecond() {
  second_started_ = loop_.Now();
  for (EventBudget& budget : budgets_) {
    const uint64_t suppressed = budget.suppressed;
    budget.lines = 0;
    budget.suppressed = 0;
    if (suppressed > 0) {
      Append(LogLevel::kInfo, "lines_suppressed",
             {{"suppressed_event", std::string(budget.event)}, {"count", suppressed}});
    }
  }
}

void LogWriter::Append(LogLevel level, std::string_view event,
                       std::initializer_list<LogField> fields) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  const std::string line = fmt::format("time={}.{:03} {}\n", now / 1000, now % 1000,
                                       FormatLogLine(level, event, fields));
  if (buffer_.size() + line.size() > config_.buffer_bytes) {
    ++dropped_;
    return;
  }
  buffer_ += line;
  if (!timer_.active()) timer_.Start(config_.flush_interval);
}

void LogWriter::Flush() {
  if (dropped_ > dropped_reported_ && buffer_.size() < config_.buffer_bytes / 2) {
    const uint64_t count = dropped_ - dropped_reported_;
    dropped_reported_ = dropped_;
    Append(LogLevel::kWarning, "lines_dropped", {{"count", count}});
  }
  size_t written = 0;
  while (written < buffer_.size() && IsWritable(descriptor_)) {
    const size_t size = std::min(buffer_.size() - written, kAtomicWriteBytes);
    const ssize_t result = ::write(descriptor_, buffer_.data() + written, size);
    if (result <= 0) break;
    written += static_cast<size_t>(result);
  }
  buffer_.erase(0, written);
  if (!buffer_.empty()) timer_.Start(config_.flush_interval);
}

}  // namespace runshelf::sidecar
