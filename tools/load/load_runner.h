// Drives the calls of a CallGenerator over HTTP in an open loop: a call is sent when it is due,
// whatever became of the earlier ones.
#pragma once

#include <atomic>
#include <vector>

#include "runshelf/common/clock.h"
#include "tools/load/attempt_record.h"
#include "tools/load/call_generator.h"
#include "tools/load/http_caller.h"

namespace runshelf::load {

struct LoadConfig {
  GeneratorConfig generator;
  std::vector<Endpoint> endpoints;
  bool direct = false;
  bool warm_up = false;  // Marks the records, see AttemptRecord.
  Duration length = std::chrono::seconds(10);
  Duration deadline = std::chrono::seconds(2);  // Of each call.
  size_t threads = 64;                          // Calls under way at the same time.
};

// Blocks until all calls that are due within `config.length` have ended. Once `stop` is true no
// further call is sent; those under way are ended. The records are in order of their due times.
std::vector<AttemptRecord> RunLoad(const LoadConfig& config, const Clock& clock,
                                   const std::atomic<bool>& stop);

}  // namespace runshelf::load
