// Counters and latencies of one daemon, for GET /metrics.
#pragma once

#include <memory>
#include <string>

#include "runshelf/common/clock.h"
#include "runshelf/common/verdict.h"

namespace prometheus {
class Registry;
}

namespace runshelf::daemon {

// Labels come from the table and from fixed lists only, so that no caller can make their number
// grow. Safe for use by several threads at once.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // One answer to a caller. `service` and `caller_class` are empty when the table has no such cell.
  void OnAnswer(const std::string& service, const std::string& caller_class, int status,
                Verdict verdict, Duration latency);

  // One attempt to forward a request, by its outcome.
  void OnAttempt(const std::string& outcome);

  // One request handled beside the server: "answered" or the value of Runshelf-Refused or -Failed.
  void OnEgress(const std::string& result);

  // Sets a gauge that needs no labels, for example "owned_slots".
  void SetGauge(const std::string& name, double value);

  // Prometheus' text format.
  std::string Serialize() const;

 private:
  struct Families;
  std::unique_ptr<prometheus::Registry> registry_;
  std::unique_ptr<Families> families_;
};

}  // namespace runshelf::daemon
