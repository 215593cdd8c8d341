#include "source/ctl/command.h"

#include <CppUTest/TestHarness.h>

#include "source/ctl/status_command.h"

using namespace runshelf::ctl;  // NOLINT: the tests use most of its names.

namespace {

const std::string kPlatform = "--platform=127.0.0.1:2379";

// Returns the ParseExit of an invalid or informational command line, exit code -1 if it parses.
ParseExit ExitOf(const std::vector<std::string>& arguments) {
  const auto parsed = ParseCommandLine(arguments, "anna");
  const auto* const parse_exit = std::get_if<ParseExit>(&parsed);
  return parse_exit == nullptr ? ParseExit{-1, "parsed"} : *parse_exit;
}

// Parses a command line that must be valid and returns its command.
template <typename Wanted>
Wanted CommandOf(const std::vector<std::string>& arguments) {
  const auto parsed = ParseCommandLine(arguments, "anna");
  if (std::holds_alternative<ParseExit>(parsed)) {
    FAIL(std::get<ParseExit>(parsed).output.c_str());
  }
  return std::get<Wanted>(std::get<Invocation>(parsed).command);
}

}  // namespace

TEST_GROUP(Command){};

TEST(Command, TheStoreOptionSelectsTheStoreKind) {
  const auto kind = [](const std::vector<std::string>& arguments) {
    return std::get<Invocation>(ParseCommandLine(arguments, "anna")).store;
  };
  CHECK(kind({"table", "show", kPlatform}) == StoreKind::kEtcd);
  CHECK(kind({"table", "show", kPlatform, "--store=platform"}) == StoreKind::kPlatform);
  CHECK_EQUAL(kExitUsage, ExitOf({"table", "show", kPlatform, "--store=paper"}).exit_code);
}

TEST(Command, EachCommandIsParsed) {
  const auto set = CommandOf<SetCommand>(
      {"table", "set", kPlatform, "dispatch", "issuer", "--weight", "5", "--limit", "0"});
  CHECK((set.key == runshelf::table::CellKey{"dispatch", "issuer"}));
  CHECK(set.weight == 5);
  CHECK(set.limit == 0);
  CHECK(CommandOf<SetCommand>({"table", "set", "a", "b", "--no-limit", kPlatform}).no_limit);
  CommandOf<ShowCommand>({"table", "show", kPlatform});
  const auto explain = CommandOf<ExplainCommand>({"explain", "9c41", "a.log", "b.log"});
  STRCMP_EQUAL("9c41", explain.request_id.c_str());
  CHECK_EQUAL(2, explain.files.size());
  CommandOf<DeleteCommand>({"table", "delete", kPlatform, "a", "b"});
  STRCMP_EQUAL("-", CommandOf<ExportCommand>({"table", "export", kPlatform}).file.c_str());
  const auto import =
      CommandOf<ImportCommand>({"table", "import", kPlatform, "--base", "old", "new"});
  STRCMP_EQUAL("new", import.file.c_str());
  STRCMP_EQUAL("old", import.base_file->c_str());
  CHECK(CommandOf<HistoryCommand>({"table", "history", kPlatform, "-e", "x"}).edit_id == "x");
  CommandOf<QuarantineListCommand>({"quarantine", "list", kPlatform, "--store=platform"});
  STRCMP_EQUAL("ab", CommandOf<QuarantineReleaseCommand>(
                         {"quarantine", "release", kPlatform, "--store=platform", "ab"})
                         .fingerprint.c_str());
  CommandOf<StatusCommand>({"status", "--daemon", "127.0.0.1:1"});
}

TEST(Command, WrongCommandLinesAreUsageErrors) {
  const std::vector<std::vector<std::string>> command_lines = {
      {},
      {"table"},
      {"table", "paint"},
      {"table", "show"},
      {"table", "show", kPlatform, "extra"},
      {"table", "set", kPlatform, "a"},
      {"table", "set", kPlatform, "a", "b"},
      {"table", "set", kPlatform, "a", "b", "--weight", "heavy"},
      {"table", "set", kPlatform, "a", "b", "--limit", "1", "--no-limit"},
      {"table", "import", kPlatform},
      {"status"},
      {"quarantine"},
      {"quarantine", "list", kPlatform},
      {"quarantine", "release", kPlatform, "--store=platform"},
  };
  for (const auto& arguments : command_lines) {
    const ParseExit parse_exit = ExitOf(arguments);
    LONGS_EQUAL(kExitUsage, parse_exit.exit_code);
    STRCMP_CONTAINS("see runshelfctl --help", parse_exit.output.c_str());
  }
}

TEST(Command, HelpShowsAnExampleAndTheExitCodes) {
  const std::vector<std::vector<std::string>> command_lines = {
      {"--help"}, {"table", "--help"}, {"table", "set", "--help"}, {"status", "--help"}};
  for (const auto& arguments : command_lines) {
    const ParseExit parse_exit = ExitOf(arguments);
    LONGS_EQUAL(kExitOk, parse_exit.exit_code);
    STRCMP_CONTAINS("Example:", parse_exit.output.c_str());
    STRCMP_CONTAINS("Exit codes:", parse_exit.output.c_str());
  }
}

TEST(Command, VersionIsPrinted) {
  STRCMP_CONTAINS("runshelfctl 0.", ExitOf({"--version"}).output.c_str());
  STRCMP_CONTAINS("runshelfctl 0.", ExitOf({"table", "show", "--version"}).output.c_str());
}

TEST(Command, StatusIsPrintedAsIndentedLines) {
  const auto text = FormatStatus(
      R"({"node":"a\u001b","members":[{"node":"b","slots":[1,2]}],"empty":{},"away":null})");
  STRCMP_EQUAL("away: none\nempty: none\nmembers:\n  #1:\n    node: b\n    slots: 1, 2\nnode: a?\n",
               text->c_str());
  CHECK_FALSE(FormatStatus("[]").ok());
  CHECK_FALSE(FormatStatus("{").ok());
  // Nesting beyond the depth limit must not overflow the stack.
  const std::string deep = "{\"a\":" + std::string(1000, '[') + std::string(1000, ']') + "}";
  CHECK(FormatStatus(deep).ok());
}
