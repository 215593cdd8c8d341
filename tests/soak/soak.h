// A fleet of real sidecar processes on one machine, disturbed from outside, while callers and
// workers of this process check what the users were promised.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "source/event/event_loop.h"
#include "tests/soak/clients.h"
#include "tests/soak/fatal_requests.h"
#include "tests/soak/fault_driver.h"
#include "tests/soak/responsiveness.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/witness.h"

namespace runshelf::soak {

struct SoakOptions {
  std::string program;    // Of the sidecar.
  std::string directory;  // For settings and logs; must exist.
  uint64_t seed = 1;
  Duration duration = std::chrono::seconds(60);  // Includes the calm time at the end.
  size_t nodes = 12;
  bool store_restores = false;  // The store comes back from older copies of its data.
  bool second_answers = false;  // Workers answer twice.
  bool fatal_requests = false;  // Some requests end the workers that begin them, until the end.
};

struct SoakResult {
  std::vector<std::string> violations;
  std::vector<std::string> faults;  // As they were planned.
  AnswerCounts counts;
  bool interrupted = false;  // By a signal: nothing is shown.
  double served_at_end = 0;  // Share of the requests of the last calm seconds.
  std::vector<std::string> unserved_at_end;
  // Of this process, and the longest time that a node took to answer: how busy the machine was.
  int stalls = 0;
  int fatal_ends = 0;         // Of workers, by requests that end them.
  size_t second_answers = 0;  // Of workers.
  Duration slowest_answer{0};
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
  Responsiveness responsiveness_;
  event::Timer watch_timer_;
  event::Timer end_timer_;
  // Ended from outside: the processes that were started end too.
  event::SignalWatcher terminate_;
  event::SignalWatcher interrupt_;
  event::SignalWatcher hang_up_;
  Instant started_{};
  Instant watched_at_{};
  SoakResult result_;
};

}  // namespace runshelf::soak
