// The measures of the report: imbalance, churn, unavailable time, answers and latency.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tools/load/evidence.h"

namespace runshelf::load {

// The largest number of executions of one worker over the mean of the service's workers that were
// alive, in windows of one second with enough executions to tell.
struct Imbalance {
  double mean = 0;
  double largest = 0;
  size_t windows = 0;
};

// Changes of owner while the load ran.
struct Churn {
  size_t moved_slots = 0;
  size_t least_necessary = 0;  // Slots that lost servers held when they were lost.
};

// Periods in which a slot had no living owner while the load ran, by the servers' grants: from the
// loss of its server, or the end of its tenure, to the next tenure.
struct Ownerless {
  Duration longest{0};
  Duration sum{0};  // Over all slots.
  size_t slots = 0;
};

// Periods in which a slot, or a service without keys, did not serve callers. One begins when a
// request is sent that fails for want of a server or that waits longer than `kSlowAnswer`, and ends
// with the next success.
struct Unavailability {
  Duration longest{0};
  Duration sum{0};  // Over all slots of the service.
  size_t periods = 0;
};

constexpr Duration kSlowAnswer = std::chrono::milliseconds(500);

struct Latency {
  size_t samples = 0;
  Duration p50{0};
  Duration p99{0};
};

// Answers to the attempts of one service and class.
struct AnswerCounts {
  size_t attempts = 0;
  size_t succeeded = 0;
  std::map<std::string, size_t> failures;  // By identifier.
  Latency latency;                         // Of the successes.
};

struct ServiceAndClass {
  std::string service;
  std::string caller_class;

  auto operator<=>(const ServiceAndClass&) const = default;
};

struct Measures {
  std::map<std::string, Imbalance> imbalance;            // By service.
  std::map<std::string, Churn> churn;                    // By service that is divided by key.
  std::map<std::string, Ownerless> ownerless;            // By service with slots.
  std::map<std::string, Unavailability> unavailability;  // By service.
  std::map<ServiceAndClass, AnswerCounts> answers;       // Through daemons.
  Latency through_daemons;  // Successes of first attempts that ended before any server was lost.
  Latency whole_run;        // Successes of first attempts.
  Latency direct;
  size_t executions = 0;
};

// `evidence` must be sorted by time.
Measures Measure(const Evidence& evidence);

}  // namespace runshelf::load
