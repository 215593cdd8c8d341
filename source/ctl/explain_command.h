// The explain command of runshelfctl: collects the log lines of one request from the logs of
// several nodes, in order of time.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "source/ctl/table_commands.h"

namespace runshelf::ctl {

// The log of one node.
struct NodeLog {
  std::string name;  // File name.
  std::string text;  // Lines of key=value pairs.
};

// Returns the log lines of the request and of the calls that a worker made while running it, each
// prefixed with the name of its log and sorted by the `time` field. Lines whose time is missing or
// malformed come first. Clock differences between machines are not corrected.
std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<NodeLog>& logs);

// Prints the lines and returns the exit code: kExitRefused if no line belongs to the request,
// kExitUsage if a log cannot be read.
int RunExplainCommand(const ExplainCommand& command, const Streams& streams);

}  // namespace runshelf::ctl
