// Settings of one daemon: from a TOML file, with command line flags over it.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/log.h"

namespace runshelf::daemon {

struct Settings {
  std::string node;  // Name of the machine, unique in the fleet.
  std::string zone;
  std::string group;    // Replica group that this daemon belongs to.
  std::string service;  // Of the server beside this daemon; empty: takes callers only.

  std::string server_address;        // Of the server; required with `service`.
  std::string http_address;          // Takes callers.
  std::string peer_address;          // Takes control messages of other daemons.
  std::string forward_address;       // Takes requests that other daemons forward.
  std::string platform_address;      // The platform's key-value service.
  std::string machine_list_address;  // The platform's machine list.
  // Other daemons' peer addresses, asked for group and table while the platform is away.
  std::vector<std::string> seed_addresses;

  std::vector<std::string> keyed_services;  // Services divided by key.
  int64_t slots_per_service = 0;
  int64_t server_slots = 0;  // Requests that the server runs at once.
  int64_t queue_limit = 0;   // Requests that wait for the server.
  int64_t max_body_bytes = 0;
  int64_t max_connections = 0;  // Of callers and, separately, of other daemons.

  Duration grant_duration{0};
  Duration renewal_interval{0};
  Duration voter_replacement_delay{0};
  Duration recovery_delay{0};
  Duration bootstrap_delay{0};
  Duration stop_timeout{0};  // A planned stop that takes longer is cut short.
  int64_t voter_count = 0;
  double clock_rate_margin = 0;

  double rebalance_threshold = 0;
  int64_t max_moving_slots = 0;
  Duration slot_move_cooldown{0};

  Duration machine_list_interval{0};
  LogLevel log_level = LogLevel::kInfo;
};

// One thing wrong in the settings.
struct SettingsError {
  std::string source;  // "FILE:LINE", or "command line".
  std::string key;
  std::string reason;

  // "FILE:LINE: key: reason".
  std::string ToString() const;
};

// A setting as the command line offers it.
struct SettingDescription {
  std::string key;  // As in the file; the flag is the same with '-' in place of '_'.
  std::string description;
};

// All settings, in the order of docs/SETTINGS.md.
std::vector<SettingDescription> DescribeSettings();

// Values given by flags, by key. Lists are separated by commas.
using SettingOverrides = std::map<std::string, std::string>;

struct SettingsResult {
  Settings settings;
  std::vector<SettingsError> errors;  // Empty: the settings are valid.
};

// Parses the TOML text of `file_name` with `overrides` over it. Checks every value and refuses
// unknown keys.
SettingsResult ParseSettings(const std::string& toml_text, const std::string& file_name,
                             const SettingOverrides& overrides);

// Reads and parses a file. kNotFound when it cannot be read.
absl::StatusOr<SettingsResult> ReadSettings(const std::string& file_name,
                                            const SettingOverrides& overrides);

}  // namespace runshelf::daemon
