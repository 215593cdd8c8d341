// Checks that workers get no more requests than the limits that they state. Performs no I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"

namespace runshelf::soak {

// Counts the requests of each worker from the machines that passed on an answer with its limit.
class LimitJudge {
 public:
  // `contact_window`: time after the first statement of a limit from which it binds.
  explicit LimitJudge(Duration contact_window) : contact_window_(contact_window) {}

  // The worker begins to state a limit, in requests per second; `rate` zero: it states none.
  void OnLimitChanged(const std::string& worker, double rate, Instant at);
  // The machine passed on an answer of the worker with its limit.
  void OnPassedOn(const std::string& worker, size_t machine, Instant at);
  // The worker began a request that came in at `machine`, which was last disturbed at
  // `disturbed_at`.
  void OnBegan(const std::string& worker, size_t machine, Instant at, Instant disturbed_at);

  // One line per violation, in the order of detection.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Limit {
    double rate = 0;
    Instant first_stated_at{};
    std::map<size_t, Instant> passed_on_at;  // By machine: its first answer with the limit.
    std::deque<Instant> counted;             // Requests of the last period.
  };

  Duration contact_window_;
  std::map<std::string, Limit> limits_;
  std::vector<std::string> violations_;
};

}  // namespace runshelf::soak
