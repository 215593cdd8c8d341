// Generates route configurations as a platform operator would write them; each one adds, splits,
// moves or removes a route.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "tests/soak/configuration_judge.h"

namespace runshelf::soak {

// The request time-out of every route.
constexpr Duration kRouteTimeout = std::chrono::milliseconds(1500);
constexpr Duration kDownloadTimeout = std::chrono::milliseconds(6000);

// A configuration and the services that it allows. Routes are named by their first path segment:
// "send", "note" and "order" are non-idempotent; "order" and "keyed" use shard keys; "inner" and
// "note" are called by workers; "extra" is added and removed over time.
struct WrittenConfiguration {
  std::string text;  // JSON as written to the store.
  AllowedServices allowed;
};

// Generates a sequence of configurations with rising versions, determined by the seed.
class OperatorConfigurations {
 public:
  explicit OperatorConfigurations(uint64_t seed) : random_(seed) {}

  // Requests per second that cold workers bear, in all later configurations; zero: not stated.
  void set_cold_rate(double requests_per_second) { cold_rate_ = requests_per_second; }
  // All later configurations have the route "pull", for downloads.
  void set_downloads(bool downloads) { downloads_ = downloads; }
  // Returns the next configuration. The first one has every route except "extra", all unsplit.
  WrittenConfiguration Next();

 private:
  struct Part {
    std::string service;
    int weight = 1;
  };
  using Parts = std::vector<Part>;

  Parts DrawParts();

  SeededRandom random_;
  int version_ = 0;
  double cold_rate_ = 0;
  bool downloads_ = false;
  std::map<std::string, Parts> routes_;
};

}  // namespace runshelf::soak
