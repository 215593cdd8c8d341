#include "runshelf/common/log.h"

#include <fmt/chrono.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>

namespace runshelf {
namespace {

std::atomic<LogLevel> lowest_level{LogLevel::kInfo};

constexpr std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

bool IsPlain(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte > ' ' && byte < 0x7f && character != '"' && character != '=' && character != '\\';
}

std::string QuoteIfNeeded(const std::string& value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) return value;
  std::string quoted = "\"";
  for (const char character : value) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (byte < ' ' || byte >= 0x7f) {
      quoted += fmt::format("\\x{:02x}", byte);
    } else {
      quoted += character;
    }
  }
  quoted += '"';
  return quoted;
}

}  // namespace

std::string FormatLogLine(LogLevel level, std::string_view event,
                          std::initializer_list<LogField> fields) {
  std::string line = fmt::format("level={} event={}", LevelName(level), event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", field.key, QuoteIfNeeded(field.value));
  }
  return line;
}

void SetLogLevel(LogLevel lowest) { lowest_level.store(lowest); }

void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (level < lowest_level.load()) return;
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const std::string line =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                  now.time_since_epoch().count() % 1000, FormatLogLine(level, event, fields));
  // A single write per line keeps lines of concurrent threads from interleaving.
  [[maybe_unused]] const ssize_t written = ::write(STDERR_FILENO, line.data(), line.size());
}

}  // namespace runshelf
