// Everything that the report judges: what callers saw and what servers recorded.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/slot.h"
#include "tools/load/attempt_record.h"
#include "tools/server_standin/execution_record.h"

namespace runshelf::load {

using server_standin::AcceptedGrant;
using server_standin::Execution;

// A server that was ended or paused during the run.
struct LostServer {
  std::string server;
  Instant at;
  bool planned = false;      // Stopped as planned, which must cut no request.
  bool record_lost = false;  // Its record ended with it, so what it executed is not known.
};

// A server process that was ended on purpose: its grants ended with it, whatever their expiry.
struct EndedServer {
  std::string server;
  Instant at;
};

// All instants are of one machine's clock.
struct Evidence {
  std::vector<AttemptRecord> attempts;
  std::vector<Execution> executions;  // Ascending by time once SortByTime was called.
  std::vector<AcceptedGrant> grants;  // Likewise.
  std::vector<LostServer> lost;
  std::vector<EndedServer> ended;
  std::map<std::string, std::string> service_of_server;
};

// Appends the attempts in a result file of runshelf-load. kNotFound, or kInvalidArgument with the
// line.
absl::Status ReadAttempts(const std::string& file, Evidence& evidence);

// Appends the entries of a server's record. A last line that was cut short by a kill is passed
// over.
absl::Status ReadServerRecord(const std::string& file, Evidence& evidence);

void SortByTime(Evidence& evidence);

// The call that an execution belongs to, from the query of its path; empty when there is none.
std::string CallOfPath(const std::string& path);

// A slot of a service.
struct SlotId {
  std::string service;
  SlotNumber slot = 0;

  auto operator<=>(const SlotId&) const = default;  // NOLINT(modernize-use-nullptr)
};

// A period in which a server held a slot by its grants: from the acceptance of the first one that
// names the slot to the expiry, or the replacement, of the last one, or the end of the process.
struct Tenure {
  std::string server;
  Instant start;
  Instant end;
};

// The tenures of every slot, ascending by start. `evidence` must be sorted by time.
std::map<SlotId, std::vector<Tenure>> TenuresBySlot(const Evidence& evidence);

}  // namespace runshelf::load
