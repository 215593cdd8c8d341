// Soak test: runs a fleet of real sidecar processes on one machine, injects faults from outside,
// and checks the documented guarantees with clients and workers that run in this process.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "source/event/event_loop.h"
#include "tests/soak/clients.h"
#include "tests/soak/downloads.h"
#include "tests/soak/fatal_requests.h"
#include "tests/soak/fault_driver.h"
#include "tests/soak/responsiveness.h"
#include "tests/soak/rude_clients.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/witness.h"

namespace runshelf::soak {

struct SoakOptions {
  std::string program;    // Path of the sidecar executable.
  std::string directory;  // For settings and log files; must exist.
  uint64_t seed = 1;
  Duration duration = std::chrono::seconds(60);  // Includes the fault-free time at the end.
  size_t nodes = 12;
  bool store_restores = false;  // Faults include restoring the store from an older snapshot.
  bool second_answers = false;  // Faults include workers that send a response twice.
  bool stated_limits = false;   // Faults include workers that state limits of their rates.
  // Operators evacuate zones, and workers are cold after their start.
  bool evacuations = false;
  bool downloads = false;       // Clients download more than the workers' links carry.
  bool rude_clients = false;    // Some clients exceed the limits of their requests.
  bool fatal_requests = false;  // Some requests terminate the worker that starts them.
};

struct SoakResult {
  std::vector<std::string> violations;
  std::vector<std::string> faults;  // The fault plan, one line per fault.
  AnswerCounts counts;
  bool interrupted = false;  // Ended by a signal; the run proves nothing.
  double served_at_end = 0;  // Fraction of requests served in the final measurement window.
  std::vector<std::string> unserved_at_end;
  // Scheduling gaps of this process. Shows, like `slowest_answer`, how loaded the machine was.
  int stalls = 0;
  int fatal_ends = 0;             // Workers terminated by fatal requests.
  size_t second_answers = 0;      // Responses that workers sent twice.
  uint64_t downloads = 0;         // Downloads that workers answered.
  uint64_t rude_connections = 0;  // Connections of clients that exceed the limits.
  Duration slowest_answer{0};     // Slowest readiness response of any node.
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  SoakResult Run();

 private:
  void Interrupt();
  void Watch();

  SoakOptions options_;
  std::vector<std::string> services_;
  std::vector<PlannedFault> plan_;
  event::EventLoop loop_;
  Witness witness_;
  SoakFleet fleet_;
  FaultDriver driver_;
  Clients clients_;
  FatalRequests fatal_requests_;
  Downloads downloads_;
  RudeClients rude_clients_;
  Responsiveness responsiveness_;
  event::Timer watch_timer_;
  event::Timer end_timer_;
  // Stop the run on a signal, so that the child processes are terminated as well.
  event::SignalWatcher terminate_;
  event::SignalWatcher interrupt_;
  event::SignalWatcher hang_up_;
  Instant started_{};
  Instant watched_at_{};
  SoakResult result_;
};

}  // namespace runshelf::soak
