// Enforces the limits of the table at one instance, by the shares of them that it holds.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "runshelf/admission/limit_shares.h"
#include "runshelf/common/clock.h"

namespace runshelf::admission {

struct RateLimiterConfig {
  Duration burst = std::chrono::milliseconds(100);  // Of the rate; at least one request.
  double demand_smoothing = 0.5;                    // Weight of the latest interval.
  Duration retry_after_max = std::chrono::seconds(5);
  Duration demand_interval_min = std::chrono::milliseconds(250);  // Shortest one measured over.
  Duration early_report_interval = std::chrono::milliseconds(50);
};

struct RateDecision {
  bool admitted = false;
  Duration retry_after{0};  // When refused, never zero.
};

// A token bucket per cell whose rate is the floor plus the share in force.
//
// Over any window W, one instance admits at most the integral of its rate over W plus
// max(1, rate * burst) requests. Deterministic; not thread-safe: the shell holds one lock.
class RateLimiter {
 public:
  RateLimiter(const InstanceId& self, const RateLimiterConfig& config)
      : self_(self), config_(config) {}

  // Takes one request of the cell, whose limit in the table is `limit` requests per second;
  // nullopt: no limit.
  RateDecision Admit(Instant now, const std::string& service, const std::string& caller_class,
                     std::optional<double> limit);

  // The next report, to be sent at once to the leader of `leader_term`; term 0 while no leader is
  // known is not sent.
  ShareReport MakeReport(Instant now, uint64_t leader_term);

  // Whether to send a report before the regular renewal: a cell without a share was refused, and
  // its demand has not been reported yet. At most every `early_report_interval`.
  bool WantsEarlyReport(Instant now) const;

  // Applies the answer to the report with the same sequence. Answers older than the newest applied
  // one, and answers to reports that this object never made, are ignored.
  void ApplyGrant(Instant now, const ShareGrant& grant);

  // Requests per second that the cell may use now; zero for a cell that was never asked for.
  double Rate(Instant now, const std::string& service, const std::string& caller_class) const;

 private:
  static constexpr size_t kSentReportsMax = 16;  // Older reports are taken for lost.
  using CellKey = std::pair<std::string, std::string>;
  struct Bucket {
    double limit = 0;  // Of the table, as of the latest request.
    double share = 0;  // Requests per second granted until share_until.
    Instant share_until{};
    double tokens = 0;
    Instant refilled_at{};
    uint64_t asked = 0;  // Since the last report.
    double demand = 0;   // Smoothed, requests per second.
  };

  double RateAt(Instant at, const Bucket& bucket) const;
  double BurstOf(double rate) const;
  void Refill(Instant now, Bucket& bucket) const;
  Duration RetryAfter(Instant now, const Bucket& bucket) const;
  void UpdateDemand(Instant now, Bucket& bucket) const;

  InstanceId self_;
  RateLimiterConfig config_;
  std::map<CellKey, Bucket> buckets_;
  double floor_fraction_ = 0;
  Instant floor_since_{};
  Instant floor_until_{};
  bool refused_without_share_ = false;  // Since the last report.
  uint64_t sequence_ = 0;
  uint64_t applied_sequence_ = 0;
  std::map<uint64_t, Instant> sent_reports_;  // When each report without an answer was made.
  std::optional<Instant> last_report_;
};

}  // namespace runshelf::admission
