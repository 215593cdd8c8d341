#include "source/ctl/command.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <functional>
#include <map>
#include <sstream>
#include <utility>

#include "source/ctl/files.h"

namespace runshelf::ctl {
namespace {

constexpr const char* kOverview =
    R"(runshelfctl edits the operators' table and shows the state of the fleet.

  runshelfctl table show     --platform IP:PORT
  runshelfctl table set      --platform IP:PORT SERVICE CLASS [--weight N] [--limit N | --no-limit]
  runshelfctl table delete   --platform IP:PORT SERVICE CLASS
  runshelfctl table import   --platform IP:PORT [--base EXPORTED.csv] FILE.csv
  runshelfctl table export   --platform IP:PORT [--output FILE.csv]
  runshelfctl table history  --platform IP:PORT [--edit ID]
  runshelfctl quarantine list    --store platform --platform IP:PORT
  runshelfctl quarantine release --store platform --platform IP:PORT FINGERPRINT
  runshelfctl status         --daemon IP:PORT
  runshelfctl explain        REQUEST LOG...

Example:
  runshelfctl table set --platform 127.0.0.1:2379 dispatch issuer --weight 100 --limit 500

A fleet of sidecars keeps its table in the platform's store: give --store platform with its address.
Services and classes are then those of the routes: SERVICE priority-N, or SERVICE calls for calls that
workers make while they run a request. A cell goes before what the route gives; deleting it ends that.

Sidecars keep requests from their workers under which workers ended again and again; quarantine lists
them, and releases one that is held by mistake.

Each command prints its options with --help.
)";

constexpr const char* kExitCodes = R"(
Exit codes:
  0  done
  1  refused or conflict, nothing was changed
  2  wrong command line
  3  the platform or the daemon is away, nothing was changed
  4  undetermined: the edit may be in force, look at `runshelfctl table history`
)";

// Collects the text that TCLAP would print itself, so that the caller decides where it goes.
class TextOutput : public TCLAP::StdOutput {
 public:
  void usage(TCLAP::CmdLineInterface& command_line) override {
    std::ostringstream text;
    text << command_line.getMessage() << "\n\nUsage:\n";
    _shortUsage(command_line, text);
    text << "\nOptions:\n";
    _longUsage(command_line, text);
    text << kExitCodes;
    output = text.str();
  }

  void version(TCLAP::CmdLineInterface& command_line) override {
    output = fmt::format("runshelfctl {}\n", command_line.getVersion());
  }

  std::string output;
};

// TCLAP is configured with one delimiter and accepts only "--name value". Splits "--name=value"
// into two arguments so that both forms work.
void AppendArgument(const std::string& argument, std::vector<std::string>& arguments) {
  const size_t separator = argument.find('=');
  if (!argument.starts_with("--") || separator == std::string::npos) {
    arguments.push_back(argument);
    return;
  }
  arguments.push_back(argument.substr(0, separator));
  arguments.push_back(argument.substr(separator + 1));
}

// The TCLAP parser of one command, set up to throw and to collect its output.
struct CommandLine {
  CommandLine(const std::string& name, const std::string& example)
      : tclap(fmt::format("Example: runshelfctl {}", example), ' ', RUNSHELF_VERSION),
        program(fmt::format("runshelfctl {}", name)) {
    tclap.setExceptionHandling(false);
    tclap.setOutput(&output);
  }

  void Parse(const std::vector<std::string>& arguments) {
    std::vector<std::string> with_program = {program};
    for (const std::string& argument : arguments) AppendArgument(argument, with_program);
    tclap.parse(with_program);
  }

  TCLAP::CmdLine tclap;
  std::string program;
  TextOutput output;
};

// Options of all commands that access the store: table and quarantine.
struct TableOptions {
  TableOptions(CommandLine& line, const std::string& default_author)
      : platform("p", "platform", "Address of the platform's key-value service", true, "",
                 "IP:PORT", line.tclap),
        store("", "store", "Kind of that service: etcd, or platform for sidecars", false, "etcd",
              "KIND", line.tclap),
        author("", "author", "Name that the history shows for an edit", false, default_author,
               "NAME", line.tclap) {}

  Invocation ToInvocation(Command command) {
    const bool is_platform = store.getValue() == "platform";
    if (!is_platform && store.getValue() != "etcd") {
      throw TCLAP::ArgException("etcd or platform is expected", "store");
    }
    return {std::move(command), platform.getValue(),
            is_platform ? StoreKind::kPlatform : StoreKind::kEtcd, author.getValue()};
  }

  TCLAP::ValueArg<std::string> platform;
  TCLAP::ValueArg<std::string> store;
  TCLAP::ValueArg<std::string> author;
};

// Positional arguments that identify a cell: service and caller class.
struct CellArguments {
  explicit CellArguments(CommandLine& line)
      : service("service", "Service, a row of the table", true, "", "SERVICE", line.tclap),
        caller_class("class", "Caller class, a column of the table", true, "", "CLASS",
                     line.tclap) {}

  table::CellKey ToKey() { return {service.getValue(), caller_class.getValue()}; }

  TCLAP::UnlabeledValueArg<std::string> service;
  TCLAP::UnlabeledValueArg<std::string> caller_class;
};

// Input of the parser of one command.
struct ParseRequest {
  CommandLine& line;
  const std::vector<std::string>& arguments;
  const std::string& default_author;
};

Invocation ParseShow(const ParseRequest& request) {
  TableOptions options(request.line, request.default_author);
  request.line.Parse(request.arguments);
  return options.ToInvocation(ShowCommand{});
}

Invocation ParseSet(const ParseRequest& request) {
  TableOptions options(request.line, request.default_author);
  TCLAP::ValueArg<int64_t> weight("w", "weight", "1 to 1000000; higher is served first", false, 0,
                                  "N", request.line.tclap);
  TCLAP::ValueArg<int64_t> limit("l", "limit",
                                 "Requests per second across the fleet, 0 to 100000000", false, 0,
                                 "N", request.line.tclap);
  TCLAP::SwitchArg no_limit("", "no-limit", "Take the limit away", request.line.tclap);
  CellArguments cell(request.line);
  request.line.Parse(request.arguments);
  SetCommand command{cell.ToKey(), std::nullopt, std::nullopt, no_limit.getValue()};
  if (weight.isSet()) command.weight = weight.getValue();
  if (limit.isSet()) command.limit = limit.getValue();
  if (limit.isSet() && no_limit.isSet()) {
    throw TCLAP::CmdLineParseException("--limit and --no-limit are mutually exclusive");
  }
  if (!weight.isSet() && !limit.isSet() && !no_limit.isSet()) {
    throw TCLAP::CmdLineParseException(
        "at least one of --weight, --limit and --no-limit is required");
  }
  return options.ToInvocation(command);
}

Invocation ParseDelete(const ParseRequest& request) {
  TableOptions options(request.line, request.default_author);
  CellArguments cell(request.line);
  request.line.Parse(request.arguments);
  return options.ToInvocation(DeleteCommand{cell.ToKey()});
}

Invocation ParseImport(const ParseRequest& request) {
  TableOptions options(request.line, request.default_author);
  TCLAP::ValueArg<std::string> base(
      "b", "base",
      "The file as exported, before it was changed: only the changes between the two are made, and "
      "rows that are gone are deleted. Without it, every row that differs is written and cells "
      "without a row stay",
      false, "", "FILE", request.line.tclap);
  TCLAP::UnlabeledValueArg<std::string> file("file", "CSV file, - for standard input", true, "",
                                             "FILE", request.line.tclap);
  request.line.Parse(request.arguments);
  ImportCommand command{file.getValue(), std::nullopt};
  if (base.isSet()) command.base_file = base.getValue();
  return options.ToInvocation(command);
}

Invocation ParseExport(const ParseRequest& request) {
  TableOptions options(request.line, request.default_author);
  TCLAP::ValueArg<std::string> file("o", "output", "CSV file to write; standard output without it",
                                    false, std::string(kStandardStream), "FILE",
                                    request.line.tclap);
  request.line.Parse(request.arguments);
  return options.ToInvocation(ExportCommand{file.getValue()});
}

Invocation ParseHistory(const ParseRequest& request) {
  TableOptions options(request.line, request.default_author);
  TCLAP::ValueArg<std::string> edit("e", "edit", "Show this edit only", false, "", "ID",
                                    request.line.tclap);
  request.line.Parse(request.arguments);
  HistoryCommand command;
  if (edit.isSet()) command.edit_id = edit.getValue();
  return options.ToInvocation(command);
}

// Rejects `--store etcd`: only fleets of sidecars have a quarantine, in the platform's store.
Invocation RequirePlatformStore(Invocation invocation) {
  if (invocation.store != StoreKind::kPlatform) {
    throw TCLAP::ArgException("platform is expected", "store");
  }
  return invocation;
}

Invocation ParseQuarantineList(const ParseRequest& request) {
  TableOptions options(request.line, request.default_author);
  request.line.Parse(request.arguments);
  return RequirePlatformStore(options.ToInvocation(QuarantineListCommand{}));
}

Invocation ParseQuarantineRelease(const ParseRequest& request) {
  TableOptions options(request.line, request.default_author);
  TCLAP::UnlabeledValueArg<std::string> fingerprint("fingerprint", "As the list shows it", true, "",
                                                    "FINGERPRINT", request.line.tclap);
  request.line.Parse(request.arguments);
  return RequirePlatformStore(
      options.ToInvocation(QuarantineReleaseCommand{fingerprint.getValue()}));
}

Invocation ParseStatus(const ParseRequest& request) {
  TCLAP::ValueArg<std::string> daemon("d", "daemon", "http_address of any daemon", true, "",
                                      "IP:PORT", request.line.tclap);
  request.line.Parse(request.arguments);
  return {StatusCommand{daemon.getValue()}, "", StoreKind::kEtcd, request.default_author};
}

Invocation ParseExplain(const ParseRequest& request) {
  TCLAP::UnlabeledValueArg<std::string> id("request", "Id of the request", true, "", "REQUEST",
                                           request.line.tclap);
  TCLAP::UnlabeledMultiArg<std::string> files("logs", "Logs of nodes", true, "LOG",
                                              request.line.tclap);
  request.line.Parse(request.arguments);
  return {ExplainCommand{id.getValue(), files.getValue()}, "", StoreKind::kEtcd,
          request.default_author};
}

// `example` is shown in the command's help.
struct CommandParser {
  std::string example;
  std::function<Invocation(const ParseRequest&)> parse;
};

// The parsers by command name.
const std::map<std::string, CommandParser>& CommandParsers() {
  static const auto* const parsers = new std::map<std::string, CommandParser>{
      {"table show", {"table show --platform 127.0.0.1:2379", ParseShow}},
      {"table set",
       {"table set --platform 127.0.0.1:2379 dispatch issuer --weight 100 --limit 500", ParseSet}},
      {"table delete", {"table delete --platform 127.0.0.1:2379 dispatch trial", ParseDelete}},
      {"table import",
       {"table import --platform 127.0.0.1:2379 --base exported.csv changed.csv", ParseImport}},
      {"table export", {"table export --platform 127.0.0.1:2379 --output table.csv", ParseExport}},
      {"table history", {"table history --platform 127.0.0.1:2379", ParseHistory}},
      {"quarantine list",
       {"quarantine list --store platform --platform 10.200.1.7:8309", ParseQuarantineList}},
      {"quarantine release",
       {"quarantine release --store platform --platform 10.200.1.7:8309 "
        "0123456789abcdef0123456789abcdef",
        ParseQuarantineRelease}},
      {"status", {"status --daemon 127.0.0.1:7101", ParseStatus}},
      {"explain", {"explain 9c41d07be2a35f68 node-1.log node-2.log", ParseExplain}},
  };
  return *parsers;
}

ParseExit UsageError(const std::string& message) {
  return {kExitUsage, fmt::format("runshelfctl: {}; see runshelfctl --help\n", message)};
}

std::variant<Invocation, ParseExit> ParseCommand(const std::string& name,
                                                 const CommandParser& parser,
                                                 const std::vector<std::string>& arguments,
                                                 const std::string& default_author) {
  CommandLine line(name, parser.example);
  try {
    return parser.parse({line, arguments, default_author});
  } catch (const TCLAP::ArgException& exception) {
    const std::string argument = exception.argId();
    const std::string subject = argument.empty() || argument == " " ? "" : argument + ": ";
    return UsageError(fmt::format("{}: {}{}", name, subject, exception.error()));
  } catch (const TCLAP::ExitException& exception) {
    return ParseExit{exception.getExitStatus(), line.output.output};
  }
}

}  // namespace

std::variant<Invocation, ParseExit> ParseCommandLine(const std::vector<std::string>& arguments,
                                                     const std::string& default_author) {
  if (arguments.empty()) return UsageError("no command given");
  const std::string& first = arguments.front();
  if (first == "--help" || first == "-h") {
    return ParseExit{kExitOk, std::string(kOverview) + kExitCodes};
  }
  if (first == "--version") {
    return ParseExit{kExitOk, fmt::format("runshelfctl {}\n", RUNSHELF_VERSION)};
  }
  std::string name = first;
  size_t name_length = 1;
  if ((first == "table" || first == "quarantine") && arguments.size() > 1) {
    if (arguments[1] == "--help" || arguments[1] == "-h") {
      return ParseExit{kExitOk, std::string(kOverview) + kExitCodes};
    }
    name += " " + arguments[1];
    name_length = 2;
  }
  const auto parser = CommandParsers().find(name);
  if (parser == CommandParsers().end()) {
    return UsageError(fmt::format("unknown command '{}'", name));
  }
  const std::vector<std::string> rest(arguments.begin() + static_cast<std::ptrdiff_t>(name_length),
                                      arguments.end());
  return ParseCommand(name, parser->second, rest, default_author);
}

}  // namespace runshelf::ctl
