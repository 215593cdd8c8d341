#include "source/daemon/settings.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <sstream>
#include <string>

namespace runshelf::daemon {
namespace {

const std::string kValid = R"(node = "n1"
zone = "z"
service = "feedread"
server_address = "127.0.0.1:9000"
http_address = "127.0.0.1:8080"
peer_address = "127.0.0.1:8082"
forward_address = "127.0.0.1:8081"
platform_address = "127.0.0.1:2379"
)";

// Returns all errors, one a line.
std::string ErrorsOf(const std::string& text, const SettingOverrides& overrides = {}) {
  std::string lines;
  for (const SettingsError& error : ParseSettings(text, "f.toml", overrides).errors) {
    lines += error.ToString() + "\n";
  }
  return lines;
}

// Returns the text of a file of the repository; empty when it cannot be read.
std::string TextOf(const std::string& path) {
  std::ifstream file(std::string(RUNSHELF_SOURCE_DIRECTORY) + "/" + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the settings that docs/SETTINGS.md has a row for, in its order, one a line.
std::string DocumentedSettings() {
  const std::string row_begin = "| `";
  std::istringstream page(TextOf("docs/SETTINGS.md"));
  std::string keys;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with(row_begin)) {
      keys += line.substr(row_begin.size(), line.find('`', row_begin.size()) - row_begin.size());
      keys += "\n";
    }
  }
  return keys;
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, DefaultsAndValues) {
  const SettingsResult result = ParseSettings(kValid + "grant_duration_ms = 600\n", "f.toml", {});
  CHECK(result.errors.empty());
  STRCMP_EQUAL("main", result.settings.group.c_str());
  STRCMP_EQUAL("127.0.0.1:2379", result.settings.machine_list_address.c_str());
  CHECK(result.settings.grant_duration == std::chrono::milliseconds(600));
  CHECK_EQUAL(256, result.settings.slots_per_service);
}

TEST(Settings, FlagsGoOverTheFile) {
  const SettingsResult result = ParseSettings(
      kValid + "voter_count = 3\n", "f.toml",
      {{"voter_count", "1"}, {"keyed_services", "a,b"}, {"rebalance_threshold", "0.75"}});
  CHECK(result.errors.empty());
  CHECK_EQUAL(1, result.settings.voter_count);
  CHECK_EQUAL(2U, result.settings.keyed_services.size());
  DOUBLES_EQUAL(0.75, result.settings.rebalance_threshold, 0);
  STRCMP_EQUAL("command line: voter_count: must be a whole number\n",
               ErrorsOf(kValid, {{"voter_count", "3x"}}).c_str());
}

TEST(Settings, EveryFaultNamesFileLineKeyAndReason) {
  const auto error_of = [](const std::string& line) { return ErrorsOf(kValid + line + "\n"); };
  STRCMP_EQUAL("f.toml:9: speed: is not a setting\n", error_of("speed = 1").c_str());
  STRCMP_EQUAL("f.toml:9: grant_duration: is not a setting\n",
               error_of("grant_duration = 900").c_str());
  STRCMP_EQUAL("f.toml:9: voter_count: must be a whole number\n",
               error_of("voter_count = \"3\"").c_str());
  STRCMP_EQUAL("f.toml:9: voter_count: must be from 1 to 9, is 11\n",
               error_of("voter_count = 11").c_str());
  STRCMP_EQUAL("f.toml:9: voter_count: must be odd: an even number tolerates no more losses\n",
               error_of("voter_count = 4").c_str());
  STRCMP_EQUAL("f.toml:9: renewal_interval_ms: must be at most a third of grant_duration_ms\n",
               error_of("renewal_interval_ms = 400").c_str());
  STRCMP_EQUAL("f.toml:9: clock_rate_margin: must be a number\n",
               error_of("clock_rate_margin = nan").c_str());
  STRCMP_EQUAL("f.toml:9: machine_list_address: 'localhost' is not an IP number\n",
               error_of("machine_list_address = \"localhost:80\"").c_str());
  STRCMP_EQUAL("f.toml:9: seed_addresses: 'localhost' is not an IP number\n",
               error_of("seed_addresses = [\"127.0.0.1:8082\", \"localhost:8082\"]").c_str());
  STRCMP_EQUAL("f.toml:9: keyed_services: must be a list of texts\n",
               error_of("keyed_services = \"feedread\"").c_str());
  STRCMP_EQUAL("f.toml:9: log_level: must be debug, info, warning or error\n",
               error_of("log_level = \"loud\"").c_str());
  STRCMP_EQUAL("f.toml:9: group: must be 1 to 64 of a-z, 0-9 and '-'\n",
               error_of("group = \"Main Group\"").c_str());
  STRCMP_CONTAINS("f.toml:9: (syntax): ", error_of("= 3").c_str());
}

TEST(Settings, RequiredKeys) {
  const std::string errors = ErrorsOf("service = \"feedread\"\n");
  for (const char* key :
       {"node", "zone", "http_address", "peer_address", "forward_address", "platform_address"}) {
    STRCMP_CONTAINS((std::string("f.toml:1: ") + key + ": is required\n").c_str(), errors.c_str());
  }
  STRCMP_CONTAINS("server_address: is required when service is set", errors.c_str());
}

TEST(Settings, EveryDescribedKeyIsASettingAndNoOther) {
  const SettingsResult reference = ParseSettings(kValid, "f.toml", {});
  CHECK(reference.errors.empty());
  for (const SettingDescription& described : DescribeSettings()) {
    // A table is of the wrong type for every setting: known keys say so.
    const std::string errors = ErrorsOf(described.key + " = {}\n");
    STRCMP_CONTAINS((described.key + ": must be").c_str(), errors.c_str());
  }
}

TEST(Settings, ThePageListsEverySettingAndNoOther) {
  std::string keys;
  for (const SettingDescription& described : DescribeSettings()) {
    keys += described.key + "\n";
  }
  STRCMP_EQUAL(keys.c_str(), DocumentedSettings().c_str());
}

TEST(Settings, ExampleFilesNameEverySetting) {
  for (const char* name : {"himalwire", "lagesse"}) {
    const std::string text = "\n" + TextOf(std::string("etc/") + name + ".example.toml");
    for (const SettingDescription& described : DescribeSettings()) {
      STRCMP_CONTAINS(("\n" + described.key + " = ").c_str(), text.c_str());
    }
  }
}

TEST(Settings, ExampleFilesAreValid) {
  for (const char* name : {"himalwire", "lagesse"}) {
    const auto result =
        ReadSettings(std::string(RUNSHELF_SOURCE_DIRECTORY) + "/etc/" + name + ".example.toml", {});
    CHECK(result.ok());
    CHECK(result->errors.empty());
  }
  CHECK_FALSE(ReadSettings("/nonexistent/file.toml", {}).ok());
}

}  // namespace runshelf::daemon
