// Structured logging to standard error: one line of key=value pairs for each event.
#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace runshelf {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key=value pair. The key is a plain identifier; the value may contain any bytes.
struct LogField {
  LogField(std::string_view field_key, std::string_view field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, const char* field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, const std::string& field_value)
      : key(field_key), value(field_value) {}
  template <typename Number>
  LogField(std::string_view field_key, Number field_value)
      : key(field_key), value(fmt::to_string(field_value)) {}

  std::string key;
  std::string value;
};

// Returns "level=info event=name key=value ..." without a newline. Empty values, and values with a
// space, a quote, a backslash, an equals sign, a control byte or a byte outside ASCII, are quoted
// and escaped, so that no value can forge fields or lines.
std::string FormatLogLine(LogLevel level, std::string_view event,
                          std::initializer_list<LogField> fields);

// Sets the lowest level that LogEvent writes; the default is kInfo. Thread-safe.
void SetLogLevel(LogLevel lowest);

// Writes the line with a UTC time stamp to standard error in a single write. Thread-safe.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

}  // namespace runshelf
