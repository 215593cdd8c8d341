// Checks the promises of the product against the servers' own record of executions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "tools/load/evidence.h"

namespace runshelf::load {

enum class Violation {
  // A server executed for a slot after another server had executed for it under the same or a
  // higher fencing token.
  kDoubleOwner,
  // Two servers held grants for the same slot at the same moment.
  kOverlappingGrants,
  // A caller was told that the request did not run, and a server executed it.
  kFalseNotRun,
  // A caller was told that the request ran, and no server executed it.
  kFalseRan,
  // A call that must not be repeated was executed more than once.
  kRepeatedRun,
  // An answer was not complete, not the caller's own, or had no verdict.
  kWrongAnswer,
  // A server executed something that no caller had sent.
  kUnknownExecution,
  // A connection was cut under a request though no machine was lost.
  kCutRequest,
};

constexpr std::initializer_list<Violation> kAllViolations = {
    Violation::kDoubleOwner,      Violation::kOverlappingGrants, Violation::kFalseNotRun,
    Violation::kFalseRan,         Violation::kRepeatedRun,       Violation::kWrongAnswer,
    Violation::kUnknownExecution, Violation::kCutRequest};

// Stable identifier, the key of the report's line.
std::string_view ViolationName(Violation violation);

struct Finding {
  Violation violation = Violation::kWrongAnswer;
  std::string detail;
};

// All violations in `evidence`, which must be sorted by time.
std::vector<Finding> Judge(const Evidence& evidence);

}  // namespace runshelf::load
