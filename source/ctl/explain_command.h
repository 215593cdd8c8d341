// The explain command of runshelfctl: the way of one request through the logs of several nodes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "source/ctl/table_commands.h"

namespace runshelf::ctl {

// One log of one node.
struct NodeLog {
  std::string name;  // Of the file.
  std::string text;  // Lines of key=value pairs.
};

// Returns the lines that tell of the request, or of calls that a worker made while it ran it, in
// order of their `time` fields, each after the name of its log. Lines without a readable time come
// first. Times of different machines are compared as they are.
std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<NodeLog>& logs);

// Returns the exit code: kExitRefused when no line tells of the request.
int RunExplainCommand(const ExplainCommand& command, const Streams& streams);

}  // namespace runshelf::ctl
