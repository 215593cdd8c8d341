// Structured logs: one line of key=value pairs for each event, on standard error.
#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace runshelf {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key=value pair. The key is a plain identifier; the value may hold anything.
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

// Returns "level=info event=name key=value ..." without a line end. A value with a space, a quote,
// an equals sign or a control byte is quoted and escaped, so that no caller can forge a line.
std::string FormatLogLine(LogLevel level, std::string_view event,
                          std::initializer_list<LogField> fields);

// Sets the lowest level that LogEvent writes; kInfo until then. Safe from any thread.
void SetLogLevel(LogLevel lowest);

// Writes the line with a time stamp to standard error in one write. Safe from any thread.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

}  // namespace runshelf
