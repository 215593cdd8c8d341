// Writes configurations as the platform's operator does: each one adds, splits, moves or removes
// routes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "runshelf/common/random.h"
#include "tests/soak/configuration_judge.h"

namespace runshelf::soak {

// The longest that the operator wants a request held, on every route.
constexpr Duration kRouteTimeout = std::chrono::milliseconds(1500);

// Routes by the first part of their path. "send", "note" and "order" take requests that may run
// once; "order" and "keyed" those with keys; workers call "inner" and "note". "extra" comes and
// goes.
struct WrittenConfiguration {
  std::string text;  // As it stands in the store.
  AllowedServices allowed;
};

class OperatorConfigurations {
 public:
  explicit OperatorConfigurations(uint64_t seed) : random_(seed) {}

  // The first one has every route but "extra", none of them split.
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
  std::map<std::string, Parts> routes_;
};

}  // namespace runshelf::soak
