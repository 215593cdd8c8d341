// docs/OPERATIONS.md names every event that the programs log, and no other.

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace runshelf::daemon {
namespace {

const std::filesystem::path kRepository = RUNSHELF_SOURCE_DIRECTORY;

std::string TextOf(const std::filesystem::path& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void AddMatches(const std::string& text, const std::regex& pattern, std::set<std::string>& found) {
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
    found.insert((*match)[1]);
  }
}

// Returns `text` without what stands in braces: the fields of an event.
std::string WithoutBraces(const std::string& text) {
  std::string outside;
  int depth = 0;
  for (const char character : text) {
    depth += character == '{' ? 1 : 0;
    if (depth == 0) {
      outside += character;
    }
    depth -= character == '}' ? 1 : 0;
  }
  return outside;
}

// Returns the names given to LogEvent and to NodeContext::Log in one source file.
std::set<std::string> EventsIn(const std::string& source) {
  static const std::regex kCall(R"(\b(?:LogEvent|context_\.Log)\(([^;]*);)");
  static const std::regex kName(R"re("([a-z_]+)")re");
  std::set<std::string> calls;
  AddMatches(source, kCall, calls);
  std::set<std::string> events;
  for (const std::string& arguments : calls) {
    AddMatches(WithoutBraces(arguments), kName, events);
  }
  return events;
}

std::set<std::string> LoggedEvents() {
  std::set<std::string> events;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(kRepository / "source")) {
    if (entry.path().extension() == ".cc") {
      events.merge(EventsIn(TextOf(entry.path())));
    }
  }
  return events;
}

// Returns the names in the first column of the page's table of events.
std::set<std::string> DocumentedEvents() {
  static const std::regex kName("`([a-z_]+)`");
  const std::string page = TextOf(kRepository / "docs/OPERATIONS.md");
  std::istringstream section(page.substr(page.find("## Log events")));
  std::set<std::string> events;
  for (std::string line; std::getline(section, line);) {
    if (line.starts_with("| `")) {
      AddMatches(line.substr(0, line.find('|', 1)), kName, events);
    }
  }
  return events;
}

std::string Lines(const std::set<std::string>& names) {
  std::string lines;
  for (const std::string& name : names) {
    lines += name + "\n";
  }
  return lines;
}

}  // namespace

TEST_GROUP(OperationsPage){};

TEST(OperationsPage, ListsEveryLoggedEventAndNoOther) {
  CHECK(LoggedEvents().contains("daemon_started"));
  STRCMP_EQUAL(Lines(LoggedEvents()).c_str(), Lines(DocumentedEvents()).c_str());
}

}  // namespace runshelf::daemon
