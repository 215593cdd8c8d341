// Typed reading of TOML values: each error names the place, the key and the reason.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "source/daemon/settings.h"

namespace runshelf::daemon {

// Reads one table. Overrides go over the file's values. Each key is read once; Finish() reports
// those that nobody read.
class SettingsReader {
 public:
  // All references must outlive the reader.
  SettingsReader(const toml::table& table, std::string file_name, const SettingOverrides& overrides,
                 std::vector<SettingsError>& errors);

  // Each leaves `target` at its default when the key is absent; without a default the key is
  // required.
  void ReadText(const std::string& key, std::string& target,
                const std::optional<std::string>& fallback);
  void ReadInteger(const std::string& key, int64_t& target, int64_t low, int64_t high,
                   int64_t fallback);
  void ReadNumber(const std::string& key, double& target, double low, double high, double fallback);
  void ReadMilliseconds(const std::string& key, Duration& target, int64_t low, int64_t high,
                        int64_t fallback);
  void ReadTextList(const std::string& key, std::vector<std::string>& target);

  // Reports a fault of `key` at the place where its value was given.
  void Fail(const std::string& key, const std::string& reason);

  // Reports unknown keys.
  void Finish();

 private:
  // Returns the value of the file, or nullptr. Marks the key as known.
  const toml::node* Find(const std::string& key);
  // Returns the flag's value. Marks the key as known.
  std::optional<std::string> Override(const std::string& key);
  std::string SourceOf(const std::string& key) const;
  void FailType(const std::string& key, const std::string& expected);

  const toml::table& table_;
  const std::string file_name_;
  const SettingOverrides& overrides_;
  std::vector<SettingsError>& errors_;
  std::set<std::string> known_;
};

}  // namespace runshelf::daemon
