#include "source/daemon/settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <string_view>

#include "runshelf/table/cell.h"
#include "runshelf/transport/ip_address.h"
#include "source/daemon/settings_reader.h"

namespace runshelf::daemon {
namespace {

constexpr int64_t kMaxBodyBytes = int64_t{64} << 20;
constexpr int64_t kMaxSlots = 65536;
constexpr int64_t kLongestMs = 3'600'000;

// A grant must outlive some lost renewals.
constexpr int64_t kRenewalsPerGrant = 3;

struct LogLevelName {
  std::string_view name;
  LogLevel level;
};
constexpr std::array<LogLevelName, 4> kLogLevels = {{{"debug", LogLevel::kDebug},
                                                     {"info", LogLevel::kInfo},
                                                     {"warning", LogLevel::kWarning},
                                                     {"error", LogLevel::kError}}};

void ReadName(SettingsReader& reader, const std::string& key, std::string& target,
              const std::optional<std::string>& fallback) {
  reader.ReadText(key, target, fallback);
  const bool may_be_empty = fallback.has_value() && fallback->empty();
  if (target.empty() && (may_be_empty || !fallback.has_value())) {
    return;  // Absent: allowed, or reported already.
  }
  if (!table::IsValidName(target)) {
    reader.Fail(key, "must be 1 to 64 of a-z, 0-9 and '-'");
  }
}

void ReadAddress(SettingsReader& reader, const std::string& key, std::string& target,
                 const std::optional<std::string>& fallback) {
  const size_t unset = target.size();
  reader.ReadText(key, target, fallback);
  if (target.empty() && unset == 0) {
    return;
  }
  const absl::Status valid = transport::CheckIpAddress(target);
  if (!valid.ok()) {
    reader.Fail(key, std::string(valid.message()));
  }
}

void ReadLogLevel(SettingsReader& reader, LogLevel& target) {
  std::string text;
  reader.ReadText("log_level", text, "info");
  for (const LogLevelName& known : kLogLevels) {
    if (known.name == text) {
      target = known.level;
      return;
    }
  }
  reader.Fail("log_level", "must be debug, info, warning or error");
}

void ReadIdentity(SettingsReader& reader, Settings& settings) {
  ReadName(reader, "node", settings.node, std::nullopt);
  ReadName(reader, "zone", settings.zone, std::nullopt);
  ReadName(reader, "group", settings.group, "main");
  ReadName(reader, "service", settings.service, "");
}

void ReadAddressList(SettingsReader& reader, const std::string& key,
                     std::vector<std::string>& target) {
  reader.ReadTextList(key, target);
  for (const std::string& address : target) {
    const absl::Status valid = transport::CheckIpAddress(address);
    if (!valid.ok()) {
      reader.Fail(key, std::string(valid.message()));
    }
  }
}

void ReadAddresses(SettingsReader& reader, Settings& settings) {
  ReadAddress(reader, "server_address", settings.server_address, "");
  ReadAddress(reader, "http_address", settings.http_address, std::nullopt);
  ReadAddress(reader, "peer_address", settings.peer_address, std::nullopt);
  ReadAddress(reader, "forward_address", settings.forward_address, std::nullopt);
  ReadAddress(reader, "platform_address", settings.platform_address, std::nullopt);
  ReadAddress(reader, "machine_list_address", settings.machine_list_address,
              settings.platform_address);
  ReadAddressList(reader, "seed_addresses", settings.seed_addresses);
  if (!settings.service.empty() && settings.server_address.empty()) {
    reader.Fail("server_address", "is required when service is set");
  }
}

void ReadRequestLimits(SettingsReader& reader, Settings& settings) {
  reader.ReadTextList("keyed_services", settings.keyed_services);
  for (const std::string& service : settings.keyed_services) {
    if (!table::IsValidName(service)) {
      reader.Fail("keyed_services", "'" + service + "' is not 1 to 64 of a-z, 0-9 and '-'");
    }
  }
  reader.ReadInteger("slots_per_service", settings.slots_per_service, 1, kMaxSlots, 256);
  reader.ReadInteger("server_slots", settings.server_slots, 1, 10'000, 20);
  reader.ReadInteger("queue_limit", settings.queue_limit, 0, 100'000, 200);
  reader.ReadInteger("max_body_bytes", settings.max_body_bytes, 1, kMaxBodyBytes, 1 << 20);
  reader.ReadInteger("max_connections", settings.max_connections, 8, 10'000, 512);
}

void ReadOwnership(SettingsReader& reader, Settings& settings) {
  reader.ReadMilliseconds("grant_duration_ms", settings.grant_duration, 100, 60'000, 700);
  reader.ReadMilliseconds("renewal_interval_ms", settings.renewal_interval, 20, 20'000, 150);
  if (settings.renewal_interval * kRenewalsPerGrant > settings.grant_duration) {
    reader.Fail("renewal_interval_ms", "must be at most a third of grant_duration_ms");
  }
  reader.ReadMilliseconds("voter_replacement_delay_ms", settings.voter_replacement_delay, 100,
                          kLongestMs, 1500);
  reader.ReadMilliseconds("recovery_delay_ms", settings.recovery_delay, 100, kLongestMs, 4000);
  reader.ReadMilliseconds("bootstrap_delay_ms", settings.bootstrap_delay, 0, kLongestMs, 700);
  reader.ReadMilliseconds("stop_timeout_ms", settings.stop_timeout, 0, kLongestMs, 30'000);
  reader.ReadInteger("voter_count", settings.voter_count, 1, 9, 5);
  if (settings.voter_count % 2 == 0) {
    reader.Fail("voter_count", "must be odd: an even number tolerates no more losses");
  }
  reader.ReadNumber("clock_rate_margin", settings.clock_rate_margin, 0, 0.5, 0.02);
}

void ReadBalancing(SettingsReader& reader, Settings& settings) {
  reader.ReadNumber("rebalance_threshold", settings.rebalance_threshold, 0.01, 100, 0.2);
  reader.ReadInteger("max_moving_slots", settings.max_moving_slots, 1, kMaxSlots, 32);
  reader.ReadMilliseconds("slot_move_cooldown_ms", settings.slot_move_cooldown, 0, kLongestMs,
                          30'000);
}

SettingsResult ReadTable(const toml::table& table, const std::string& file_name,
                         const SettingOverrides& overrides) {
  SettingsResult result;
  SettingsReader reader(table, file_name, overrides, result.errors);
  ReadIdentity(reader, result.settings);
  ReadAddresses(reader, result.settings);
  ReadRequestLimits(reader, result.settings);
  ReadOwnership(reader, result.settings);
  ReadBalancing(reader, result.settings);
  reader.ReadMilliseconds("machine_list_interval_ms", result.settings.machine_list_interval, 50,
                          60'000, 500);
  ReadLogLevel(reader, result.settings.log_level);
  reader.Finish();
  return result;
}

}  // namespace

std::string SettingsError::ToString() const { return source + ": " + key + ": " + reason; }

std::vector<SettingDescription> DescribeSettings() {
  return {
      {"node", "name of this machine, unique in the fleet"},
      {"zone", "zone that this machine stands in"},
      {"group", "replica group that this daemon belongs to"},
      {"service", "service of the server beside this daemon; empty: takes callers only"},
      {"server_address", "IP:PORT of the server"},
      {"http_address", "IP:PORT for callers"},
      {"peer_address", "IP:PORT for control messages of other daemons"},
      {"forward_address", "IP:PORT for requests that other daemons forward"},
      {"platform_address", "IP:PORT of the platform's key-value service"},
      {"machine_list_address", "IP:PORT of the platform's machine list"},
      {"seed_addresses",
       "IP:PORT of other daemons' control messages, asked while the platform is away"},
      {"keyed_services", "services divided by key"},
      {"slots_per_service", "slots that the keys of a service are spread over"},
      {"server_slots", "requests that the server runs at once"},
      {"queue_limit", "requests that wait for the server"},
      {"max_body_bytes", "longest body of a request"},
      {"max_connections", "connections of callers, and of daemons, at once"},
      {"grant_duration_ms", "how long a grant lasts without renewal"},
      {"renewal_interval_ms", "how often grants are renewed"},
      {"voter_replacement_delay_ms", "silence after which a voter is replaced"},
      {"recovery_delay_ms", "time without a leader after which a new generation is tried"},
      {"bootstrap_delay_ms", "how long daemons gather before the first generation"},
      {"stop_timeout_ms", "longest planned stop"},
      {"voter_count", "daemons that hold a replica of the ownership log; odd"},
      {"clock_rate_margin", "largest difference in rate between two machines' clocks"},
      {"rebalance_threshold", "excess over the mean load at which slots are moved"},
      {"max_moving_slots", "slots under a planned move at a time"},
      {"slot_move_cooldown_ms", "shortest time between two moves of a slot"},
      {"machine_list_interval_ms", "how often the machine list is read"},
      {"log_level", "debug, info, warning or error"},
  };
}

SettingsResult ParseSettings(const std::string& toml_text, const std::string& file_name,
                             const SettingOverrides& overrides) {
  try {
    return ReadTable(toml::parse(toml_text, file_name), file_name, overrides);
  } catch (const toml::parse_error& error) {
    SettingsResult result;
    const std::string place = file_name + ":" + std::to_string(error.source().begin.line);
    result.errors.push_back({place, "(syntax)", std::string(error.description())});
    return result;
  }
}

absl::StatusOr<SettingsResult> ReadSettings(const std::string& file_name,
                                            const SettingOverrides& overrides) {
  std::ifstream file(file_name, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return absl::NotFoundError(file_name + ": cannot be read");
  }
  return ParseSettings(text.str(), file_name, overrides);
}

}  // namespace runshelf::daemon
