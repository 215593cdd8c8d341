// runshelf-report: judges the promises of the product by what callers saw and servers recorded.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <charconv>
#include <string>

#include "tools/load/judge.h"
#include "tools/load/measures.h"
#include "tools/load/report.h"

namespace {

using runshelf::load::EndedServer;
using runshelf::load::Evidence;
using runshelf::load::LostServer;

constexpr int kExitPromiseBroken = 1;
constexpr int kExitUsage = 2;
constexpr int kExitBadEvidence = 3;

LostServer ParseLost(const std::string& text, const std::string& flag) {
  const size_t separator = text.rfind('=');
  int64_t microseconds = 0;
  const char* const end = text.data() + text.size();
  const char* const begin = separator == std::string::npos ? end : text.data() + separator + 1;
  const auto [last, error] = std::from_chars(begin, end, microseconds);
  if (error != std::errc() || last != end) {
    throw TCLAP::ArgException(fmt::format("\"{}\" is not SERVER=MICROSECONDS", text), flag);
  }
  return {text.substr(0, separator), runshelf::InstantFromMicroseconds(microseconds)};
}

struct Options {
  std::vector<std::string> results;
  std::vector<std::string> records;
  std::vector<LostServer> lost;
  std::vector<EndedServer> ended;
};

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Judges a run by the results of runshelf-load and the servers' records. Exit code 0: all "
      "promises kept; 1: one was broken; 2: bad flags; 3: unreadable input. Example: "
      "runshelf-report --result load.jsonl --record feedread-1.jsonl --record feedread-2.jsonl",
      ' ', RUNSHELF_VERSION);
  TCLAP::MultiArg<std::string> results("", "result", "Result file of runshelf-load", true, "FILE",
                                       command);
  TCLAP::MultiArg<std::string> records("", "record", "Record file of a server", true, "FILE",
                                       command);
  TCLAP::MultiArg<std::string> lost("", "lost",
                                    "Server that was ended during the run, and when on the "
                                    "machine's CLOCK_BOOTTIME",
                                    false, "SERVER=MICROSECONDS", command);
  TCLAP::MultiArg<std::string> planned("", "planned-stop",
                                       "Server that was stopped as planned, and when", false,
                                       "SERVER=MICROSECONDS", command);
  TCLAP::MultiArg<std::string> ended("", "ended-process",
                                     "Server whose process, but not the daemon beside it, was "
                                     "ended, and when: its grants ended with it",
                                     false, "SERVER=MICROSECONDS", command);
  TCLAP::SwitchArg record_lost("", "lost-records",
                               "The records of lost servers are not among those given", command);
  command.setExceptionHandling(false);  // Errors end the program with its own exit code.
  command.parse(argc, argv);
  Options options{results.getValue(), records.getValue(), {}, {}};
  for (const std::string& text : lost.getValue()) {
    options.lost.push_back(ParseLost(text, "--lost"));
    options.lost.back().record_lost = record_lost.getValue();
  }
  for (const std::string& text : planned.getValue()) {
    options.lost.push_back(ParseLost(text, "--planned-stop"));
    options.lost.back().planned = true;
  }
  for (const std::string& text : ended.getValue()) {
    const LostServer server = ParseLost(text, "--ended-process");
    options.ended.push_back({server.server, server.at});
  }
  return options;
}

absl::Status ReadAll(const Options& options, Evidence& evidence) {
  for (const std::string& file : options.results) {
    if (absl::Status status = runshelf::load::ReadAttempts(file, evidence); !status.ok()) {
      return status;
    }
  }
  for (const std::string& file : options.records) {
    if (absl::Status status = runshelf::load::ReadServerRecord(file, evidence); !status.ok()) {
      return status;
    }
  }
  evidence.lost = options.lost;
  evidence.ended = options.ended;
  runshelf::load::SortByTime(evidence);
  return absl::OkStatus();
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  try {
    options = ParseOptions(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? 0 : kExitUsage;
  } catch (const TCLAP::ArgException& error) {
    fmt::print(stderr, "runshelf-report: {} {}\n", error.error(), error.argId());
    return kExitUsage;
  }
  Evidence evidence;
  if (const absl::Status status = ReadAll(options, evidence); !status.ok()) {
    fmt::print(stderr, "runshelf-report: {}\n", std::string(status.message()));
    return kExitBadEvidence;
  }
  const auto findings = runshelf::load::Judge(evidence);
  fmt::print("{}", runshelf::load::FormatReport(findings, runshelf::load::Measure(evidence)));
  return findings.empty() ? 0 : kExitPromiseBroken;
}
