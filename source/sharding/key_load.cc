#include "source/sharding/key_load.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace runshelf::sharding {
namespace {

// Time constant of the exponential smoothing of rates.
constexpr double kSmoothingSeconds = 1.5;
// Time constant of the smoothing of service times.
constexpr double kServiceTimeSmoothingSeconds = 3;
// A count that differs from the expected one by so many standard deviations is a jump of the rate.
constexpr double kJumpDeviations = 4;
// Maximum number of buckets in one report. It keeps a report below 1.2 kB, so that it fits into one
// packet; larger ones were lost. With 93 workers and 200 busy keys, one worker's shard can contain
// up to 178 of them.
constexpr size_t kReportedBuckets = 160;
// Buckets below this rate, in requests per second, are not listed in a report.
constexpr double kReportedRateMin = 0.2;
constexpr double kTenths = 10;

uint32_t Tenths(double rate) { return static_cast<uint32_t>(std::lround(rate * kTenths)); }

}  // namespace

void ServiceTimeMeter::Sample(Instant now, double service_seconds) {
  if (service_seconds <= 0) return;
  const double elapsed = std::chrono::duration<double>(now - sampled_at_).count();
  const double weight = seconds_ == 0 ? 1 : 1 - std::exp(-elapsed / kServiceTimeSmoothingSeconds);
  seconds_ += (service_seconds - seconds_) * weight;
  sampled_at_ = now;
}

bool KeyLoadMeter::HasJumped(Duration elapsed) const {
  if (restarted_) return false;
  const double expected = total_rate_ * std::chrono::duration<double>(elapsed).count();
  const double deviation = std::abs(static_cast<double>(count_) - expected);
  return deviation > kJumpDeviations * std::sqrt(expected + 1);
}

void KeyLoadMeter::Restart() {
  counts_.fill(0);
  count_ = 0;
  restarted_ = true;
}

void KeyLoadMeter::EndPeriod(Duration elapsed) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (seconds <= 0) return;
  const double weight = restarted_ ? 1 : 1 - std::exp(-seconds / kSmoothingSeconds);
  total_rate_ = 0;
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const double rate = counts_[bucket] / seconds;
    rates_[bucket] += static_cast<float>((rate - rates_[bucket]) * weight);
    total_rate_ += rates_[bucket];
    counts_[bucket] = 0;
  }
  count_ = 0;
  restarted_ = false;
}

void KeyLoadMeter::Fill(LoadReport* report) const {
  report->buckets.clear();
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    if (rates_[bucket] >= kReportedRateMin) {
      report->buckets.emplace_back(static_cast<uint32_t>(bucket), rates_[bucket]);
    }
  }
  report->requests_per_second = total_rate_;
  std::sort(report->buckets.begin(), report->buckets.end(),
            [](const auto& left, const auto& right) { return left.second > right.second; });
  if (report->buckets.size() > kReportedBuckets) report->buckets.resize(kReportedBuckets);
}

// Rates are encoded in tenths: that takes six bytes per bucket, so that a report fits into one
// packet.
std::string LoadReport::Serialize() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [bucket, rate] : buckets) {
    rows.push_back(bucket);
    rows.push_back(Tenths(rate));
  }
  const nlohmann::json report{{"node", node},
                              {"service", service},
                              {"rate", Tenths(requests_per_second)},
                              {"service_seconds", service_seconds},
                              {"slots", slots},
                              {"buckets", rows}};
  const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(report);
  return {bytes.begin(), bytes.end()};
}

bool LoadReport::Parse(const std::string& bytes, LoadReport* report) {
  const auto value = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true,
                                               /*allow_exceptions=*/false);
  if (!value.is_object()) return false;
  for (const char* name : {"node", "service"}) {
    if (!value.contains(name) || !value[name].is_string()) return false;
  }
  for (const char* name : {"rate", "service_seconds", "slots"}) {
    if (!value.contains(name) || !value[name].is_number()) return false;
  }
  if (!value.contains("buckets") || !value["buckets"].is_array()) return false;
  const nlohmann::json& rows = value["buckets"];
  if (rows.size() % 2 != 0) return false;
  LoadReport parsed;
  parsed.node = value["node"].get<std::string>();
  parsed.service = value["service"].get<std::string>();
  parsed.requests_per_second = value["rate"].get<double>() / kTenths;
  parsed.service_seconds = value["service_seconds"].get<double>();
  parsed.slots = value["slots"].get<uint32_t>();
  for (size_t index = 0; index < rows.size(); index += 2) {
    if (!rows[index].is_number_unsigned() || !rows[index + 1].is_number_unsigned() ||
        rows[index].get<uint64_t>() >= kBucketCount) {
      return false;
    }
    parsed.buckets.emplace_back(rows[index].get<uint32_t>(),
                                rows[index + 1].get<double>() / kTenths);
  }
  *report = std::move(parsed);
  return true;
}

}  // namespace runshelf::sharding
