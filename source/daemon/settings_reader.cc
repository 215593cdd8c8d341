#include "source/daemon/settings_reader.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <sstream>
#include <utility>

namespace runshelf::daemon {
namespace {

std::optional<int64_t> ParseInteger(const std::string& text) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<double> ParseNumber(const std::string& text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

SettingsReader::SettingsReader(const toml::table& table, std::string file_name,
                               const SettingOverrides& overrides,
                               std::vector<SettingsError>& errors)
    : table_(table), file_name_(std::move(file_name)), overrides_(overrides), errors_(errors) {}

void SettingsReader::ReadText(const std::string& key, std::string& target,
                              const std::optional<std::string>& fallback) {
  const std::optional<std::string> flag = Override(key);
  const toml::node* node = Find(key);
  if (flag.has_value()) {
    target = *flag;
  } else if (node == nullptr && !fallback.has_value()) {
    Fail(key, "is required");
  } else if (node == nullptr) {
    target = *fallback;
  } else if (const auto text = node->value_exact<std::string>()) {
    target = *text;
  } else {
    FailType(key, "a text in quotes");
  }
}

void SettingsReader::ReadInteger(const std::string& key, int64_t& target, int64_t low, int64_t high,
                                 int64_t fallback) {
  target = fallback;
  const std::optional<std::string> flag = Override(key);
  const toml::node* node = Find(key);
  std::optional<int64_t> value;
  if (flag.has_value()) {
    value = ParseInteger(*flag);
  } else if (node != nullptr) {
    value = node->value_exact<int64_t>();
  } else {
    return;
  }
  if (!value.has_value()) {
    FailType(key, "a whole number");
  } else if (*value < low || *value > high) {
    Fail(key, fmt::format("must be from {} to {}, is {}", low, high, *value));
  } else {
    target = *value;
  }
}

void SettingsReader::ReadNumber(const std::string& key, double& target, double low, double high,
                                double fallback) {
  target = fallback;
  const std::optional<std::string> flag = Override(key);
  const toml::node* node = Find(key);
  std::optional<double> value;
  if (flag.has_value()) {
    value = ParseNumber(*flag);
  } else if (node != nullptr && node->is_number()) {
    value = node->value<double>();
  } else if (node == nullptr) {
    return;
  }
  if (!value.has_value() || !std::isfinite(*value)) {
    FailType(key, "a number");
  } else if (*value < low || *value > high) {
    Fail(key, fmt::format("must be from {} to {}, is {}", low, high, *value));
  } else {
    target = *value;
  }
}

void SettingsReader::ReadMilliseconds(const std::string& key, Duration& target, int64_t low,
                                      int64_t high, int64_t fallback) {
  int64_t milliseconds = 0;
  ReadInteger(key, milliseconds, low, high, fallback);
  target = std::chrono::milliseconds(milliseconds);
}

void SettingsReader::ReadTextList(const std::string& key, std::vector<std::string>& target) {
  target.clear();
  const std::optional<std::string> flag = Override(key);
  const toml::node* node = Find(key);
  if (flag.has_value()) {
    target = absl::StrSplit(*flag, ',', absl::SkipEmpty());
    return;
  }
  if (node == nullptr) {
    return;
  }
  if (!node->is_array()) {
    FailType(key, "a list of texts");
    return;
  }
  for (const toml::node& element : *node->as_array()) {
    const auto text = element.value_exact<std::string>();
    if (!text.has_value()) {
      FailType(key, "a list of texts");
      return;
    }
    target.push_back(*text);
  }
}

void SettingsReader::Fail(const std::string& key, const std::string& reason) {
  errors_.push_back({SourceOf(key), key, reason});
}

void SettingsReader::Finish() {
  for (const auto& [key, node] : table_) {
    const std::string name(key.str());
    if (!known_.contains(name)) {
      errors_.push_back(
          {fmt::format("{}:{}", file_name_, node.source().begin.line), name, "is not a setting"});
    }
  }
}

const toml::node* SettingsReader::Find(const std::string& key) {
  known_.insert(key);
  return table_.get(key);
}

std::optional<std::string> SettingsReader::Override(const std::string& key) {
  const auto found = overrides_.find(key);
  return found == overrides_.end() ? std::nullopt : std::optional<std::string>(found->second);
}

std::string SettingsReader::SourceOf(const std::string& key) const {
  if (overrides_.contains(key)) {
    return "command line";
  }
  const toml::node* node = table_.get(key);
  const auto line = node == nullptr ? 1 : node->source().begin.line;
  return fmt::format("{}:{}", file_name_, line);
}

void SettingsReader::FailType(const std::string& key, const std::string& expected) {
  Fail(key, "must be " + expected);
}

}  // namespace runshelf::daemon
