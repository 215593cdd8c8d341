#include "source/sharding/key_load.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace runshelf::sharding {
namespace {

// Time constant of the decay of rates.
constexpr double kSmoothingSeconds = 1.5;
constexpr size_t kReportedBuckets = 96;
// A bucket below this rate is not worth a place in the report, in requests a second.
constexpr double kReportedRateMin = 0.2;

}  // namespace

void KeyLoadMeter::Roll(Duration elapsed) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (seconds <= 0) return;
  const double weight = 1 - std::exp(-seconds / kSmoothingSeconds);
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const double rate = counts_[bucket] / seconds;
    rates_[bucket] += static_cast<float>((rate - rates_[bucket]) * weight);
    counts_[bucket] = 0;
  }
}

void KeyLoadMeter::Fill(LoadReport* report) const {
  double total = 0;
  report->buckets.clear();
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    total += rates_[bucket];
    if (rates_[bucket] >= kReportedRateMin) {
      report->buckets.emplace_back(static_cast<uint32_t>(bucket), rates_[bucket]);
    }
  }
  report->requests_per_second = total;
  std::sort(report->buckets.begin(), report->buckets.end(),
            [](const auto& left, const auto& right) { return left.second > right.second; });
  if (report->buckets.size() > kReportedBuckets) report->buckets.resize(kReportedBuckets);
}

std::string LoadReport::Serialize() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [bucket, rate] : buckets) {
    rows.push_back({bucket, std::round(rate * 10) / 10});
  }
  return nlohmann::json{{"node", node},
                        {"service", service},
                        {"rate", std::round(requests_per_second * 10) / 10},
                        {"service_seconds", service_seconds},
                        {"slots", slots},
                        {"buckets", rows}}
      .dump();
}

bool LoadReport::Parse(const std::string& text, LoadReport* report) {
  const auto value = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) return false;
  for (const char* name : {"node", "service"}) {
    if (!value.contains(name) || !value[name].is_string()) return false;
  }
  for (const char* name : {"rate", "service_seconds", "slots"}) {
    if (!value.contains(name) || !value[name].is_number()) return false;
  }
  if (!value.contains("buckets") || !value["buckets"].is_array()) return false;
  LoadReport parsed;
  parsed.node = value["node"].get<std::string>();
  parsed.service = value["service"].get<std::string>();
  parsed.requests_per_second = value["rate"].get<double>();
  parsed.service_seconds = value["service_seconds"].get<double>();
  parsed.slots = value["slots"].get<uint32_t>();
  for (const auto& row : value["buckets"]) {
    if (!row.is_array() || row.size() != 2 || !row[0].is_number_unsigned() || !row[1].is_number() ||
        row[0].get<uint64_t>() >= kBucketCount) {
      return false;
    }
    parsed.buckets.emplace_back(row[0].get<uint32_t>(), row[1].get<double>());
  }
  *report = std::move(parsed);
  return true;
}

}  // namespace runshelf::sharding
