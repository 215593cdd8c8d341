// The calls of an open-loop load: when each is due, and what it asks. The same seed yields the same
// calls.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "runshelf/common/clock.h"
#include "runshelf/common/random.h"

namespace runshelf::load {

// One service under load.
struct ServiceMix {
  std::string name;
  bool keyed = false;        // Calls carry a key.
  double write_share = 0.0;  // Part of the calls that must not run twice.
  double weight = 1.0;       // Share of the load, relative to the other services.
};

struct ClassMix {
  std::string name;
  double weight = 1.0;
};

enum class KeyDistribution { kUniform, kZipf };

struct GeneratorConfig {
  std::vector<ServiceMix> services;
  std::vector<ClassMix> classes;
  std::string run_name = "run";  // Prefix of call names, unique among the loads of one report.
  double calls_per_second = 100.0;
  uint32_t key_count = 2000;
  KeyDistribution key_distribution = KeyDistribution::kUniform;
  double zipf_exponent = 1.0;
  Duration hot_set_period = std::chrono::seconds(10);  // The hot keys change this often.
  double idempotent_share = 0.7;  // Part of the writes that carry an idempotency key.
  double abandon_share = 0.0;     // Part of the calls whose caller closes before the answer.
  double duplicate_share = 0.0;   // Part of the idempotent calls repeated even after an answer.
  uint64_t seed = 1;
};

struct PlannedCall {
  Duration due{0};  // After the start of the load.
  std::string call;
  std::string service;
  std::string caller_class;
  std::string key;
  std::string idempotency_key;
  bool write = false;  // POST; else GET, which is repeatable.
  bool abandon = false;
  bool duplicate = false;
  size_t body_bytes = 0;
  uint64_t endpoint_choice = 0;  // Random number by which the endpoints are chosen.
};

// Not thread-safe.
class CallGenerator {
 public:
  // `config` needs at least one service and one class, each with a positive weight.
  explicit CallGenerator(GeneratorConfig config);

  // The next call; due times ascend, with exponential gaps.
  PlannedCall Next();

 private:
  double Uniform();
  size_t ChooseByWeight(const std::vector<double>& cumulative_weights);
  std::string ChooseKey(const std::string& service);

  const GeneratorConfig config_;
  SeededRandom random_;
  std::vector<double> service_weights_;  // Cumulative.
  std::vector<double> class_weights_;
  std::vector<double> key_weights_;  // Of the Zipf distribution, by rank; else empty.
  Duration due_{0};
  uint64_t sequence_ = 0;
};

}  // namespace runshelf::load
