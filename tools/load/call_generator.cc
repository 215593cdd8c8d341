#include "tools/load/call_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace runshelf::load {
namespace {

constexpr size_t kLargestRequestBody = 2048;
constexpr uint64_t kHotSetStride = 7919;  // Prime: consecutive hot sets do not overlap.

}  // namespace

CallGenerator::CallGenerator(GeneratorConfig config)
    : config_(std::move(config)), random_(config_.seed) {
  double sum = 0;
  for (const ServiceMix& service : config_.services) {
    service_weights_.push_back(sum += service.weight);
  }
  sum = 0;
  for (const ClassMix& caller_class : config_.classes) {
    class_weights_.push_back(sum += caller_class.weight);
  }
  if (config_.key_distribution == KeyDistribution::kUniform) return;
  sum = 0;
  for (uint32_t rank = 1; rank <= config_.key_count; ++rank) {
    key_weights_.push_back(sum += std::pow(rank, -config_.zipf_exponent));
  }
}

PlannedCall CallGenerator::Next() {
  const double gap_seconds = -std::log(1.0 - Uniform()) / config_.calls_per_second;
  due_ += Duration(static_cast<int64_t>(gap_seconds * 1e6));
  const ServiceMix& service = config_.services[ChooseByWeight(service_weights_)];
  PlannedCall call;
  call.due = due_;
  call.call = fmt::format("{}-{}", config_.run_name, ++sequence_);
  call.service = service.name;
  call.caller_class = config_.classes[ChooseByWeight(class_weights_)].name;
  if (service.keyed) call.key = ChooseKey(service.name);
  call.write = Uniform() < service.write_share;
  const bool idempotent = Uniform() < config_.idempotent_share;
  call.abandon = Uniform() < config_.abandon_share;
  const bool duplicate = Uniform() < config_.duplicate_share;
  if (call.write) {
    call.body_bytes = random_.Below(kLargestRequestBody);
    if (idempotent) call.idempotency_key = "repeat-" + call.call;
    call.duplicate = idempotent && duplicate;
  }
  call.endpoint_choice = random_.Next();
  return call;
}

double CallGenerator::Uniform() {
  constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53U);
  return static_cast<double>(random_.Next() >> 11U) * kScale;
}

size_t CallGenerator::ChooseByWeight(const std::vector<double>& cumulative_weights) {
  const double point = Uniform() * cumulative_weights.back();
  const auto found = std::upper_bound(cumulative_weights.begin(), cumulative_weights.end(), point);
  const auto index = static_cast<size_t>(found - cumulative_weights.begin());
  return std::min(index, cumulative_weights.size() - 1);
}

std::string CallGenerator::ChooseKey(const std::string& service) {
  uint64_t index = 0;
  if (config_.key_distribution == KeyDistribution::kUniform) {
    index = random_.Below(config_.key_count);
  } else {
    const auto hot_set = static_cast<uint64_t>(due_ / config_.hot_set_period);
    index = (ChooseByWeight(key_weights_) + hot_set * kHotSetStride) % config_.key_count;
  }
  return fmt::format("{}-key-{}", service, index);
}

}  // namespace runshelf::load
