#include "tools/load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace runshelf::load {
namespace {

constexpr size_t kDetailsPerViolation = 5;

double Milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

double Ratio(Duration part, Duration whole) {
  return whole.count() == 0
             ? 0.0
             : static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

std::string FormatViolations(const std::vector<Finding>& findings) {
  std::map<Violation, size_t> counts;
  std::string details;
  for (const Finding& finding : findings) {
    if (++counts[finding.violation] > kDetailsPerViolation) continue;
    details += fmt::format("violation={} {}\n", ViolationName(finding.violation), finding.detail);
  }
  std::string text;
  for (const Violation violation : kAllViolations) {
    text += fmt::format("{}={}\n", ViolationName(violation), counts[violation]);
  }
  return text + details;
}

std::string FormatLatency(const Measures& measures) {
  const Latency& daemons = measures.through_daemons;
  const Latency& direct = measures.direct;
  std::string text;
  text += fmt::format("latency_daemons_samples={}\nlatency_daemons_p50_ms={:.2f}\n",
                      daemons.samples, Milliseconds(daemons.p50));
  text += fmt::format("latency_daemons_p99_ms={:.2f}\n", Milliseconds(daemons.p99));
  const Latency& whole_run = measures.whole_run;
  text += fmt::format("latency_whole_run_samples={}\nlatency_whole_run_p50_ms={:.2f}\n",
                      whole_run.samples, Milliseconds(whole_run.p50));
  text += fmt::format("latency_whole_run_p99_ms={:.2f}\n", Milliseconds(whole_run.p99));
  if (direct.samples == 0) return text;
  text += fmt::format("latency_direct_samples={}\nlatency_direct_p50_ms={:.2f}\n", direct.samples,
                      Milliseconds(direct.p50));
  text += fmt::format("latency_direct_p99_ms={:.2f}\n", Milliseconds(direct.p99));
  text += fmt::format("latency_ratio_p50={:.2f}\nlatency_ratio_p99={:.2f}\n",
                      Ratio(daemons.p50, direct.p50), Ratio(daemons.p99, direct.p99));
  text +=
      fmt::format("latency_added_p50_ms={:.2f}\nlatency_added_p99_ms={:.2f}\n",
                  Milliseconds(daemons.p50 - direct.p50), Milliseconds(daemons.p99 - direct.p99));
  return text;
}

std::string FormatServices(const Measures& measures) {
  std::string text;
  for (const auto& [service, imbalance] : measures.imbalance) {
    text += fmt::format("imbalance_mean[{0}]={1:.2f}\nimbalance_largest[{0}]={2:.2f}\n", service,
                        imbalance.mean, imbalance.largest);
  }
  for (const auto& [service, churn] : measures.churn) {
    text += fmt::format("churn_slots[{0}]={1}\nchurn_least_slots[{0}]={2}\n", service,
                        churn.moved_slots, churn.least_necessary);
  }
  for (const auto& [service, ownerless] : measures.ownerless) {
    text += fmt::format(
        "ownerless_longest_ms[{0}]={1:.0f}\nownerless_sum_ms[{0}]={2:.0f}\n"
        "ownerless_slots[{0}]={3}\n",
        service, Milliseconds(ownerless.longest), Milliseconds(ownerless.sum), ownerless.slots);
  }
  for (const auto& [service, unavailable] : measures.unavailability) {
    text += fmt::format(
        "unavailable_longest_ms[{0}]={1:.0f}\nunavailable_sum_ms[{0}]={2:.0f}\n"
        "unavailable_periods[{0}]={3}\n",
        service, Milliseconds(unavailable.longest), Milliseconds(unavailable.sum),
        unavailable.periods);
  }
  return text;
}

std::string FormatTable(const Measures& measures) {
  std::string text = fmt::format("\n{:<12} {:<14} {:>8} {:>9} {:>9} {:>9}  {}\n", "service",
                                 "class", "requests", "answered", "p50 ms", "p99 ms", "failures");
  for (const auto& [cell, counts] : measures.answers) {
    std::string failures;
    for (const auto& [error, count] : counts.failures) {
      failures += fmt::format("{}{}:{}", failures.empty() ? "" : " ", error, count);
    }
    text += fmt::format("{:<12} {:<14} {:>8} {:>9} {:>9.1f} {:>9.1f}  {}\n", cell.service,
                        cell.caller_class, counts.attempts, counts.succeeded,
                        Milliseconds(counts.latency.p50), Milliseconds(counts.latency.p99),
                        failures.empty() ? "-" : failures);
  }
  return text;
}

}  // namespace

std::string FormatReport(const std::vector<Finding>& findings, const Measures& measures) {
  std::string text = FormatViolations(findings);
  text += fmt::format("executions={}\n", measures.executions);
  text += FormatServices(measures);
  text += FormatLatency(measures);
  text += FormatTable(measures);
  text += fmt::format("\npromises={}\n", findings.empty() ? "kept" : "broken");
  return text;
}

}  // namespace runshelf::load
