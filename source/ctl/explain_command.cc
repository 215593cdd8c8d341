#include "source/ctl/explain_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include "source/ctl/files.h"

namespace runshelf::ctl {
namespace {

// At most this many bytes of each log file are read; the rest is ignored.
constexpr size_t kMaxLogBytes = size_t{128} << 20U;
constexpr std::string_view kRequestField = "request=";
constexpr std::string_view kTimeField = "time=";
// Separates the id of a request from the suffix that identifies a call made by it.
constexpr char kCallSeparator = '.';

// Returns the value of a field of a log line, or nullopt if the line has no such field. `name`
// includes the "=".
std::optional<std::string_view> FieldOf(std::string_view line, std::string_view name) {
  size_t position = line.find(name);
  while (position != std::string_view::npos && position > 0 && line[position - 1] != ' ') {
    position = line.find(name, position + 1);
  }
  if (position == std::string_view::npos) return std::nullopt;
  const std::string_view value = line.substr(position + name.size());
  return value.substr(0, value.find(' '));
}

// Whether the line's request field holds the id of the request or of a call made by it.
bool BelongsToRequest(std::string_view line, std::string_view request_id) {
  const auto id = FieldOf(line, kRequestField);
  if (!id.has_value() || !id->starts_with(request_id)) return false;
  return id->size() == request_id.size() || (*id)[request_id.size()] == kCallSeparator;
}

// Returns 0 if the line has no time field or the field is not a number.
double TimeOf(std::string_view line) {
  const auto time = FieldOf(line, kTimeField);
  return time.has_value() ? std::strtod(std::string(*time).c_str(), nullptr) : 0;
}

}  // namespace

std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<NodeLog>& logs) {
  std::vector<std::pair<double, std::string>> found;
  for (const NodeLog& log : logs) {
    std::string_view rest = log.text;
    while (!rest.empty()) {
      const size_t end = rest.find('\n');
      const std::string_view line = rest.substr(0, end);
      rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
      if (!BelongsToRequest(line, request_id)) continue;
      found.emplace_back(TimeOf(line), fmt::format("{}: {}", log.name, Printable(line)));
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  std::vector<std::string> lines;
  lines.reserve(found.size());
  for (auto& [time, line] : found) lines.push_back(std::move(line));
  return lines;
}

int RunExplainCommand(const ExplainCommand& command, const Streams& streams) {
  std::vector<NodeLog> logs;
  for (const std::string& file : command.files) {
    auto text = ReadFile(file, kMaxLogBytes);
    if (!text.ok()) {
      streams.err << fmt::format("runshelfctl: {}: {}\n", file,
                                 std::string(text.status().message()));
      return kExitUsage;
    }
    logs.push_back({file, *std::move(text)});
  }
  const std::vector<std::string> lines = ExplainRequest(command.request_id, logs);
  for (const std::string& line : lines) streams.out << line << '\n';
  if (!lines.empty()) return kExitOk;
  streams.err << fmt::format("runshelfctl: no log line has request id {}\n", command.request_id);
  return kExitRefused;
}

}  // namespace runshelf::ctl
